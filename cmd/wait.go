package cmd

import (
	"time"

	"godwitspindle/io/operator"
)

// waitCommand waits until a version is in force on every node.
type waitCommand struct {
	Version uint64        `arg:"positional,required" placeholder:"VERSION"`
	Timeout time.Duration `arg:"--timeout" placeholder:"TIME" default:"30s" help:"longest wait, up to 10m"`
	ConnectionFlags
}

func (c *waitCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	return iv.wait(client, c.Version, c.Timeout, c.JSON)
}

// wait prints a line each time that the progress changes; the last one says "in force on N of N". If the wait fails, it
// prints the nodes that are behind.
func (iv *invocation) wait(client *operator.Client, version uint64, timeout time.Duration, asJSON bool) error {
	var last operator.Progress
	seen := false
	err := client.Wait(iv.ctx, version, timeout, func(p operator.Progress) {
		same := seen && p.Current == last.Current && p.Nodes == last.Nodes && p.Done == last.Done
		last, seen = p, true
		if same {
			return
		}
		if asJSON {
			_ = iv.printJSON(p)
			return
		}
		iv.printf("in force on %d of %d, version %d, %s\n", p.Current, p.Nodes, p.Version, formatMilliseconds(p.Elapsed))
	})
	if err != nil && !asJSON {
		for _, b := range last.Behind {
			iv.printf("behind: %s at version %d, %s, heard %s\n", b.Node, b.Version, b.Reason, formatAge(b.Heard))
		}
	}
	return err
}

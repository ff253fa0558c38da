package cmd

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"godwitspindle/io/operator"
)

const (
	promotePause = 500 * time.Millisecond // pause of add --wait between two attempts to promote
	lostAfter    = 3 * time.Second        // time without a message after which a replica counts as lost: three election timeouts
)

// replicaCommand lists or changes the control replicas.
type replicaCommand struct {
	List    *replicaListCommand `arg:"subcommand:list" help:"list the replicas and how far behind each is"`
	Add     *replicaAddCommand  `arg:"subcommand:add" help:"join a replica with an empty data folder as a learner, in place of its earlier identity"`
	Promote *replicaNameCommand `arg:"subcommand:promote" help:"make a learner that has caught up a voter"`
	Remove  *replicaNameCommand `arg:"subcommand:remove" help:"remove a replica"`
}

type replicaListCommand struct {
	ConnectionFlags
}

type replicaNameCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"name of the replica in the settings"`
	ConnectionFlags
}

type replicaAddCommand struct {
	Name    string        `arg:"positional,required" placeholder:"NAME" help:"name of the replica in the settings"`
	Wait    bool          `arg:"--wait" help:"promote the replica when it has caught up"`
	Timeout time.Duration `arg:"--timeout" placeholder:"TIME" default:"5m" help:"longest wait"`
	ConnectionFlags
}

func (c *replicaCommand) run(iv *invocation) error {
	switch {
	case c.List != nil:
		return c.List.run(iv)
	case c.Add != nil:
		return c.Add.run(iv)
	case c.Promote != nil:
		return c.Promote.run(iv, operator.ActionPromote)
	case c.Remove != nil:
		return c.Remove.run(iv, operator.ActionRemove)
	}
	return &InputError{Name: "replica", Expected: "list, add NAME, promote NAME or remove NAME"}
}

func (c *replicaListCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.Replicas(iv.ctx)
	if err != nil {
		return err
	}
	return iv.printReplicas(list, c.JSON)
}

func (c *replicaNameCommand) run(iv *invocation, action string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.ChangeReplica(iv.ctx, operator.ReplicaAction{Action: action, Name: c.Name})
	if err != nil {
		return err
	}
	return iv.printReplicas(list, c.JSON)
}

func (c *replicaAddCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.ChangeReplica(iv.ctx, operator.ReplicaAction{Action: operator.ActionAdd, Name: c.Name})
	if err != nil {
		return err
	}
	if c.Wait {
		list, err = c.promoteWhenCaughtUp(iv, client)
		if err != nil {
			return err
		}
	}
	if err := iv.printReplicas(list, c.JSON); err != nil {
		return err
	}
	if !c.Wait && !c.JSON {
		iv.printf("next: godwitspindle replica promote %s, when it has caught up\n", c.Name)
	}
	return nil
}

// promoteWhenCaughtUp retries the promotion while the learner is behind or the membership change is unsafe, until the timeout has
// passed.
func (c *replicaAddCommand) promoteWhenCaughtUp(iv *invocation, client *operator.Client) (*operator.Replicas, error) {
	until := time.Now().Add(c.Timeout)
	for {
		list, err := client.ChangeReplica(iv.ctx, operator.ReplicaAction{Action: operator.ActionPromote, Name: c.Name})
		p, isProblem := errors.AsType[*operator.Problem](err)
		if err == nil || !isProblem || p.Code != operator.CodeBehind && p.Code != operator.CodeUnsafeMembership {
			return list, err
		}
		if time.Now().After(until) {
			p.Title, p.Code = "not promoted in time", operator.CodeTimeout
			p.Next = "the replica stays a learner and goes on catching up; see replica list, then promote it"
			return nil, p
		}
		if !c.JSON {
			iv.printf("%s\n", p.Detail)
		}
		select {
		case <-iv.ctx.Done():
			return nil, err
		case <-time.After(promotePause):
		}
	}
}

// printReplicas prints the replicas and how many voters may be lost before changes stop.
func (iv *invocation) printReplicas(list *operator.Replicas, asJSON bool) error {
	if asJSON {
		return iv.printJSON(list)
	}
	w := iv.table()
	_, _ = fmt.Fprintln(w, "REPLICA\tROLE\tBEHIND\tHEARD\tIDENTITY")
	voters, lost := 0, 0
	var waiting []string
	for _, m := range list.Replicas {
		if m.Role == "leader" || m.Role == "voter" {
			voters++
		}
		if m.Role == "voter" && isLost(m) {
			lost++
		}
		if m.Role == "waiting" {
			waiting = append(waiting, m.Name)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.Role, formatLag(m), formatHeard(m), m.Identity)
	}
	_ = w.Flush()
	if list.Health != nil {
		iv.printf("%s\n", formatHealth(list.Health))
	} else {
		iv.printf("%d voters, %d of them lost; changes go on with up to %d lost\n", voters, lost, (voters-1)/2)
	}
	for _, name := range waiting {
		iv.printf("%s waits with an empty data folder and does not vote; next: godwitspindle replica add %s --wait\n", name, name)
	}
	return nil
}

// isLost reports whether the leader never had a message from a voter or learner, or none for longer than lostAfter.
func isLost(m operator.Member) bool {
	return m.Role != "leader" && m.Role != "waiting" && (m.Heard < 0 || time.Duration(m.Heard) > lostAfter)
}

func formatLag(m operator.Member) string {
	if m.Behind < 0 {
		return "unknown"
	}
	return strconv.FormatInt(m.Behind, 10)
}

func formatHeard(m operator.Member) string {
	if m.Role == "leader" || m.Role == "waiting" {
		return "-"
	}
	return formatAge(m.Heard)
}

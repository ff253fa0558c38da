package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// statusCommand prints the state of the mesh.
type statusCommand struct {
	Watch bool `arg:"--watch" help:"print again each second until interrupted"`
	ConnectionFlags
}

func (c *statusCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if !c.Watch {
		return c.printOnce(iv.ctx, iv, client)
	}
	ctx, stop := process.Signals(iv.ctx)
	defer stop()
	for {
		if !c.JSON {
			iv.printf("\n%s\n", time.Now().UTC().Format(timeFormat))
		}
		err := c.printOnce(ctx, iv, client)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			_ = iv.reportError(err) // prints the error; its exit code is ignored, since the watch continues
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

func (c *statusCommand) printOnce(ctx context.Context, iv *invocation, client *operator.Client) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = iv.printJSON(status)
	} else {
		iv.printStatus(status)
	}
	if err != nil || status.Leader != "" {
		return err
	}
	return &operator.Problem{
		Title: "no leader", Code: operator.CodeUnavailable, Detail: status.Node + " knows no leader, so no change is accepted",
		Next: "start replicas until a majority runs; where they run, look at the network between them",
	}
}

func (iv *invocation) printStatus(v *operator.Status) {
	if v.Leader == "" {
		iv.printf("NO LEADER: how many nodes hold which version is not known\n%s holds version %d\n", v.Node, v.Version)
		if v.Hearing != nil {
			iv.printf("%s\n", formatHearing(v.Hearing))
		}
	} else {
		spread := ""
		if v.Spread >= 0 {
			spread = ", " + formatMilliseconds(v.Spread)
		}
		iv.printf("in force on %d of %d, version %d%s\n", v.Current, v.Nodes, v.Version, spread)
	}
	iv.printf("confirmed by a majority %s, as %s knows\n", formatAge(v.Age), v.Node)
	names := make([]string, len(v.Replicas))
	for i, m := range v.Replicas {
		names[i] = m.Name + remarks(m, v.Leader != "")
	}
	leader := v.Leader
	if leader == "" {
		leader = "none known"
	}
	iv.printf("leader %s, replicas %s\n", leader, strings.Join(names, ", "))
	if v.Health != nil {
		iv.printf("%s\n", formatHealth(v.Health))
	}
	w := iv.table()
	if len(v.Behind) > 0 {
		_, _ = fmt.Fprintln(w, "\nBEHIND\tVERSION\tREASON\tHEARD")
	}
	for _, b := range v.Behind {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", b.Node, b.Version, b.Reason, formatAge(b.Heard))
	}
	_ = w.Flush()
	w = iv.table()
	_, _ = fmt.Fprintln(w, "\nSERVICE\tENDPOINTS\tSLOTS")
	for _, u := range v.Services {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", u.Name, u.Endpoints, u.Slots)
	}
	_ = w.Flush()
	for i := range v.Rollouts {
		iv.printf("\nrollout of %s\n", &v.Rollouts[i])
	}
}

// remarks returns what is unusual about a replica, in brackets, or an empty string.
func remarks(m operator.Member, hasLeader bool) string {
	var list []string
	if m.Role == "learner" {
		list = append(list, m.Role)
	}
	if hasLeader && m.Behind > 0 {
		list = append(list, fmt.Sprintf("%d behind", m.Behind))
	}
	if hasLeader && isLost(m) {
		list = append(list, "not heard: "+formatAge(m.Heard))
	}
	if len(list) == 0 {
		return ""
	}
	return " (" + strings.Join(list, ", ") + ")"
}

func formatAge(d operator.Duration) string {
	if d < 0 {
		return d.String()
	}
	return formatDuration(d) + " ago"
}

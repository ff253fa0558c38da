package cmd

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"godwitspindle/io/operator"
	"godwitspindle/io/platform"
)

// statusCommand shows the mesh at a glance.
type statusCommand struct {
	Watch bool `arg:"--watch" help:"print again each second until interrupted"`
	Connection
}

func (c *statusCommand) run(s *session) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if !c.Watch {
		return c.once(s.ctx, s, client)
	}
	ctx, stop := platform.Signals(s.ctx)
	defer stop()
	for {
		err := c.once(ctx, s, client)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			_, _ = fmt.Fprintln(s.stderr, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

func (c *statusCommand) once(ctx context.Context, s *session, client *operator.Client) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.print(status)
	}
	s.status(status)
	return nil
}

func (s *session) status(v *operator.Status) {
	spread := ""
	if v.Spread >= 0 {
		spread = ", " + inMilliseconds(v.Spread)
	}
	s.printf("in force on %d of %d, version %d%s\n", v.Current, v.Nodes, v.Version, spread)
	s.printf("confirmed by a majority %s, as %s knows\n", ago(v.Age), v.Node)
	leader := v.Leader
	if leader == "" {
		leader = "none known"
	}
	names := make([]string, len(v.Replicas))
	for i, m := range v.Replicas {
		names[i] = m.Name
		if m.Role == "learner" {
			names[i] += " (learner)"
		}
	}
	s.printf("leader %s, replicas %s\n", leader, strings.Join(names, " "))
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	if len(v.Behind) > 0 {
		_, _ = fmt.Fprintln(w, "\nBEHIND\tVERSION\tREASON\tHEARD")
	}
	for _, b := range v.Behind {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", b.Node, b.Version, b.Reason, ago(b.Heard))
	}
	_ = w.Flush()
	w = tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nSERVICE\tENDPOINTS\tSLOTS")
	for _, u := range v.Services {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", u.Name, u.Endpoints, u.Slots)
	}
	_ = w.Flush()
}

func ago(d operator.Duration) string {
	if d < 0 {
		return d.String()
	}
	return short(d) + " ago"
}

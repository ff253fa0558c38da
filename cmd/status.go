package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"godwitspindle/io/operator"
	"godwitspindle/io/process"
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
	ctx, stop := process.Signals(s.ctx)
	defer stop()
	for {
		if !c.JSON {
			s.printf("\n%s\n", time.Now().UTC().Format(timeFormat))
		}
		err := c.once(ctx, s, client)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			_ = s.exit(err) // prints it; the watch goes on
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
		err = s.print(status)
	} else {
		s.status(status)
	}
	if err != nil || status.Leader != "" {
		return err
	}
	return &operator.Problem{
		Title: "no leader", Code: operator.CodeUnavailable, Detail: status.Node + " knows no leader, so no change is accepted",
		Next: "start replicas until a majority runs; where they run, look at the network between them",
	}
}

func (s *session) status(v *operator.Status) {
	if v.Leader == "" {
		s.printf("NO LEADER: how many nodes hold which version is not known\n%s holds version %d\n", v.Node, v.Version)
	} else {
		spread := ""
		if v.Spread >= 0 {
			spread = ", " + inMilliseconds(v.Spread)
		}
		s.printf("in force on %d of %d, version %d%s\n", v.Current, v.Nodes, v.Version, spread)
	}
	s.printf("confirmed by a majority %s, as %s knows\n", ago(v.Age), v.Node)
	names := make([]string, len(v.Replicas))
	for i, m := range v.Replicas {
		names[i] = m.Name + remarks(m, v.Leader != "")
	}
	leader := v.Leader
	if leader == "" {
		leader = "none known"
	}
	s.printf("leader %s, replicas %s\n", leader, strings.Join(names, ", "))
	w := s.table()
	if len(v.Behind) > 0 {
		_, _ = fmt.Fprintln(w, "\nBEHIND\tVERSION\tREASON\tHEARD")
	}
	for _, b := range v.Behind {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", b.Node, b.Version, b.Reason, ago(b.Heard))
	}
	_ = w.Flush()
	w = s.table()
	_, _ = fmt.Fprintln(w, "\nSERVICE\tENDPOINTS\tSLOTS")
	for _, u := range v.Services {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", u.Name, u.Endpoints, u.Slots)
	}
	_ = w.Flush()
}

// remarks says what is unusual about a replica.
func remarks(m operator.Member, led bool) string {
	var list []string
	if m.Role == "learner" {
		list = append(list, m.Role)
	}
	if led && m.Behind > 0 {
		list = append(list, fmt.Sprintf("%d behind", m.Behind))
	}
	if led && lost(m) {
		list = append(list, "not heard: "+ago(m.Heard))
	}
	if len(list) == 0 {
		return ""
	}
	return " (" + strings.Join(list, ", ") + ")"
}

func ago(d operator.Duration) string {
	if d < 0 {
		return d.String()
	}
	return short(d) + " ago"
}

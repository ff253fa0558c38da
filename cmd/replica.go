package cmd

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"godwitspindle/io/operator"
)

const (
	promotePause = 500 * time.Millisecond // between attempts of add --wait to promote
	lostAfter    = 3 * time.Second        // three election timeouts
)

// replicaCommand lists or changes the control replicas.
type replicaCommand struct {
	List    *replicaListCommand `arg:"subcommand:list" help:"list the replicas and how far behind each is"`
	Add     *replicaAddCommand  `arg:"subcommand:add" help:"join a replica with an empty data folder as a learner, in place of its earlier identity"`
	Promote *replicaNameCommand `arg:"subcommand:promote" help:"make a learner that has caught up a voter"`
	Remove  *replicaNameCommand `arg:"subcommand:remove" help:"remove a replica"`
}

type replicaListCommand struct {
	Connection
}

type replicaNameCommand struct {
	Name string `arg:"positional,required" placeholder:"NAME" help:"name of the replica in the settings"`
	Connection
}

type replicaAddCommand struct {
	Name    string        `arg:"positional,required" placeholder:"NAME" help:"name of the replica in the settings"`
	Wait    bool          `arg:"--wait" help:"promote the replica when it has caught up"`
	Timeout time.Duration `arg:"--timeout" placeholder:"TIME" default:"5m" help:"longest wait"`
	Connection
}

func (c *replicaCommand) run(s *session) error {
	switch {
	case c.List != nil:
		return c.List.run(s)
	case c.Add != nil:
		return c.Add.run(s)
	case c.Promote != nil:
		return c.Promote.run(s, operator.ActionPromote)
	case c.Remove != nil:
		return c.Remove.run(s, operator.ActionRemove)
	}
	return &InputError{Name: "replica", Expected: "list, add NAME, promote NAME or remove NAME"}
}

func (c *replicaListCommand) run(s *session) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.Replicas(s.ctx)
	if err != nil {
		return err
	}
	return s.members(list, c.JSON)
}

func (c *replicaNameCommand) run(s *session, action string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.Change(s.ctx, operator.Action{Action: action, Name: c.Name})
	if err != nil {
		return err
	}
	return s.members(list, c.JSON)
}

func (c *replicaAddCommand) run(s *session) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.Change(s.ctx, operator.Action{Action: operator.ActionAdd, Name: c.Name})
	if err != nil {
		return err
	}
	if c.Wait {
		list, err = c.promote(s, client)
		if err != nil {
			return err
		}
	}
	if err := s.members(list, c.JSON); err != nil {
		return err
	}
	if !c.Wait && !c.JSON {
		s.printf("next: godwitspindle replica promote %s, when it has caught up\n", c.Name)
	}
	return nil
}

// promote repeats the promotion until the learner has caught up or the timeout has passed.
func (c *replicaAddCommand) promote(s *session, client *operator.Client) (*operator.Replicas, error) {
	until := time.Now().Add(c.Timeout)
	for {
		list, err := client.Change(s.ctx, operator.Action{Action: operator.ActionPromote, Name: c.Name})
		p, refused := errors.AsType[*operator.Problem](err)
		if err == nil || !refused || p.Code != operator.CodeBehind && p.Code != operator.CodeMembers {
			return list, err
		}
		if time.Now().After(until) {
			p.Title, p.Code = "not promoted in time", operator.CodeTimeout
			p.Next = "the replica stays a learner and goes on catching up; see replica list, then promote it"
			return nil, p
		}
		if !c.JSON {
			s.printf("%s\n", p.Detail)
		}
		select {
		case <-s.ctx.Done():
			return nil, err
		case <-time.After(promotePause):
		}
	}
}

// members prints the replicas and what their set can lose.
func (s *session) members(list *operator.Replicas, asJSON bool) error {
	if asJSON {
		return s.print(list)
	}
	w := s.table()
	_, _ = fmt.Fprintln(w, "REPLICA\tROLE\tBEHIND\tHEARD\tIDENTITY")
	voters, gone := 0, 0
	var absent []string
	for _, m := range list.Replicas {
		if m.Role == "leader" || m.Role == "voter" {
			voters++
		}
		if m.Role == "voter" && lost(m) {
			gone++
		}
		if m.Role == "waiting" {
			absent = append(absent, m.Name)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Name, m.Role, lag(m), heard(m), m.Identity)
	}
	_ = w.Flush()
	s.printf("%d voters, %d of them lost; changes go on with up to %d lost\n", voters, gone, (voters-1)/2)
	for _, name := range absent {
		s.printf("%s waits with an empty data folder and does not vote; next: godwitspindle replica add %s --wait\n", name, name)
	}
	return nil
}

// lost reports whether the leader has not heard a replica for so long that it cannot count on it.
func lost(m operator.Member) bool {
	return m.Role != "leader" && m.Role != "waiting" && (m.Heard < 0 || time.Duration(m.Heard) > lostAfter)
}

func lag(m operator.Member) string {
	if m.Behind < 0 {
		return "unknown"
	}
	return strconv.FormatInt(m.Behind, 10)
}

func heard(m operator.Member) string {
	if m.Role == "leader" || m.Role == "waiting" {
		return "-"
	}
	return ago(m.Heard)
}

package cmd

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"godwitspindle/io/operator"
)

// Content holds the flags that name the content of a change.
type Content struct {
	Register string `arg:"--register" placeholder:"FILE" help:"register to put in force"`
	Rules    string `arg:"--rules" placeholder:"FILE" help:"rule set to put in force"`
}

// Signature holds the flags that describe a change.
type Signature struct {
	Base   *uint64 `arg:"--base" placeholder:"VERSION" help:"version that the change was made on [default: the current one]"`
	Author string  `arg:"--author" placeholder:"NAME" help:"who makes the change [default: $USER]"`
	Reason string  `arg:"--reason" placeholder:"TEXT" help:"why"`
	ID     string  `arg:"--id" placeholder:"ID" help:"id of an earlier attempt, to resend it [default: a new one]"`
}

// Waiting holds the flags of the wait after a change.
type Waiting struct {
	Wait    bool          `arg:"--wait" help:"wait until the change is in force on every node"`
	Timeout time.Duration `arg:"--timeout" placeholder:"TIME" default:"30s" help:"longest wait"`
}

// applyCommand proposes a register or a rule set.
type applyCommand struct {
	Content
	Signature
	Waiting
	Connection
}

func (c *applyCommand) run(s *session) error {
	change, err := c.change(s)
	if err != nil {
		return err
	}
	return s.propose(change, &c.Signature, &c.Waiting, &c.Connection)
}

// change reads the one file that the flags name and checks it before anything is sent.
func (c *Content) change(s *session) (operator.Change, error) {
	if (c.Register == "") == (c.Rules == "") {
		return operator.Change{}, &InputError{Name: "--register, --rules", Expected: "exactly one of them, as each change has one owner"}
	}
	file := c.Register + c.Rules
	data, err := os.ReadFile(file)
	if err != nil {
		return operator.Change{}, &InputError{Name: file, Expected: "a readable file"}
	}
	faults := s.faults(c.Register, c.Rules)
	if len(faults) > 0 {
		return operator.Change{}, &FaultsError{Faults: faults}
	}
	if !json.Valid(data) {
		return operator.Change{}, &InputError{Name: file, Expected: "one valid JSON object"}
	}
	if c.Register != "" {
		return operator.Change{Register: data}, nil
	}
	return operator.Change{Rules: data}, nil
}

// propose sends a change; without a base it uses the current version.
func (s *session) propose(change operator.Change, by *Signature, w *Waiting, c *Connection) error {
	if by.Reason == "" {
		return &InputError{Name: "--reason", Expected: "a sentence for the history"}
	}
	change.Author, change.Reason, change.ID = by.Author, by.Reason, by.ID
	if change.Author == "" {
		change.Author = os.Getenv("USER")
	}
	if change.Author == "" {
		return &InputError{Name: "--author", Expected: "a name, as $USER is not set"}
	}
	if change.ID == "" {
		change.ID = rand.Text()
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	change.Base, err = s.base(client, by.Base)
	if err != nil {
		return err
	}
	accepted, err := client.Apply(s.ctx, change)
	if err != nil {
		s.advise(change, err)
		return err
	}
	if !c.JSON {
		s.printf("accepted as version %d: %s, %d differences, id %s\n", accepted.Version, accepted.Part, len(accepted.Differences), accepted.ID)
	}
	if c.JSON {
		if err := s.print(accepted); err != nil {
			return err
		}
	}
	if !w.Wait {
		return nil
	}
	return s.wait(client, accepted.Version, w.Timeout, c.JSON)
}

// base returns the given base or the current version.
func (s *session) base(client *operator.Client, given *uint64) (uint64, error) {
	if given != nil {
		return *given, nil
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return 0, err
	}
	return status.Version, nil
}

// resend is what a change whose outcome is not known is resent with.
type resend struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
}

// advise prints how to resend a change whose outcome is not known.
func (s *session) advise(change operator.Change, err error) {
	u, ok := errors.AsType[*operator.UnreachableError](err)
	if ok && u.Outcome == operator.Unknown && s.json {
		s.resend = &resend{ID: change.ID, Base: change.Base}
		return
	}
	if ok && u.Outcome == operator.Unknown {
		_, _ = fmt.Fprintf(s.stderr, "the change may have been accepted; resend it with --id %s --base %d\n", change.ID, change.Base)
	}
}

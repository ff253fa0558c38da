package cmd

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"godwitspindle/io/operator"
)

// ContentFlags holds the flags that name the file with the content of a change; exactly one of them must be set.
type ContentFlags struct {
	Register string `arg:"--register" placeholder:"FILE" help:"register to put in force"`
	Rules    string `arg:"--rules" placeholder:"FILE" help:"rule set to put in force"`

	Customers string `arg:"--customers" placeholder:"FILE" help:"all customers with their API keys and quotas, in place of those before"`
}

// ChangeFlags holds the flags that describe a change.
type ChangeFlags struct {
	Base   *uint64 `arg:"--base" placeholder:"VERSION" help:"version that the change was made on [default: the current one]"`
	Author string  `arg:"--author" placeholder:"NAME" help:"who makes the change [default: $USER]"`
	Reason string  `arg:"--reason" placeholder:"TEXT" help:"why"`
	ID     string  `arg:"--id" placeholder:"ID" help:"id of an earlier attempt, to resend it [default: a new one]"`
}

// WaitFlags holds the flags for the wait after a change.
type WaitFlags struct {
	Wait    bool          `arg:"--wait" help:"wait until the change is in force on every node"`
	Timeout time.Duration `arg:"--timeout" placeholder:"TIME" default:"30s" help:"longest wait"`
}

// applyCommand proposes a register or a rule set.
type applyCommand struct {
	ContentFlags
	ChangeFlags
	WaitFlags
	ConnectionFlags
}

func (c *applyCommand) run(iv *invocation) error {
	change, err := c.change(iv)
	if err != nil {
		return err
	}
	return iv.propose(change, &c.ChangeFlags, &c.WaitFlags, &c.ConnectionFlags)
}

// change reads the file that the flags name and checks it before anything is sent.
func (c *ContentFlags) change(iv *invocation) (operator.Change, error) {
	files := slices.DeleteFunc([]string{c.Register, c.Rules, c.Customers}, func(name string) bool { return name == "" })
	if len(files) != 1 {
		return operator.Change{}, &InputError{Name: "--register, --rules, --customers", Expected: "exactly one of them, as each change has one owner"}
	}
	file := files[0]
	data, err := os.ReadFile(file)
	if err != nil {
		return operator.Change{}, &InputError{Name: file, Expected: "a readable file"}
	}
	faults := iv.checkContent(c.Register, c.Rules, c.Customers)
	if len(faults) > 0 {
		return operator.Change{}, &FaultsError{Faults: faults}
	}
	if !json.Valid(data) {
		return operator.Change{}, &InputError{Name: file, Expected: "one valid JSON object"}
	}
	switch {
	case c.Register != "":
		return operator.Change{Register: data}, nil
	case c.Customers != "":
		return operator.Change{Customers: data}, nil
	}
	return operator.Change{Rules: data}, nil
}

// propose sends a change and, with --wait, waits until its version is in force. The default base is the current version, the
// default author $USER and the default id a random text.
func (iv *invocation) propose(change operator.Change, flags *ChangeFlags, w *WaitFlags, c *ConnectionFlags) error {
	if flags.Reason == "" {
		return &InputError{Name: "--reason", Expected: "a sentence for the history"}
	}
	change.Author, change.Reason, change.ID = flags.Author, flags.Reason, flags.ID
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
	change.Base, err = iv.baseVersion(client, flags.Base)
	if err != nil {
		return err
	}
	accepted, err := client.Apply(iv.ctx, change)
	if err != nil {
		iv.adviseResend(change, err)
		return err
	}
	if !c.JSON {
		iv.printf("accepted as version %d: %s, %d differences, id %s\n", accepted.Version, accepted.Part, len(accepted.Differences), accepted.ID)
	}
	if c.JSON {
		if err := iv.printJSON(accepted); err != nil {
			return err
		}
	}
	if !w.Wait {
		return nil
	}
	return iv.wait(client, accepted.Version, w.Timeout, c.JSON)
}

// baseVersion returns the given base, or the current version if base is nil.
func (iv *invocation) baseVersion(client *operator.Client, base *uint64) (uint64, error) {
	if base != nil {
		return *base, nil
	}
	status, err := client.Status(iv.ctx)
	if err != nil {
		return 0, err
	}
	return status.Version, nil
}

// resend holds the values of --id and --base with which to resend a change whose outcome is unknown.
type resend struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
}

// adviseResend prints how to resend a change whose outcome is unknown; with --json it stores the id and base for the JSON error.
func (iv *invocation) adviseResend(change operator.Change, err error) {
	u, ok := errors.AsType[*operator.UnreachableError](err)
	if ok && u.Outcome == operator.Unknown && iv.json {
		iv.resend = &resend{ID: change.ID, Base: change.Base}
		return
	}
	if ok && u.Outcome == operator.Unknown {
		_, _ = fmt.Fprintf(iv.stderr, "the change may have been accepted; resend it with --id %s --base %d\n", change.ID, change.Base)
	}
}

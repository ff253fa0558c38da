package cmd

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// platformExtension is the file extension of settings files of the users' platform.
const platformExtension = ".toml"

// checkCommand reports all faults of the named files, entries without effect, and with --at what differs from the version in force.
type checkCommand struct {
	File     string `arg:"positional" placeholder:"FILE" help:"settings"`
	Register string `arg:"--register" placeholder:"FILE" help:"register"`
	Rules    string `arg:"--rules" placeholder:"FILE" help:"rule set"`

	Customers string           `arg:"--customers" placeholder:"FILE" help:"customers"`
	Config    string           `arg:"--config" placeholder:"FILE" help:"whole configuration of the users' platform"`
	At        []netip.AddrPort `arg:"--at,separate" placeholder:"ADDRESS" help:"admin listener of a control host, to compare with --config; repeat for more"`
	JSON      bool             `arg:"--json" help:"print JSON"`
}

// checkReport is the result of a check without faults.
type checkReport struct {
	Warnings    []Warning             `json:"warnings"`
	Differences []operator.Difference `json:"differences,omitempty"`
}

func (c *checkCommand) run(iv *invocation) error {
	if c.File == "" && c.Register == "" && c.Rules == "" && c.Customers == "" && c.Config == "" {
		return &InputError{Name: "FILE", Expected: "a file to check"}
	}
	if len(c.At) > 0 && c.Config == "" {
		return &InputError{Name: "--at", Expected: "--config with it; plan compares a register, a rule set or customers"}
	}
	var faults []process.Fault
	if c.File != "" {
		err := iv.checkSettings(c.File)
		if e, ok := errors.AsType[*process.SettingsError](err); ok {
			faults = append(faults, e.Faults...)
		}
	}
	faults = append(faults, iv.checkContent(c.Register, c.Rules, c.Customers)...)
	if len(faults) > 0 {
		return &FaultsError{Faults: faults}
	}
	report := checkReport{Warnings: []Warning{}}
	if err := c.checkParts(iv, &report); err != nil {
		return err
	}
	if c.Config != "" {
		if err := c.checkConfiguration(iv, &report); err != nil {
			return err
		}
	}
	if c.JSON {
		return iv.printJSON(report)
	}
	for _, w := range report.Warnings {
		iv.printf("warning: %s: %s\n", w.Key, w.Text)
	}
	if len(c.At) > 0 {
		iv.printDifferences(report.Differences)
	}
	return nil
}

// checkParts checks the register, the rule set and the customers together. The mesh may have other rule sets, so what the rules refer
// to is checked only if there is a register.
func (c *checkCommand) checkParts(iv *invocation, report *checkReport) error {
	content, err := c.parts(iv)
	if err != nil || content == nil {
		return err
	}
	if c.Register != "" && c.Rules != "" && iv.Checks.Validate != nil {
		if err := iv.Checks.Validate(content); err != nil {
			return &FaultsError{Faults: iv.faultsIn(c.Rules, err)}
		}
	}
	if iv.Checks.Warnings != nil {
		report.Warnings = append(report.Warnings, iv.Checks.Warnings(content, false)...)
	}
	return nil
}

// parts returns the content of the register, rules and customers files, nil if none is named. The files have no faults.
func (c *checkCommand) parts(iv *invocation) (*wire.Content, error) {
	content := &wire.Content{}
	named := 0
	read := func(file string, hasParser bool, parse func(data []byte) error) error {
		if file == "" || !hasParser {
			return nil
		}
		named++
		data, err := os.ReadFile(file)
		if err != nil {
			return &InputError{Name: file, Expected: "a readable file"}
		}
		return parse(data)
	}
	err := read(c.Register, iv.ParseRegister != nil, func(data []byte) (err error) {
		content.Register, err = iv.ParseRegister(data)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = read(c.Rules, iv.ParseRules != nil, func(data []byte) error {
		rules, err := iv.ParseRules(data)
		content.Sets = append(content.Sets, rules)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = read(c.Customers, iv.ParseCustomers != nil, func(data []byte) error {
		customers, err := iv.ParseCustomers(data)
		content.Customers = customers.GetCustomers()
		return err
	})
	if err != nil || named == 0 {
		return nil, err
	}
	return content, nil
}

// checkConfiguration checks a whole configuration of the users' platform and, with --at, compares it with the one in force.
func (c *checkCommand) checkConfiguration(iv *invocation, report *checkReport) error {
	if iv.Checks.Parse == nil {
		return &NotBuiltError{Command: "check --config"}
	}
	var content *wire.Content
	faults := iv.checkFile(c.Config, func(data []byte) (err error) {
		if content, err = iv.Checks.Parse(data); err != nil {
			return err
		}
		return iv.Checks.Validate(content)
	})
	if len(faults) > 0 {
		return &FaultsError{Faults: faults}
	}
	report.Warnings = append(report.Warnings, iv.Checks.Warnings(content, true)...)
	if len(c.At) == 0 {
		return nil
	}
	current, err := c.inForce(iv)
	if err != nil {
		return err
	}
	report.Differences = operator.NewAccepted(&wire.Accepted{Differences: iv.Checks.Differences(current, content)}).Differences
	return nil
}

// inForce returns the configuration in force from the first control host that answers.
func (c *checkCommand) inForce(iv *invocation) (*wire.Content, error) {
	ctx, cancel := context.WithTimeout(iv.ctx, readTimeout)
	defer cancel()
	var last error
	for _, a := range c.At {
		current, err := iv.Checks.Read(ctx, a)
		if err == nil {
			return current, nil
		}
		last = err
	}
	return nil, &operator.Problem{
		Title: "no control host sent the configuration in force", Code: operator.CodeUnavailable, Detail: last.Error(),
		Next: "pass --at with the admin listener of a control host, one for each",
	}
}

// readTimeout limits the reads of the configuration in force, from all control hosts together.
const readTimeout = 10 * time.Second

// checkSettings parses a settings file: a .toml file as the platform's if CheckPlatform is set, any other as the product's own.
func (iv *invocation) checkSettings(path string) error {
	if filepath.Ext(path) == platformExtension && iv.CheckPlatform != nil {
		return iv.CheckPlatform(path)
	}
	_, err := process.Load(path)
	return err
}

// checkContent returns the faults of a register, a rules and a customers file; it skips a file without a name or without a parser.
func (iv *invocation) checkContent(register, rules, customers string) []process.Fault {
	var list []process.Fault
	if register != "" && iv.ParseRegister != nil {
		list = iv.checkFile(register, func(data []byte) error {
			_, err := iv.ParseRegister(data)
			return err
		})
	}
	if rules != "" && iv.ParseRules != nil {
		list = append(list, iv.checkFile(rules, func(data []byte) error {
			_, err := iv.ParseRules(data)
			return err
		})...)
	}
	if customers != "" && iv.ParseCustomers != nil {
		list = append(list, iv.checkFile(customers, func(data []byte) error {
			_, err := iv.ParseCustomers(data)
			return err
		})...)
	}
	return list
}

func (iv *invocation) checkFile(file string, parse func([]byte) error) []process.Fault {
	data, err := os.ReadFile(file)
	if err != nil {
		return []process.Fault{{File: file, Expected: "a readable file"}}
	}
	err = parse(data)
	if err == nil {
		return nil
	}
	return iv.faultsIn(file, err)
}

// faultsIn returns the faults that an error of a parser lists.
func (iv *invocation) faultsIn(file string, err error) []process.Fault {
	var faults []*wire.Fault
	if iv.Faults != nil {
		faults = iv.Faults(err)
	}
	if len(faults) == 0 {
		return []process.Fault{{File: file, Expected: "valid content: " + err.Error()}}
	}
	list := make([]process.Fault, 0, len(faults))
	for _, f := range faults {
		list = append(list, process.Fault{File: file, Field: f.GetField(), Expected: f.GetExpected()})
	}
	return list
}

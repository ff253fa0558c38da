package cmd

import (
	"errors"
	"os"
	"path/filepath"

	"godwitspindle/core/wire"
	"godwitspindle/io/process"
)

// platformExtension is the file extension of settings files of the users' platform.
const platformExtension = ".toml"

// checkCommand reports all faults of the named files.
type checkCommand struct {
	File     string `arg:"positional" placeholder:"FILE" help:"settings"`
	Register string `arg:"--register" placeholder:"FILE" help:"register"`
	Rules    string `arg:"--rules" placeholder:"FILE" help:"rule set"`

	Customers string `arg:"--customers" placeholder:"FILE" help:"customers"`
}

func (c *checkCommand) run(iv *invocation) error {
	if c.File == "" && c.Register == "" && c.Rules == "" && c.Customers == "" {
		return &InputError{Name: "FILE", Expected: "a file to check"}
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
	return nil
}

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

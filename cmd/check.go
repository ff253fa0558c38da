package cmd

import (
	"errors"
	"os"
	"path/filepath"

	"godwitspindle/core/wire"
	"godwitspindle/io/process"
)

// platformExtension is that of the settings files of the users' platform.
const platformExtension = ".toml"

// checkCommand reports every fault of the named files.
type checkCommand struct {
	File     string `arg:"positional" placeholder:"FILE" help:"settings"`
	Register string `arg:"--register" placeholder:"FILE" help:"register"`
	Rules    string `arg:"--rules" placeholder:"FILE" help:"rule set"`
}

func (c *checkCommand) run(s *session) error {
	if c.File == "" && c.Register == "" && c.Rules == "" {
		return &InputError{Name: "FILE", Expected: "a file to check"}
	}
	var faults []process.Fault
	if c.File != "" {
		err := s.load(c.File)
		if e, ok := errors.AsType[*process.SettingsError](err); ok {
			faults = append(faults, e.Faults...)
		}
	}
	faults = append(faults, s.faults(c.Register, c.Rules)...)
	if len(faults) > 0 {
		return &FaultsError{Faults: faults}
	}
	return nil
}

// load reads a settings file: one in TOML is the platform's, any other the product's own.
func (s *session) load(path string) error {
	if filepath.Ext(path) == platformExtension && s.CheckPlatform != nil {
		return s.CheckPlatform(path)
	}
	_, err := process.Load(path)
	return err
}

// faults checks a register and a rules file; an empty name is skipped.
func (s *session) faults(register, rules string) []process.Fault {
	var list []process.Fault
	if register != "" && s.ParseRegister != nil {
		list = s.parse(register, func(data []byte) error {
			_, err := s.ParseRegister(data)
			return err
		})
	}
	if rules != "" && s.ParseRules != nil {
		list = append(list, s.parse(rules, func(data []byte) error {
			_, err := s.ParseRules(data)
			return err
		})...)
	}
	return list
}

func (s *session) parse(file string, f func([]byte) error) []process.Fault {
	data, err := os.ReadFile(file)
	if err != nil {
		return []process.Fault{{File: file, Expected: "a readable file"}}
	}
	err = f(data)
	if err == nil {
		return nil
	}
	var faults []*wire.Fault
	if s.Faults != nil {
		faults = s.Faults(err)
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

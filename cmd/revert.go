package cmd

import "godwitspindle/io/operator"

// revertCommand proposes the content of an earlier version as a new, higher one.
type revertCommand struct {
	Version uint64 `arg:"positional,required" placeholder:"VERSION" help:"version of the change whose content is restored"`
	Signature
	Waiting
	Connection
}

func (c *revertCommand) run(s *session) error {
	return s.propose(operator.Change{Revert: c.Version}, &c.Signature, &c.Waiting, &c.Connection)
}

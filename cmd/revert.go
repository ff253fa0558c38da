package cmd

import "godwitspindle/io/operator"

// revertCommand proposes the content of an earlier version as a new version.
type revertCommand struct {
	Version uint64 `arg:"positional,required" placeholder:"VERSION" help:"version of the change whose content is restored"`
	ChangeFlags
	WaitFlags
	ConnectionFlags
}

func (c *revertCommand) run(iv *invocation) error {
	return iv.propose(operator.Change{Revert: c.Version}, &c.ChangeFlags, &c.WaitFlags, &c.ConnectionFlags)
}

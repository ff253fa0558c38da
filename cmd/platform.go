package cmd

// platformCommand runs a process on the users' platform until SIGTERM.
type platformCommand struct{}

func (c *platformCommand) run(iv *invocation) error {
	if iv.Platform == nil {
		return &NotBuiltError{Command: "platform"}
	}
	return iv.Platform(iv.ctx, iv.stdout)
}

package cmd

// platformCommand runs one process on the users' platform until SIGTERM.
type platformCommand struct{}

func (c *platformCommand) run(s *session) error {
	if s.Platform == nil {
		return &MissingPartError{Command: "platform"}
	}
	return s.Platform(s.ctx, s.stdout)
}

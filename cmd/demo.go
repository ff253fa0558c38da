package cmd

// demoCommand runs a small mesh in one process.
type demoCommand struct {
	Keep bool `arg:"--keep" help:"leave the mesh running and print its addresses"`
}

func (c *demoCommand) run(s *session) error {
	if s.Demo == nil {
		return &MissingPartError{Command: "demo"}
	}
	return s.Demo(s.ctx, c.Keep, s.stdout, s.stderr)
}

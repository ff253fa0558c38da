package cmd

// demoCommand runs a small mesh in this process.
type demoCommand struct {
	Keep bool `arg:"--keep" help:"leave the mesh running and print its addresses"`
}

func (c *demoCommand) run(iv *invocation) error {
	if iv.Demo == nil {
		return &NotBuiltError{Command: "demo"}
	}
	return iv.Demo(iv.ctx, c.Keep, iv.stdout, iv.stderr)
}

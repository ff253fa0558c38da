package cmd

// showCommand prints register and rules in the form of operators' files.
type showCommand struct {
	Version  uint64 `arg:"--version" placeholder:"VERSION" help:"version of a change [default: the current one]"`
	Register bool   `arg:"--register" help:"print the register only, as a file for apply"`
	Rules    string `arg:"--rules" placeholder:"SET" help:"print one rule set only, as a file for apply"`
	Stale    bool   `arg:"--stale" help:"print what one replica holds when no majority can confirm it; it may be old"`
	Connection
}

func (c *showCommand) run(s *session) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	content, err := client.Show(s.ctx, c.Version, c.Stale)
	if err != nil {
		return err
	}
	if c.Register {
		return s.print(content.Register)
	}
	if c.Rules == "" {
		return s.print(content)
	}
	for _, r := range content.Sets {
		if r.Set == c.Rules {
			return s.print(r)
		}
	}
	return &InputError{Name: "--rules", Expected: "a rule set of the mesh, not " + c.Rules}
}

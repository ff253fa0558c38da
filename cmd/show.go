package cmd

// showCommand prints register, rules and the customers without their keys, or with --register or --rules one of them as a file for apply.
type showCommand struct {
	Version  uint64 `arg:"--version" placeholder:"VERSION" help:"version of a change [default: the current one]"`
	Register bool   `arg:"--register" help:"print the register only, as a file for apply"`
	Rules    string `arg:"--rules" placeholder:"SET" help:"print one rule set only, as a file for apply"`
	Stale    bool   `arg:"--stale" help:"print what one replica holds when no majority can confirm it; it may be old"`
	ConnectionFlags
}

func (c *showCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	content, err := client.Show(iv.ctx, c.Version, c.Stale)
	if err != nil {
		return err
	}
	if c.Register {
		return iv.printJSON(content.Register)
	}
	if c.Rules == "" {
		return iv.printJSON(content)
	}
	for _, r := range content.Sets {
		if r.Set == c.Rules {
			return iv.printJSON(r)
		}
	}
	return &InputError{Name: "--rules", Expected: "a rule set of the mesh, not " + c.Rules}
}

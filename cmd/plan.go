package cmd

import "godwitspindle/io/operator"

// planCommand shows what apply would change.
type planCommand struct {
	ContentFlags
	Base *uint64 `arg:"--base" placeholder:"VERSION" help:"version that the change was made on [default: the current one]"`
	ConnectionFlags
}

func (c *planCommand) run(iv *invocation) error {
	change, err := c.change(iv)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	change.Base, err = iv.baseVersion(client, c.Base)
	if err != nil {
		return err
	}
	plan, err := client.Plan(iv.ctx, change)
	if err != nil {
		return err
	}
	if c.JSON {
		return iv.printJSON(plan)
	}
	iv.printf("%s on version %d\n", plan.Part, change.Base)
	iv.printDifferences(plan.Differences)
	return nil
}

// printDifferences prints differences: + for an added entry, - for a removed one, ~ for a changed field.
func (iv *invocation) printDifferences(differences []operator.Difference) {
	added, removed, changed := 0, 0, 0
	for _, d := range differences {
		switch {
		case d.Field != "":
			changed++
			iv.printf("~ %s %s: %s -> %s\n", d.Key, d.Field, quote(d.Before), quote(d.After))
		case d.Before != "" && d.After == "":
			removed++
			iv.printf("- %s %s\n", d.Key, d.Before)
		default:
			added++
			iv.printf("+ %s %s\n", d.Key, d.After)
		}
	}
	iv.printf("%d added, %d changed fields, %d removed\n", added, changed, removed)
}

// quote returns the value, or two quotation marks for an empty one.
func quote(value string) string {
	if value == "" {
		return `""`
	}
	return value
}

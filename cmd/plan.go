package cmd

import "godwitspindle/io/operator"

// planCommand shows what apply would change.
type planCommand struct {
	Content
	Base *uint64 `arg:"--base" placeholder:"VERSION" help:"version that the change was made on [default: the current one]"`
	Connection
}

func (c *planCommand) run(s *session) error {
	change, err := c.change(s)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	change.Base, err = s.base(client, c.Base)
	if err != nil {
		return err
	}
	plan, err := client.Plan(s.ctx, change)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.print(plan)
	}
	s.printf("%s on version %d\n", plan.Part, change.Base)
	s.diff(plan.Differences)
	return nil
}

// diff prints differences: + for an added entry, - for a removed one, ~ for a changed field.
func (s *session) diff(differences []operator.Difference) {
	added, removed, changed := 0, 0, 0
	for _, d := range differences {
		switch {
		case d.Field != "":
			changed++
			s.printf("~ %s %s: %s -> %s\n", d.Key, d.Field, quote(d.Before), quote(d.After))
		case d.Before != "" && d.After == "":
			removed++
			s.printf("- %s %s\n", d.Key, d.Before)
		default:
			added++
			s.printf("+ %s %s\n", d.Key, d.After)
		}
	}
	s.printf("%d added, %d changed fields, %d removed\n", added, changed, removed)
}

// quote makes an empty value visible.
func quote(value string) string {
	if value == "" {
		return `""`
	}
	return value
}

package cmd

import (
	"fmt"
)

// historyCommand prints accepted changes, newest last.
type historyCommand struct {
	Limit int `arg:"--limit" default:"20" help:"number of changes, up to 1000"`
	ConnectionFlags
}

func (c *historyCommand) run(iv *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	h, err := client.History(iv.ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return iv.printJSON(h)
	}
	w := iv.table()
	_, _ = fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tPART\tDIFFERENCES\tREASON")
	for _, a := range h.Changes {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\n", a.Version, a.Time.Format(timeFormat), a.Author, a.Part, len(a.Differences), a.Reason)
	}
	_ = w.Flush()
	return nil
}

package host

import (
	"time"

	"godwitspindle/io/operator"
)

// hearing says which voters this replica hears; those silent for silentAfter are missing.
func (c *control) hearing(now time.Time) operator.Hearing {
	st := c.replica.Status()
	v := operator.Hearing{Node: c.name, Voters: len(st.Members.Voters)}
	heard := func(id string) bool { return id == st.ID || now.Sub(st.Heard[id]) < silentAfter }
	for _, id := range st.Members.Voters {
		if heard(id) {
			v.Heard++
			continue
		}
		v.Missing = append(v.Missing, operator.Silence{Identity: id, Heard: operator.Duration(now.Sub(st.Heard[id]))})
	}
	v.Majority = v.Voters == 0 || st.Members.Quorate(heard)
	return v
}

package host

import (
	"slices"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/io/operator"
)

// hearing says which voters this replica knows to be alive; those silent for silentAfter are missing. During a replacement the
// outgoing voters count too.
func (c *control) hearing(now time.Time) operator.Hearing { return hearingOf(now, c.replica.Status()) }

func hearingOf(now time.Time, st agreement.Status) operator.Hearing {
	voters := slices.Concat(st.Members.Voters, st.Members.Outgoing)
	slices.Sort(voters)
	voters = slices.Compact(voters)
	alive := func(id string) bool { return id == st.ID || now.Sub(st.Heard[id]) < silentAfter }
	v := operator.Hearing{Node: agreement.Name(st.ID), Voters: len(voters)}
	for _, id := range voters {
		if alive(id) {
			v.Heard++
			continue
		}
		v.Missing = append(v.Missing, operator.Silence{Identity: id, Heard: operator.Duration(now.Sub(st.Heard[id]))})
	}
	v.Majority = v.Voters == 0 || st.Members.Quorate(alive)
	return v
}

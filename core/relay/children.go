package relay

import "time"

// Children returns the number of nodes that poll this one.
func (t *Tracker) Children() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.children)
}

// Lowest returns the lowest version that a node below holds.
func (t *Tracker) Lowest() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lowest := ^uint64(0)
	for _, c := range t.children {
		lowest = min(lowest, c.lowest)
	}
	return lowest
}

// Fresh returns a function that reports whether a node was heard within two poll intervals of now. It looks a name up when
// asked, since a choice of relays asks only about the few best nodes.
func (t *Tracker) Fresh(now time.Time) func(name string) bool {
	return func(name string) bool {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		n := t.names[name]
		return n != nil && now.Sub(n.heard) < quietPolls*t.poll
	}
}

// Retell makes the next report name every node that was heard lately, for an upstream that knows none of them or that may
// have missed a report. Two reports can be under way at once, so all names are told again and not only those of the last.
func (t *Tracker) Retell(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, n := range t.names {
		if now.Sub(n.heard) < quietPolls*t.poll {
			n.fresh, n.told = true, false
		}
	}
	t.named = time.Time{}
}

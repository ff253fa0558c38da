package relay

import "time"

// Children returns the number of nodes that poll this one, including silent ones that are not removed yet.
func (t *Tracker) Children() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.children)
}

// LowestVersion returns the lowest version held by any node below this one, according to the last polls, or the largest uint64
// if there is no such node.
func (t *Tracker) LowestVersion() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lowest := ^uint64(0)
	for _, c := range t.children {
		lowest = min(lowest, c.lowest)
	}
	return lowest
}

// RecentlyHeard returns a function that reports whether a node was heard within two poll intervals of now. Each call of that
// function locks the tracker; no set is built, since the selection of relays asks only about a few nodes.
func (t *Tracker) RecentlyHeard(now time.Time) func(name string) bool {
	return func(name string) bool {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		n := t.nodes[name]
		return n != nil && now.Sub(n.heard) < unreachablePolls*t.poll
	}
}

// ResendNames makes the next report name every node heard within two poll intervals; call it for a new upstream or when
// a report may be lost. The names of the last report would not suffice, since two reports can be in flight at once.
func (t *Tracker) ResendNames(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, n := range t.nodes {
		if now.Sub(n.heard) < unreachablePolls*t.poll {
			n.unreported, n.moveReported = true, false
		}
	}
	t.namesSentAt = time.Time{}
}

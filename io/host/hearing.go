package host

import (
	"sync"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/io/operator"
)

// heardTable keeps when the other replicas were last heard. A heartbeat of a leader counts for all of them, since a follower
// hears no other replica while there is a leader.
type heardTable struct {
	mu         sync.Mutex
	heartbeat  time.Time // last heartbeat, or the start of the process
	byIdentity map[string]time.Time
}

func newHeardTable(now time.Time) *heardTable {
	return &heardTable{heartbeat: now, byIdentity: map[string]time.Time{}}
}

func (t *heardTable) record(now time.Time, m agreement.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byIdentity[m.From] = now
	if m.Kind == agreement.Heartbeat {
		t.heartbeat = now
	}
}

func (t *heardTable) last(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.byIdentity[id]
	if t.heartbeat.After(at) {
		return t.heartbeat
	}
	return at
}

// lastHeard returns when this replica last knew that another one was alive.
func (c *control) lastHeard(st agreement.Status, id string) time.Time {
	if st.Role == agreement.Leader {
		return st.Progress[id].LastHeard
	}
	return c.heard.last(id)
}

// step passes a message of another replica on to the local one.
func (c *control) step(m agreement.Message) {
	c.heard.record(time.Now(), m)
	c.replica.Step(m)
}

// hearing says which voters this replica hears; those silent for silentAfter are missing.
func (c *control) hearing(now time.Time) operator.Hearing {
	st := c.replica.Status()
	v := operator.Hearing{Node: c.name, Voters: len(st.Members.Voters)}
	for _, id := range st.Members.Voters {
		silent := now.Sub(c.lastHeard(st, id))
		if id == st.ID || silent < silentAfter {
			v.Heard++
			continue
		}
		v.Missing = append(v.Missing, operator.Silence{Identity: id, Heard: operator.Duration(silent)})
	}
	v.Majority = v.Voters == 0 || v.Heard > v.Voters/2
	return v
}

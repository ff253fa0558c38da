package store

import (
	"slices"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// maxFormerIncarnations is the maximum number of former incarnations kept for each node and endpoint.
const maxFormerIncarnations = 8

// former holds what is known of the processes of an entry that it no longer lists.
type former struct {
	ended []uint64 // incarnations that have ended, oldest first
	last  uint64   // incarnation of the endpoint when it was last unlisted without a departure; 0 if it was not
}

// HasEnded reports whether the process of an endpoint was replaced or has left for good, so that an announcement of it is late.
func (s *Store) HasEnded(e *wire.Endpoint) bool {
	return s.members.hasEnded(config.KeyOf(e), e.GetIncarnation())
}

func (m *members) hasEnded(key string, incarnation uint64) bool {
	f := m.former[key]
	return f != nil && slices.Contains(f.ended, incarnation)
}

// depart records that a process of an endpoint has left for good, and removes the endpoint unless it belongs to another process. It
// ignores an invalid departure and returns the keys of the entries that may have changed.
func (m *members) depart(d *wire.Departure) []string {
	if !config.ValidName(d.GetService()) || !config.ValidName(d.GetName()) {
		return nil
	}
	name := d.GetService() + "/" + d.GetName()
	key := config.KeyOf(&wire.Endpoint{Service: d.GetService(), Name: d.GetName()})
	incarnation := d.GetIncarnation()
	if d.GetLast() {
		incarnation = m.lastProcess(name, key)
	}
	if incarnation == 0 {
		return nil
	}
	m.retire(key, incarnation)
	if e := m.endpoints[name]; e == nil || e.GetIncarnation() != incarnation {
		return nil
	}
	delete(m.endpoints, name)
	return []string{key}
}

// lastProcess returns the incarnation of the process that is listed for an endpoint or was listed last, and 0 if there is none or it
// states no incarnation.
func (m *members) lastProcess(name, key string) uint64 {
	if e := m.endpoints[name]; e != nil {
		if e.GetIncarnation() == m.nodes[e.GetNode()].GetIncarnation() {
			return 0
		}
		return e.GetIncarnation()
	}
	if f := m.former[key]; f != nil {
		return f.last
	}
	return 0
}

// retire records an incarnation that has ended. Above maxFormerIncarnations incarnations of the key it drops the oldest of them.
func (m *members) retire(key string, incarnation uint64) {
	if m.hasEnded(key, incarnation) {
		return
	}
	f := m.formerOf(key)
	f.ended = append(f.ended, incarnation)
	f.ended = f.ended[max(len(f.ended)-maxFormerIncarnations, 0):]
}

// formerOf returns the former processes of an entry for a change, and makes the entry the last one to be dropped. Above MaxRetiredKeys
// entries it drops the one whose last change is the oldest.
func (m *members) formerOf(key string) *former {
	f := m.former[key]
	if f == nil {
		f = &former{}
		m.former[key] = f
	} else {
		i := slices.Index(m.retired, key)
		m.retired = slices.Delete(m.retired, i, i+1)
	}
	m.retired = append(m.retired, key)
	if len(m.retired) > MaxRetiredKeys {
		delete(m.former, m.retired[0])
		m.retired = m.retired[1:]
	}
	return f
}

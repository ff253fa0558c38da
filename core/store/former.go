package store

import (
	"slices"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// maxFormerIncarnations is the maximum number of former incarnations kept for each node and endpoint.
const maxFormerIncarnations = 8

// HasEnded reports whether the process of an endpoint was replaced or has left for good, so that an announcement of it is late.
func (s *Store) HasEnded(e *wire.Endpoint) bool {
	return s.members.hasEnded(config.KeyOf(e), e.GetIncarnation())
}

func (m *members) hasEnded(key string, incarnation uint64) bool {
	return slices.Contains(m.former[key], incarnation)
}

// depart records that a process of an endpoint has left for good, and removes the endpoint unless it belongs to another process. It
// ignores an invalid departure and returns the keys of the entries that may have changed.
func (m *members) depart(d *wire.Departure) []string {
	if !config.ValidName(d.GetService()) || !config.ValidName(d.GetName()) || d.GetIncarnation() == 0 {
		return nil
	}
	name := d.GetService() + "/" + d.GetName()
	key := config.KeyOf(&wire.Endpoint{Service: d.GetService(), Name: d.GetName()})
	m.retire(key, d.GetIncarnation())
	if e := m.endpoints[name]; e == nil || e.GetIncarnation() != d.GetIncarnation() {
		return nil
	}
	delete(m.endpoints, name)
	return []string{key}
}

// retire records an incarnation that has ended. Above MaxRetiredKeys keys it drops the one whose last addition is the oldest, and above
// maxFormerIncarnations incarnations of this key the oldest of them.
func (m *members) retire(key string, incarnation uint64) {
	if m.hasEnded(key, incarnation) {
		return
	}
	if m.former[key] != nil {
		i := slices.Index(m.retired, key)
		m.retired = slices.Delete(m.retired, i, i+1)
	}
	m.retired = append(m.retired, key)
	if len(m.retired) > MaxRetiredKeys {
		delete(m.former, m.retired[0])
		m.retired = m.retired[1:]
	}
	former := append(m.former[key], incarnation)
	m.former[key] = former[max(len(former)-maxFormerIncarnations, 0):]
}

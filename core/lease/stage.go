package lease

import (
	"slices"
	"time"

	"godwitspindle/core/wire"
)

// launch notes what a command says about each node until it is applied or has failed.
func (t *Table) launch(m *wire.Membership) {
	for k, e := range t.affected(m) {
		f := t.flights[k]
		if f == nil {
			f = &flight{endpoints: map[string]bool{}}
			t.flights[k] = f
		}
		f.commands++
		for _, c := range e {
			f.endpoints[c] = true
		}
	}
	for _, n := range m.GetJoins() {
		t.flights[n.GetName()].joined = n
	}
}

func (t *Table) land(m *wire.Membership) {
	for k := range t.affected(m) {
		f := t.flights[k]
		if f == nil {
			continue
		}
		f.commands--
		if f.commands <= 0 {
			delete(t.flights, k)
		}
	}
}

// affected returns the nodes that a command touches, with the endpoints that it adds.
func (t *Table) affected(m *wire.Membership) map[string][]string {
	out := map[string][]string{}
	for _, n := range m.GetJoins() {
		out[n.GetName()] = nil
	}
	for _, k := range m.GetLeaves() {
		out[k] = nil
	}
	for _, k := range m.GetRemoved() {
		if e := t.endpoints[k]; e != nil {
			out[e.GetNode()] = out[e.GetNode()]
		}
	}
	for _, e := range m.GetEndpoints() {
		out[e.GetNode()] = append(out[e.GetNode()], key(e))
	}
	return out
}

// unstage takes back what is staged for a node, since a newer announcement replaces it.
func (t *Table) unstage(name string) {
	s := &t.staged
	s.Joins = slices.DeleteFunc(s.Joins, func(n *wire.Node) bool { return n.GetName() == name })
	s.Endpoints = slices.DeleteFunc(s.Endpoints, func(e *wire.Endpoint) bool { return e.GetNode() == name })
	s.Leaves = slices.DeleteFunc(s.Leaves, func(k string) bool { return k == name })
	n, f := t.nodes[name], t.flights[name]
	s.Removed = slices.DeleteFunc(s.Removed, func(k string) bool {
		return (n != nil && n.endpoints[k]) || (f != nil && f.endpoints[k])
	})
}

func (t *Table) stagedNode(name string) bool {
	return slices.Contains(t.staged.Leaves, name) ||
		slices.ContainsFunc(t.staged.Joins, func(n *wire.Node) bool { return n.GetName() == name }) ||
		slices.ContainsFunc(t.staged.Endpoints, func(e *wire.Endpoint) bool { return e.GetNode() == name })
}

func (t *Table) stagedKey(k string) bool {
	return slices.Contains(t.staged.Removed, k) ||
		slices.ContainsFunc(t.staged.Endpoints, func(e *wire.Endpoint) bool { return key(e) == k })
}

func (t *Table) touch(now time.Time) {
	if t.first.IsZero() {
		t.first = now
	}
}

func key(e *wire.Endpoint) string { return e.GetService() + "/" + e.GetName() }

func sorted(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

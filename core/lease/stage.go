package lease

import "godwitspindle/core/wire"

// change is what one command says about a node.
type change struct {
	join      *wire.Node
	endpoints []*wire.Endpoint
	leave     bool
	removed   []string
}

// change returns the staged change of a node, which is empty at first.
func (t *Table) change(name string) *change {
	c := t.staged[name]
	if c == nil {
		c = &change{}
		t.staged[name] = c
		t.order = append(t.order, name)
	}
	return c
}

// launch notes what a command says about each node until it is applied or has failed.
func (t *Table) launch(m *wire.Membership) {
	parts := map[string]*change{}
	for _, k := range t.split(m, parts) {
		c := parts[k]
		f := t.flights[k]
		if f == nil {
			f = &flight{endpoints: map[string]bool{}}
			t.flights[k] = f
		}
		f.commands++
		if c.join != nil {
			f.joined = c.join
		}
		for _, e := range c.endpoints {
			f.endpoints[key(e)] = true
		}
	}
}

func (t *Table) land(m *wire.Membership) {
	for _, k := range t.split(m, map[string]*change{}) {
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

// split fills parts with what a command says about each node and returns the nodes in order.
func (t *Table) split(m *wire.Membership, parts map[string]*change) (order []string) {
	part := func(name string) *change {
		c := parts[name]
		if c == nil {
			c = &change{}
			parts[name] = c
			order = append(order, name)
		}
		return c
	}
	for _, n := range m.GetJoins() {
		part(n.GetName()).join = n
	}
	for _, e := range m.GetEndpoints() {
		c := part(e.GetNode())
		c.endpoints = append(c.endpoints, e)
	}
	for _, k := range m.GetLeaves() {
		part(k).leave = true
	}
	for _, k := range m.GetRemoved() {
		if owner := t.owner(k); owner != "" {
			c := part(owner)
			c.removed = append(c.removed, k)
		}
	}
	return order
}

// owner returns the node of an endpoint, agreed or under way; empty when it is gone already.
func (t *Table) owner(k string) string {
	if e := t.endpoints[k]; e != nil {
		return e.GetNode()
	}
	for n, f := range t.flights {
		if f.endpoints[k] {
			return n
		}
	}
	return ""
}

func key(e *wire.Endpoint) string { return e.GetService() + "/" + e.GetName() }

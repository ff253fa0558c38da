package lease

import "godwitspindle/core/wire"

// change is the part of a command that concerns one node.
type change struct {
	join      *wire.Node // nil if the node does not join
	endpoints []*wire.Endpoint
	leave     bool
	removed   []string // keys of removed endpoints
}

// stagedChange returns the staged change of a node and creates an empty one if there is none.
func (t *Table) stagedChange(name string) *change {
	c := t.staged[name]
	if c == nil {
		c = &change{}
		t.staged[name] = c
		t.stagedOrder = append(t.stagedOrder, name)
	}
	return c
}

// trackCommand records what a command changes on each node, until untrackCommand is called because the command was applied or
// failed.
func (t *Table) trackCommand(m *wire.Membership) {
	changes := map[string]*change{}
	for _, k := range t.splitByNode(m, changes) {
		c := changes[k]
		f := t.inFlight[k]
		if f == nil {
			f = &nodeInFlight{endpoints: map[string]bool{}}
			t.inFlight[k] = f
		}
		f.commands++
		if c.join != nil {
			f.joined = c.join
		}
		for _, e := range c.endpoints {
			f.endpoints[endpointKey(e)] = true
		}
	}
}

func (t *Table) untrackCommand(m *wire.Membership) {
	for _, k := range t.splitByNode(m, map[string]*change{}) {
		f := t.inFlight[k]
		if f == nil {
			continue
		}
		f.commands--
		if f.commands <= 0 {
			delete(t.inFlight, k)
		}
	}
}

// splitByNode adds the part of a command for each node to changes and returns the nodes in the order of their first part.
func (t *Table) splitByNode(m *wire.Membership, changes map[string]*change) (order []string) {
	part := func(name string) *change {
		c := changes[name]
		if c == nil {
			c = &change{}
			changes[name] = c
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
		if owner := t.endpointNode(k); owner != "" {
			c := part(owner)
			c.removed = append(c.removed, k)
		}
	}
	return order
}

// endpointNode returns the node of an endpoint that is committed or in flight, or an empty string if it is already removed.
func (t *Table) endpointNode(k string) string {
	if e := t.endpoints[k]; e != nil {
		return e.GetNode()
	}
	for n, f := range t.inFlight {
		if f.endpoints[k] {
			return n
		}
	}
	return ""
}

func endpointKey(e *wire.Endpoint) string { return e.GetService() + "/" + e.GetName() }

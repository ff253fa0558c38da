package store

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// members holds the announced nodes and endpoints, including endpoints of services that are not in the register.
//
// Incarnations are random numbers without an order, so members keeps those of processes that were replaced or have left for good: a
// join with a former incarnation is a late message of a process that has ended, and is ignored.
type members struct {
	nodes     map[string]*wire.Node     // by name
	endpoints map[string]*wire.Endpoint // by SERVICE/NAME
	former    map[string]*former        // by key of the entry
	retired   []string                  // keys of former, the one with the oldest last change first
}

func newMembers() *members {
	return &members{
		nodes:     make(map[string]*wire.Node),
		endpoints: make(map[string]*wire.Endpoint),
		former:    make(map[string]*former),
	}
}

// apply applies leaves before joins, so that a process that restarts within one batch is a member afterwards. It returns the keys
// of the entries that may have changed.
func (m *members) apply(c *wire.Membership) []string {
	var dirty []string
	for _, l := range c.GetLeaves() {
		dirty = append(dirty, m.removeNode(l)...)
	}
	for _, r := range c.GetRemoved() {
		dirty = append(dirty, m.removeEndpoint(r)...)
	}
	for _, d := range c.GetDeparted() {
		dirty = append(dirty, m.depart(d)...)
	}
	for _, n := range c.GetJoins() {
		dirty = append(dirty, m.addNode(n)...)
	}
	for _, e := range c.GetEndpoints() {
		dirty = append(dirty, m.addEndpoint(e)...)
	}
	slices.Sort(dirty)
	return slices.Compact(dirty)
}

// parseTarget parses NAME or NAME@INCARNATION; exact is set when only the process with that incarnation is
// meant. A malformed incarnation gives an empty name, which no entry has.
func parseTarget(text string) (name string, incarnation uint64, exact bool) {
	name, number, exact := strings.Cut(text, "@")
	if !exact {
		return name, 0, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return "", 0, true
	}
	return name, incarnation, true
}

func (m *members) removeNode(text string) []string {
	name, incarnation, exact := parseTarget(text)
	n := m.nodes[name]
	if n == nil || exact && n.GetIncarnation() != incarnation {
		return nil
	}
	dirty := []string{config.KeyOf(n)}
	for _, k := range m.endpointsOf(name) {
		dirty = append(dirty, m.unlist(k))
	}
	delete(m.nodes, name)
	return dirty
}

func (m *members) removeEndpoint(text string) []string {
	key, incarnation, exact := parseTarget(text)
	e := m.endpoints[key]
	if e == nil || exact && e.GetIncarnation() != incarnation {
		return nil
	}
	return []string{m.unlist(key)}
}

// endpointsOf returns the names of a node's endpoints in order, since the order in which they are unlisted is part of the state.
func (m *members) endpointsOf(node string) []string {
	var names []string
	for k, e := range m.endpoints {
		if e.GetNode() == node {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	return names
}

// unlist removes a listed endpoint whose process has not left for good, and returns the key of its entry. It keeps the process for a
// later departure that does not name it. The incarnation of its node stands for a process that states none and may come back.
func (m *members) unlist(name string) string {
	e := m.endpoints[name]
	key := config.KeyOf(e)
	delete(m.endpoints, name)
	if n := m.nodes[e.GetNode()]; e.GetIncarnation() != 0 && e.GetIncarnation() != n.GetIncarnation() {
		m.formerOf(key).last = e.GetIncarnation()
	}
	return key
}

// addNode adds or updates a node. It ignores an invalid node, a former incarnation and a new node above MaxNodes.
func (m *members) addNode(n *wire.Node) []string {
	address, err := netip.ParseAddrPort(n.GetAddress())
	valid := err == nil && address.Addr().Zone() == "" && config.ValidName(n.GetName()) &&
		validOptionalName(n.GetDomain()) && validOptionalName(n.GetRegion())
	current := m.nodes[n.GetName()]
	if !valid || current == nil && len(m.nodes) >= MaxNodes {
		return nil
	}
	key := config.KeyOf(n)
	if m.hasEnded(key, n.GetIncarnation()) {
		return nil
	}
	if current != nil && current.GetIncarnation() != n.GetIncarnation() {
		m.retire(key, current.GetIncarnation())
	}
	m.nodes[n.GetName()], _ = proto.Clone(n).(*wire.Node)
	return append(m.evict(n), key)
}

// evict removes every other node with the address of the joining node n. The host of n may have taken over that address, and
// calls and polls for the former node would then reach n.
func (m *members) evict(n *wire.Node) []string {
	var dirty []string
	for name, other := range m.nodes {
		if name != n.GetName() && other.GetAddress() == n.GetAddress() {
			dirty = append(dirty, m.removeNode(name)...)
		}
	}
	return dirty
}

// validOptionalName reports whether a failure domain or region is empty or a valid name.
func validOptionalName(name string) bool { return name == "" || config.ValidName(name) }

// addEndpoint adds or updates an endpoint of a known node; its service may be missing from the register. It ignores an invalid
// endpoint, a former incarnation and a new endpoint above MaxEndpoints.
func (m *members) addEndpoint(e *wire.Endpoint) []string {
	name := e.GetService() + "/" + e.GetName()
	current := m.endpoints[name]
	valid := config.ValidName(e.GetService()) && config.ValidName(e.GetName()) && m.nodes[e.GetNode()] != nil
	valid = valid && e.GetSlots() <= config.MaxSlots && e.GetConnections() <= config.MaxConnections
	if !valid || current == nil && len(m.endpoints) >= MaxEndpoints {
		return nil
	}
	key := config.KeyOf(e)
	if m.hasEnded(key, e.GetIncarnation()) {
		return nil
	}
	if current != nil && current.GetIncarnation() != e.GetIncarnation() {
		m.retire(key, current.GetIncarnation())
	}
	m.endpoints[name], _ = proto.Clone(e).(*wire.Endpoint)
	return []string{key}
}

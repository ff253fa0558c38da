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

// maxFormer is the number of former incarnations remembered for each name.
const maxFormer = 8

// members are the announced nodes and endpoints, endpoints of services outside the register included.
//
// Incarnations are random numbers without order. So an older one is recognized as one that was replaced: a join with a
// former incarnation is a late message of a process that is gone and is ignored.
type members struct {
	nodes     map[string]*wire.Node     // by name
	endpoints map[string]*wire.Endpoint // by SERVICE/NAME
	former    map[string][]uint64       // by key of the entry
	retired   []string                  // keys of former, in the order of their first retirement
}

func newMembers() *members {
	return &members{
		nodes:     make(map[string]*wire.Node),
		endpoints: make(map[string]*wire.Endpoint),
		former:    make(map[string][]uint64),
	}
}

// apply carries out leaves before joins, so that a process that restarts within one window is in afterwards, and returns
// the keys of entries that may have changed.
func (m *members) apply(c *wire.Membership) []string {
	var dirty []string
	for _, l := range c.GetLeaves() {
		dirty = append(dirty, m.leave(l)...)
	}
	for _, r := range c.GetRemoved() {
		dirty = append(dirty, m.remove(r)...)
	}
	for _, n := range c.GetJoins() {
		dirty = append(dirty, m.join(n)...)
	}
	for _, e := range c.GetEndpoints() {
		dirty = append(dirty, m.announce(e)...)
	}
	slices.Sort(dirty)
	return slices.Compact(dirty)
}

// target splits NAME or NAME@INCARNATION; with an incarnation only that process is meant.
func target(text string) (name string, incarnation uint64, exact bool) {
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

func (m *members) leave(text string) []string {
	name, incarnation, exact := target(text)
	n := m.nodes[name]
	if n == nil || exact && n.GetIncarnation() != incarnation {
		return nil
	}
	delete(m.nodes, name)
	dirty := []string{config.KeyOf(n)}
	for k, e := range m.endpoints {
		if e.GetNode() == name {
			delete(m.endpoints, k)
			dirty = append(dirty, config.KeyOf(e))
		}
	}
	return dirty
}

func (m *members) remove(text string) []string {
	key, incarnation, exact := target(text)
	e := m.endpoints[key]
	if e == nil || exact && e.GetIncarnation() != incarnation {
		return nil
	}
	delete(m.endpoints, key)
	return []string{config.KeyOf(e)}
}

func (m *members) join(n *wire.Node) []string {
	address, err := netip.ParseAddrPort(n.GetAddress())
	valid := err == nil && address.Addr().Zone() == "" && config.ValidName(n.GetName()) && label64(n.GetDomain()) && label64(n.GetRegion())
	held := m.nodes[n.GetName()]
	if !valid || held == nil && len(m.nodes) >= MaxNodes {
		return nil
	}
	key := config.KeyOf(n)
	if slices.Contains(m.former[key], n.GetIncarnation()) {
		return nil
	}
	if held != nil && held.GetIncarnation() != n.GetIncarnation() {
		m.retire(key, held.GetIncarnation())
	}
	m.nodes[n.GetName()], _ = proto.Clone(n).(*wire.Node)
	return append(m.evict(n), key)
}

// evict removes the nodes that another process had at the address of a joining node. Hosts are replaced and addresses used
// again, and calls and polls meant for the former node would reach the new one.
func (m *members) evict(n *wire.Node) []string {
	var dirty []string
	for name, held := range m.nodes {
		if name != n.GetName() && held.GetAddress() == n.GetAddress() {
			dirty = append(dirty, m.leave(name)...)
		}
	}
	return dirty
}

// label64 accepts an empty failure domain or region, or a name.
func label64(name string) bool { return name == "" || config.ValidName(name) }

// announce takes an endpoint of a known node; the service need not be in the register yet.
func (m *members) announce(e *wire.Endpoint) []string {
	name := e.GetService() + "/" + e.GetName()
	held := m.endpoints[name]
	valid := config.ValidName(e.GetService()) && config.ValidName(e.GetName()) && m.nodes[e.GetNode()] != nil
	valid = valid && e.GetSlots() <= config.MaxSlots && e.GetConnections() <= config.MaxConnections
	if !valid || held == nil && len(m.endpoints) >= MaxMembers {
		return nil
	}
	key := config.KeyOf(e)
	if slices.Contains(m.former[key], e.GetIncarnation()) {
		return nil
	}
	if held != nil && held.GetIncarnation() != e.GetIncarnation() {
		m.retire(key, held.GetIncarnation())
	}
	m.endpoints[name], _ = proto.Clone(e).(*wire.Endpoint)
	return []string{key}
}

// retire remembers a replaced incarnation.
func (m *members) retire(key string, incarnation uint64) {
	if m.former[key] == nil {
		m.retired = append(m.retired, key)
		if len(m.retired) > MaxRetired {
			delete(m.former, m.retired[0])
			m.retired = m.retired[1:]
		}
	}
	former := append(m.former[key], incarnation)
	m.former[key] = former[max(len(former)-maxFormer, 0):]
}

package config

import (
	"net/netip"
	"slices"
	"strings"

	"godwitspindle/core/wire"
)

// ValidNode reports whether calls can be sent to a node: its names are valid and its address has a port and no zone.
func ValidNode(m *wire.Node) bool {
	address, err := netip.ParseAddrPort(m.GetAddress())
	return err == nil && address.Port() != 0 && address.Addr().Zone() == "" && ValidName(m.GetName()) &&
		validOptionalName(m.GetDomain()) && validOptionalName(m.GetRegion())
}

func validOptionalName(name string) bool { return name == "" || ValidName(name) }

// ValidEndpoint reports whether the fields of an endpoint are in range; its service and node may be missing from the snapshot.
func ValidEndpoint(m *wire.Endpoint) bool {
	return ValidName(m.GetService()) && ValidName(m.GetName()) && m.GetSlots() <= MaxSlots && m.GetConnections() <= MaxConnections
}

// Members returns the usable nodes and endpoints of the snapshot in key order; callers must not modify the messages.
func (s *Snapshot) Members() ([]*wire.Node, []*wire.Endpoint) {
	var nodes []*wire.Node
	var endpoints []*wire.Endpoint
	for _, r := range s.records {
		switch m := r.message.(type) {
		case *wire.Node:
			nodes = append(nodes, m)
		case *wire.Endpoint:
			endpoints = append(endpoints, m)
		}
	}
	return nodes, endpoints
}

// Endpoint returns the endpoint with the key SERVICE/NAME, or false if the endpoint is drained or not in the snapshot.
func (t *RoutingTable) Endpoint(key string) (*Endpoint, bool) {
	service, name, _ := strings.Cut(key, "/")
	s, ok := t.Service(service)
	if !ok {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(s.Endpoints, name, func(e Endpoint, name string) int { return strings.Compare(e.Name, name) })
	if ok {
		return &s.Endpoints[i], true
	}
	return nil, false
}

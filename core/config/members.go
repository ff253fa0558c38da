package config

import (
	"slices"
	"strings"

	"godwitspindle/core/wire"
)

// Members returns the nodes and endpoints of the snapshot in key order; callers must not modify the messages.
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

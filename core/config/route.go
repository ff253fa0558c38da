package config

import (
	"net/netip"
	"time"
)

// Route maps requests to a service and gives their class.
type Route struct {
	Name       string
	Service    string
	Host       string   // exact host without port; empty matches any
	Path       string   // path prefix, matched at segment borders
	Methods    []string // empty matches any
	Idempotent bool
	Late       bool // a late answer is tolerated
	Priority   int  // 0 (shed first) to 9 (shed last)
	Deadline   time.Duration
	Retries    int // retries after an attempt that may have run
	Set        string
}

// Service is a service of the register with its usable endpoints.
type Service struct {
	Name        string
	Internal    bool // not reachable from the caller listener
	Slots       int  // default slots of an endpoint
	Connections int  // default connections of an endpoint
	Endpoints   []Endpoint
}

// Endpoint is one address of a backend server, reached through the node beside it.
type Endpoint struct {
	Service     string
	Name        string
	Node        string
	Address     netip.AddrPort // peer listener of the node
	Domain      string         // failure domain
	Region      string
	Slots       int // requests in flight
	Connections int
	Incarnation uint64
}

// Key returns SERVICE/NAME, which identifies the endpoint in the mesh.
func (e *Endpoint) Key() string { return e.Service + "/" + e.Name }

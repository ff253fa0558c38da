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
	Splits     []Split       // services that share the requests, in place of Service
	Latency    time.Duration // objective; 0 for none
	Attempts   int           // endpoints that may be sent one request; 0 when only Retries bounds them
}

// Split is the share of one service in a route.
type Split struct {
	Service string
	Weight  int
}

// golden is 2^64 divided by the golden ratio; its multiples are spread evenly over 64 bits (Knuth, TAOCP volume 3, 6.4).
const golden = 0x9e3779b97f4a7c15

// ServiceOf returns the service of the request with a running number. Consecutive numbers give each service its share
// with an error of about one request.
func (r *Route) ServiceOf(number uint64) string {
	if len(r.Splits) == 0 {
		return r.Service
	}
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	point := int((number * golden >> 32) * uint64(total) >> 32)
	for _, s := range r.Splits {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Bounds limits what callers may send and how long they may take.
type Bounds struct {
	Header  int           // bytes of a request's header
	Body    int64         // bytes of a request's body
	Reading time.Duration // longest time for a request's header
	Idle    time.Duration // longest time between requests of a connection
}

// Service is a service of the register with its usable endpoints.
type Service struct {
	Name        string
	Internal    bool // not reachable from the caller listener
	Slots       int  // default slots of an endpoint
	Connections int  // default connections of an endpoint
	Probe       string
	Protocol    string
	TLS         bool
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

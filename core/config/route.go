package config

import (
	"net/netip"
	"time"
)

// Route maps requests to a service and states how they are handled.
type Route struct {
	Name       string
	Service    string
	Host       string   // exact host without port; empty matches any
	Path       string   // path prefix, matched on whole segments
	Methods    []string // empty matches any
	Idempotent bool
	Late       bool // a late answer is tolerated
	Priority   int  // 0 (shed first) to 9 (shed last)
	Deadline   time.Duration
	Retries    int // retries after attempts that may have run
	Set        string
	Splits     []Split       // services that share the requests instead of Service
	Latency    time.Duration // latency objective; 0 for none
	Attempts   int           // maximum endpoints tried for one request; 0 when only Retries limits them
}

// Split is the weight of one service in a route.
type Split struct {
	Service string
	Weight  int
}

// goldenRatio is 2^64 divided by the golden ratio; its multiples are spread evenly modulo 2^64 (Knuth, TAOCP volume 3, 6.4).
const goldenRatio = 0x9e3779b97f4a7c15

// ServiceOf returns the service for the request with a sequence number. Over consecutive numbers each service gets its
// share to within about one request.
func (r *Route) ServiceOf(number uint64) string {
	if len(r.Splits) == 0 {
		return r.Service
	}
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	point := int((number * goldenRatio >> 32) * uint64(total) >> 32)
	for _, s := range r.Splits {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Bounds limits the size and the duration of callers' requests.
type Bounds struct {
	Header  int           // largest header of a request, in bytes
	Body    int64         // largest body of a request, in bytes
	Reading time.Duration // longest time for a request's header
	Idle    time.Duration // longest time between requests on a connection
}

// Service is a service of the register with the endpoints that are not drained.
type Service struct {
	Name        string
	Internal    bool // not reachable from the caller listener
	Slots       int  // default for endpoints that state no slots
	Connections int  // default for endpoints that state no connections
	Probe       string
	Protocol    string
	TLS         bool
	Endpoints   []Endpoint
}

// Endpoint is one address of a backend server; calls reach it through the node on its host.
type Endpoint struct {
	Service     string
	Name        string
	Node        string
	Address     netip.AddrPort // peer listener of the node
	Domain      string         // failure domain
	Region      string
	Slots       int // maximum requests in flight
	Connections int
	Incarnation uint64
}

// Key returns SERVICE/NAME, which is unique in the mesh.
func (e *Endpoint) Key() string { return e.Service + "/" + e.Name }

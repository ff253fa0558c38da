package config

import (
	"net/netip"
	"time"

	"godwitspindle/core/wire"
)

// Route maps requests to a service and states how they are handled.
type Route struct {
	Name       string
	Service    string
	Host       string   // exact host in lower case without port; empty matches any host
	Path       string   // path prefix, matched on whole segments
	Methods    []string // allowed methods; empty allows any method
	Idempotent bool     // a failed attempt may be retried
	Late       bool     // a late answer is acceptable
	Priority   int      // 0 (shed first) to 9 (shed last)
	Deadline   time.Duration
	Retries    int           // maximum number of retries after attempts that may have run
	Set        string        // rule set that holds the route
	Splits     []Split       // services that share the requests by weight, in place of Service; empty if Service gets all
	Latency    time.Duration // latency objective; 0 for none
	Attempts   int           // maximum number of endpoints tried for one request; 0 if only Retries limits them
	Public     bool          // requests need no API key
}

// Split is the weight of one service in a route.
type Split struct {
	Service string
	Weight  int
}

// goldenRatio is 2^64 divided by the golden ratio; its multiples are spread evenly modulo 2^64 (Knuth, TAOCP volume 3, 6.4).
const goldenRatio = 0x9e3779b97f4a7c15

// ServiceOf returns the service for the request with a sequence number. Over consecutive numbers each service gets its
// share by weight, to within about one request.
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
	Header        int           // maximum size of a request's header, in bytes
	Body          int64         // maximum size of a request's body, in bytes
	HeaderTimeout time.Duration // maximum time to read a request's header
	IdleTimeout   time.Duration // maximum time between two requests on a connection
}

// Service is a service of the register with the endpoints that are not drained.
type Service struct {
	Name        string
	Internal    bool // callers cannot reach the service through the caller listener
	Slots       int  // slots of an endpoint that states no number
	Connections int  // connections of an endpoint that states no number
	Probe       string
	Protocol    string
	TLS         bool
	Endpoints   []Endpoint
	Rollout     *wire.Rollout // newest rollout, also if it has ended; nil for none
}

// Endpoint is one endpoint of a service, announced by a backend server; calls reach it through the node on its host.
type Endpoint struct {
	Service     string
	Name        string
	Node        string         // name of the node on its host
	Address     netip.AddrPort // address of the node's peer listener
	Domain      string         // failure domain of the node
	Region      string         // region of the node
	Slots       int            // maximum number of requests in flight
	Connections int            // maximum number of connections
	Incarnation uint64
	Release     string // version of the backend server's software; empty if not stated
}

// Key returns SERVICE/NAME, which is unique in the mesh.
func (e *Endpoint) Key() string { return e.Service + "/" + e.Name }

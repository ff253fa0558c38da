package retry

import (
	"sync"
	"time"
)

const (
	maxRoutes = 4096 // maximum number of tracked routes
	// A request whose remaining wait is below this fraction of the longest wait of its route counts as sent again.
	resendThreshold = 0.97
	// Callers of a route count as not returning after minRefused refusals if fewer than one in minReturnRatio came again.
	minRefused        = 20
	refusalsPerReturn = 5
	maxRefused        = 200 // above this, both counts are halved, so that newer requests weigh more
)

// CallerWaits learns the longest wait of the callers of each route. A request with a shorter remaining wait was sent first some
// time ago: its caller was refused or lost a response, and has sent it again. CallerWaits also learns whether refused callers
// return at all; calls that backend servers make for a request do not. It is safe for concurrent use.
type CallerWaits struct {
	mutex  sync.Mutex
	routes map[string]*callerStats
}

// callerStats describes the callers of one route.
type callerStats struct {
	longestWait time.Duration // longest wait of any request
	refused     int
	returned    int
}

// NewPatience returns a Patience without routes.
func NewPatience() *CallerWaits { return &CallerWaits{routes: map[string]*callerStats{}} }

func (p *CallerWaits) statsOf(route string) *callerStats {
	h := p.routes[route]
	if h == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes) // bounds memory as routes change; callers are relearned quickly
		}
		h = &callerStats{}
		p.routes[route] = h
	}
	return h
}

// Elapsed returns how long ago the caller sent the request first, derived from the remaining wait left, and whether the request
// was sent again.
func (p *CallerWaits) Elapsed(route string, left time.Duration) (elapsed time.Duration, again bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.statsOf(route)
	if left > h.longestWait {
		h.longestWait = left
		return 0, false
	}
	again = float64(left) < resendThreshold*float64(h.longestWait)
	if again {
		h.returned++
	}
	return h.longestWait - left, again
}

// Refused counts a refused request of a route.
func (p *CallerWaits) Refused(route string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.statsOf(route)
	h.refused++
	if h.refused > maxRefused {
		h.refused, h.returned = h.refused/2, h.returned/2
	}
}

// Returns reports whether callers of a route come again after a refusal; true until enough requests were refused.
func (p *CallerWaits) Returns(route string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.statsOf(route)
	return h.refused < minRefused || h.returned*refusalsPerReturn >= h.refused
}

package retry

import (
	"sync"
	"time"
)

const (
	maxRoutes = 4096 // routes whose callers are known
	// againShare is the share of a route's usual wait below which a request is taken for one that comes again.
	againShare = 0.97
	// Callers of a route are taken not to return when this many were refused and fewer than one in returnShare came again.
	refusedLeast = 20
	returnShare  = 5
	refusedMost  = 200 // then both counts are halved, so that a change of the callers shows
)

// Patience learns how long the callers of each route wait in all, so that a request that says less is known to have begun
// earlier: its caller was refused or lost an answer before and sends it again. It also learns whether callers that are
// refused return at all; calls that backend servers make for a request do not. It is safe for concurrent use.
type Patience struct {
	mutex  sync.Mutex
	routes map[string]*habit
}

// habit is what is known of the callers of one route.
type habit struct {
	wait    time.Duration // longest that was seen
	refused int
	again   int
}

// NewPatience returns a Patience that knows no route.
func NewPatience() *Patience { return &Patience{routes: map[string]*habit{}} }

func (p *Patience) of(route string) *habit {
	h := p.routes[route]
	if h == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes) // routes come and go; the callers are soon known again
		}
		h = &habit{}
		p.routes[route] = h
	}
	return h
}

// Elapsed returns how long ago the caller sent the request first, by the time that it still waits, and whether the request
// comes again.
func (p *Patience) Elapsed(route string, left time.Duration) (elapsed time.Duration, again bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.of(route)
	if left > h.wait {
		h.wait = left
		return 0, false
	}
	again = float64(left) < againShare*float64(h.wait)
	if again {
		h.again++
	}
	return h.wait - left, again
}

// Refused counts a request of a route that was refused.
func (p *Patience) Refused(route string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.of(route)
	h.refused++
	if h.refused > refusedMost {
		h.refused, h.again = h.refused/2, h.again/2
	}
}

// Returns reports whether callers of a route return after a refusal, as far as is known.
func (p *Patience) Returns(route string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.of(route)
	return h.refused < refusedLeast || h.again*returnShare >= h.refused
}

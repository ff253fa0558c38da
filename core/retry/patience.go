package retry

import (
	"sync"
	"time"
)

const (
	maxRoutes = 4096 // routes whose callers' waits are known
	// againShare is the share of a route's usual wait below which a request is taken for one that comes again.
	againShare = 0.97
)

// Patience learns how long the callers of each route wait in all, so that a request that says less is known to have begun
// earlier: its caller was refused or lost an answer before and sends it again. It is safe for concurrent use.
type Patience struct {
	mutex sync.Mutex
	waits map[string]time.Duration // longest wait that was seen, by route
}

// NewPatience returns a Patience that knows no route.
func NewPatience() *Patience { return &Patience{waits: map[string]time.Duration{}} }

// Elapsed returns how long ago the caller sent the request first, by the time that it still waits, and whether the request
// comes again.
func (p *Patience) Elapsed(route string, left time.Duration) (elapsed time.Duration, again bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usual, known := p.waits[route]
	if left > usual {
		if !known && len(p.waits) >= maxRoutes {
			clear(p.waits) // routes come and go; the waits are soon known again
		}
		p.waits[route] = left
		return 0, false
	}
	elapsed = usual - left
	return elapsed, float64(left) < againShare*float64(usual)
}

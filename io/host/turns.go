package host

import (
	"math/rand/v2"
	"sync"

	"godwitspindle/core/config"
)

// maxTurns bounds the routes that are counted.
const maxTurns = 4096

// turns numbers the requests of each route that is split, so that every service gets its share.
type turns struct {
	mu     sync.Mutex
	counts map[string]uint64 // by route; at most maxTurns
}

func newTurns() *turns { return &turns{counts: map[string]uint64{}} }

// service returns the service of the next request of a route. Each node starts its count at a random number, since all
// nodes would otherwise give their first requests to the same service.
func (t *turns) service(r *config.Route) string {
	if len(r.Splits) == 0 {
		return r.Service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.counts[r.Name]
	if !known {
		if len(t.counts) >= maxTurns {
			clear(t.counts) // routes come and go; a share restarts at a random number without harm
		}
		n = rand.Uint64()
	}
	t.counts[r.Name] = n + 1
	return r.ServiceOf(n)
}

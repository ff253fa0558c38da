package host

import (
	"math/rand/v2"
	"sync"

	"godwitspindle/core/config"
)

// maxSplitRoutes limits the number of counters; at the limit, all are dropped.
const maxSplitRoutes = 4096

// splitCounter numbers the requests of each route with a traffic split, so that every service gets its share.
type splitCounter struct {
	mu     sync.Mutex
	counts map[string]uint64 // next numbers by route; at most maxSplitRoutes
}

func newSplitCounter() *splitCounter { return &splitCounter{counts: map[string]uint64{}} }

// service chooses the service for one request of a route and, with a traffic split, advances the route's counter. Each counter
// starts at a random number, because otherwise all nodes would send their first requests to the same service.
func (c *splitCounter) service(r *config.Route) string {
	if len(r.Splits) == 0 {
		return r.Service
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, known := c.counts[r.Name]
	if !known {
		if len(c.counts) >= maxSplitRoutes {
			clear(c.counts) // drops counters of former routes; counters of current routes restart at a random number without harm
		}
		n = rand.Uint64()
	}
	c.counts[r.Name] = n + 1
	return r.ServiceOf(n)
}

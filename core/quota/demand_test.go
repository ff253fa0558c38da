package quota

import (
	"time"
)

func count(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// spread returns a demand of the given requests per second over the first nodes.
func spread(total float64, nodes int) func(int, time.Duration) float64 {
	return func(node int, _ time.Duration) float64 {
		if node >= nodes {
			return 0
		}
		return total / float64(nodes)
	}
}

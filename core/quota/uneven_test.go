package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against refusals of customers within their quota, and too many requests to the coordinator, at the size of one deployment:
// 74 customers of very unequal size, whose callers are on a few hosts each, 1,850 requests a second, and one customer that sends 7.5 times
// its usual rate from the 10th second on.
func TestManyCustomers(t *testing.T) {
	const (
		customers, perSecond = 74, 1850.0
		heavy                = "c1"
		length               = 20 * second
	)
	limits, sizes, sum := map[string]Limit{}, make([]float64, customers), 0.0
	for i := range sizes {
		sizes[i] = 1 / math.Pow(float64(i+1), 0.9)
		sum += sizes[i]
	}
	for i := range sizes {
		sizes[i] *= perSecond / sum
		limits[fmt.Sprint("c", i)] = Limit{1.6 * sizes[i], 0.8 * sizes[i]}
	}
	s := newSim(t, 1, limits)
	for i, size := range sizes {
		first, hosts := s.random.IntN(simNodes), 2+i%5
		if i < 4 {
			hosts = 20
		}
		name := fmt.Sprint("c", i)
		s.demand(name, func(node int, at time.Duration) float64 {
			if (node-first+simNodes)%simNodes >= hosts {
				return 0
			}
			if name == heavy && at > 10*second {
				return 7.5 * size / float64(hosts)
			}
			return size / float64(hosts)
		})
	}
	s.run(2 * second) // the buckets fill
	filled := s.asks
	s.run(10 * second)
	began := s.asks
	s.run(length)
	usual, over := (began-filled)/8, (s.asks-began)/10
	arrived, refused := 0, 0
	for name, l := range limits {
		s.checkBound(name, l, 0)
		if name == heavy {
			s.checkUsed(name, l, 11*second, length, 0.95)
			continue
		}
		n, ideal := s.ideal(name, l, 0, length)
		arrived, refused = arrived+n, refused+len(s.refusals[name])-ideal
	}
	if got := float64(refused) / float64(arrived); got > 0.003 {
		t.Errorf("refused: got %d of %d requests more than one bucket for each customer, want at most 0.3%%", refused, arrived)
	}
	if usual > 200 || over > 250 {
		t.Errorf("requests to the coordinator: got %d per second, %d with a customer over its quota, want at most 200 and 250", usual, over)
	}
	t.Logf("%d of %d requests refused, %d and %d requests to the coordinator per second", refused, arrived, usual, over)
}

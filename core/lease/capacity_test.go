package lease

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/wire"
)

// BenchmarkCapacityLeases measures the lease table of n nodes: the reports of 24 relays, one search for expired leases, the
// announcement of one node, and the command for a failure domain (one node in twelve) whose nodes join again.
func BenchmarkCapacityLeases(b *testing.B) {
	for _, n := range []int{525, 1050, 2100} {
		t := newLeader(n, 10)
		alive := make([][]string, 24)
		for i, k := range nodeNames(n) {
			alive[i%24] = append(alive[i%24], k)
		}
		announce := func(i int, incarnation uint64) {
			name := fmt.Sprintf("n%03d", i)
			t.Announce(start, &wire.Node{Name: name, Incarnation: incarnation}, []*wire.Endpoint{
				{Service: fmt.Sprintf("s%02d", i/10), Name: name, Node: name, Incarnation: incarnation},
			}, false)
		}
		incarnation := uint64(2)
		for _, c := range []struct {
			name string
			run  func()
		}{
			{"reports", func() {
				for i, a := range alive {
					t.Renew(start.Add(period), fmt.Sprintf("n%03d", i), a)
				}
			}},
			{"expire", func() { t.Expire(start.Add(period + time.Second)) }},
			{"announce", func() { announce(7, 1) }},
			{"domain", func() {
				incarnation++
				for i := 0; i < n; i += 12 {
					announce(i, incarnation)
				}
				at := start.Add(time.Duration(incarnation) * time.Second)
				t.Applied(at, t.Next(at))
			}},
		} {
			b.Run(fmt.Sprintf("%s/nodes=%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.run()
				}
			})
		}
	}
}

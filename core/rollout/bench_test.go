package rollout

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"godwitspindle/core/wire"
)

const benchRoutes = 10

// benchReport is the report of a node that has counted 40 answers of each release on each route.
func benchReport(node, round int) Report {
	r := Report{Node: fmt.Sprint("node-", node), Incarnation: 1, Counts: map[Key]Counts{}}
	for i := range benchRoutes {
		for _, fresh := range []bool{false, true} {
			var c Counts
			for n := range 40 * round {
				c.Record(time.Duration(5+n%60)*time.Millisecond, false)
			}
			r.Counts[Key{Route: fmt.Sprint("route-", i), New: fresh}] = c
		}
	}
	return r
}

// BenchmarkLeader measures the leader's work for one rollout of a service with 10 routes: the time to add one report and to decide, and
// the memory of the counts.
func BenchmarkLeader(b *testing.B) {
	for _, nodes := range []int{65, 300, 2100} {
		order := Start(1, epoch, &wire.RolloutOrder{Service: "s", Release: "v2", Duration: 60_000})
		capacity := Capacity{New: 24, NewSlots: 400, OldSlots: 400, Nodes: nodes}
		p := New()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := NewTally(epoch, epoch)
		for n := range nodes {
			t.Add(epoch.Add(time.Second), benchReport(n, 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprint("add/", nodes), func(b *testing.B) {
			r := benchReport(0, 2)
			for b.Loop() {
				t.Add(epoch.Add(2*time.Second), r)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
		})
		b.Run(fmt.Sprint("decide/", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Decide(epoch.Add(2*time.Second), order, t, capacity)
			}
		})
	}
}

package relay

import (
	"fmt"
	"testing"

	"godwitspindle/core/wire"
)

// BenchmarkCapacityTracker measures the tracker of a leader with 24 relays that report n nodes in total.
func BenchmarkCapacityTracker(b *testing.B) {
	for _, n := range []int{525, 1050, 2100} {
		const relays = 2 * 12
		t := NewTracker("leader", poll)
		nodes := []string{"leader"}
		reports := make([]*wire.Report, relays)
		for i := range n {
			r := i % relays
			if reports[r] == nil {
				reports[r] = &wire.Report{Lowest: 7, Count: uint32(n / relays)}
			}
			reports[r].Alive = append(reports[r].Alive, fmt.Sprintf("node-%04d", i))
			nodes = append(nodes, fmt.Sprintf("node-%04d", i))
		}
		recordReports := func() {
			for i, r := range reports {
				t.RecordPoll(start, fmt.Sprintf("node-%04d", i), 7, r)
			}
		}
		recordReports()
		for _, c := range []struct {
			name string
			run  func()
		}{
			{"reports", recordReports},
			{"force", func() { t.InForce(start, 7, 7, nodes) }},
			{"fresh", func() { t.RecentlyHeard(start)("node-0007") }},
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

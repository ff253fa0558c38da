package replica

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/wire"
)

// BenchmarkPropose measures the commits per second of three replicas in one process, and their fsyncs per commit, with real files
// and in-memory delivery.
func BenchmarkPropose(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprintf("proposers=%d", n), func(b *testing.B) {
			g := newGroup(b, threeNames, WithElection(time.Second, 100*time.Millisecond))
			l := g.leader()
			g.syncs.Store(0)
			work := make(chan struct{})
			done := make(chan error)
			for range n {
				go func() {
					var first error
					for range work {
						if _, err := l.Propose(b.Context(), &wire.Command{}); err != nil {
							first = err
						}
					}
					done <- first
				}()
			}
			b.ResetTimer()
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			for range n {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(g.syncs.Load())/float64(b.N), "fsyncs/commit")
		})
	}
}

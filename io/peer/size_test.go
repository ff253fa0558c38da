package peer

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/io/rpc"
)

// BenchmarkCapacityJoin measures the cost of a whole snapshot and of a delta with one rule, for the sender and the receiver.
func BenchmarkCapacityJoin(b *testing.B) {
	for _, n := range []int{525, 1050, 2100} {
		full := fleet(n)
		next := full.With(2, []config.Entry{routeOf(1, 1000)}, nil)
		holder, _ := NewHolder(WithSavedFloor(0, func(uint64) error { return nil }))
		feed, _ := NewFeed(holder)
		follower, _ := NewFollower(holder, NewClients())
		follower.Close()
		follower, _ = NewFollower(holder, NewClients())
		defer follower.Close()
		for _, c := range []struct {
			name string
			base *config.Snapshot
		}{{"whole", config.NewSnapshot()}, {"delta", full}} {
			resp := feed.packDelta(c.base.Version(), next)
			raw, _ := proto.Marshal(resp)
			delta, err := Unpack(follower.decoder, resp)
			if err != nil {
				b.Fatal(err)
			}
			for _, step := range []struct {
				name string
				run  func()
			}{
				{"pack", func() { feed.packDelta(c.base.Version(), next) }},
				{"unpack", func() { _, _ = Unpack(follower.decoder, resp) }},
				{"apply", func() { _, _ = c.base.Apply(delta) }},
				{"table", func() { _, _ = config.NewTable(next) }},
			} {
				b.Run(fmt.Sprintf("%s/%s/endpoints=%d", c.name, step.name, n), func(b *testing.B) {
					for b.Loop() {
						step.run()
					}
					b.ReportMetric(float64(len(raw)), "B")
				})
			}
		}
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / 1024
}

// BenchmarkCapacityHeap measures the memory that a node holds for the snapshot, its routing table, the encoder and the decoder.
func BenchmarkCapacityHeap(b *testing.B) {
	for _, n := range []int{525, 1050, 2100} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			packed := func() *rpc.SyncResponse {
				holder, _ := NewHolder()
				feed, _ := NewFeed(holder)
				return feed.packDelta(0, fleet(n))
			}()
			before := heap()
			holder, _ := NewHolder(WithSavedFloor(0, func(uint64) error { return nil }))
			feed, _ := NewFeed(holder)
			follower, _ := NewFollower(holder, NewClients())
			empty := heap()
			if err := follower.applyResponse(packed); err != nil {
				b.Fatal(err)
			}
			joined := heap()
			_ = feed.packDelta(0, holder.View().Snapshot)
			served := heap()
			runtime.KeepAlive(packed)
			b.ReportMetric(empty-before, "empty-KB")
			b.ReportMetric(joined-empty, "snapshot-KB")
			b.ReportMetric(served-joined, "encoder-KB")
			b.ReportMetric(0, "ns/op")
			follower.Close()
			runtime.KeepAlive(feed)
		})
	}
}

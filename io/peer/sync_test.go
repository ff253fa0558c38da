package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// Guards against reconnecting nodes that get more whole snapshots at once than the budget allows, and against a budget that
// also delays deltas, which a node that still holds a version needs at once.
func TestFeedBudget(t *testing.T) {
	var puts []config.Entry
	for i := range 20_000 { // large enough that a transfer lasts longer than the test's calls
		m := &wire.Domain{Name: fmt.Sprintf("%x", i*i*2_654_435_761)}
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		puts = append(puts, config.Entry{Key: config.KeyOf(m), Value: value})
	}
	h, err := NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	s := config.NewSnapshot().With(1, puts, nil).With(2, puts[:1], nil)
	if err := h.Offer(s); err != nil {
		t.Fatal(err)
	}
	d, err := NewFeed(h, WithTransfers(2))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for i, want := range []bool{true, true, false, false} {
		r := d.Sync(t.Context(), &rpc.SyncRequest{}, 1)
		if got := len(r.GetPacked()) > 0; got != want || got == (r.GetAfter() > 0) {
			t.Errorf("whole snapshot %d: got %v, retry after %d ms, want %v", i, got, r.GetAfter(), want)
		}
	}
	if r := d.Sync(t.Context(), &rpc.SyncRequest{Held: 1}, 1); r.GetDelta() == nil || r.GetAfter() > 0 {
		t.Errorf("delta beside the transfers: got %v, retry after %d ms, want a delta", r.GetDelta(), r.GetAfter())
	}
}

// Guards against a node that stays on an old version after a delta that cannot be applied: its polls must ask for a whole
// snapshot until one is in force.
func TestMismatchAsksForWhole(t *testing.T) {
	h, err := NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	h.Prove(0)
	mismatches := 0
	f := &Follower{
		holder: h, log: logr.Discard(), mismatch: func() { mismatches++ }, applied: func(bool) {},
		report: func(netip.AddrPort, uint64) *wire.Report { return nil },
	}
	s := version(3).With(4, nil, nil)
	spoilt := s.FullDelta()
	spoilt.Digest.Low++
	for _, c := range []struct {
		name  string
		delta *wire.Delta
		fails bool
		whole bool
	}{
		{"other digest", spoilt, true, true},
		{"whole", s.FullDelta(), false, false},
		{"stale", version(2).FullDelta(), false, false},
	} {
		if got := f.applyResponse(&rpc.SyncResponse{Delta: c.delta}) != nil; got != c.fails {
			t.Errorf("%s: got failure %v, want %v", c.name, got, c.fails)
		}
		if r, _ := f.newRequest(netip.AddrPort{}, 0); r.GetWhole() != c.whole {
			t.Errorf("%s: next poll asks for a whole snapshot: got %v, want %v", c.name, r.GetWhole(), c.whole)
		}
	}
	if mismatches != 1 {
		t.Errorf("mismatches: got %d, want 1", mismatches)
	}
}

// Load pattern: all hosts lose power, and the floor is proven before a whole snapshot has been transferred over a thin link.
// Guards against a snapshot below the floor that is discarded and fetched again, and against one that is put in force.
func TestSnapshotBelowTheFloorIsABase(t *testing.T) {
	h, err := NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	h.Prove(7)
	f := &Follower{
		holder: h, log: logr.Discard(), mismatch: func() {}, applied: func(bool) {},
		report: func(netip.AddrPort, uint64) *wire.Report { return nil },
	}
	first := version(5)
	next := first.With(6, nil, nil)
	last := next.With(8, nil, nil)
	delta := func(s *config.Snapshot, since uint64) *wire.Delta {
		d, ok := s.Delta(since)
		if !ok {
			t.Fatalf("no delta of version %d since %d", s.Version(), since)
		}
		return d
	}
	for _, c := range []struct {
		name    string
		delta   *wire.Delta
		held    uint64
		serving bool
	}{
		{"whole, below the floor", first.FullDelta(), 5, false},
		{"a delta, still below", delta(next, 5), 6, false},
		{"an older one from another upstream", first.FullDelta(), 6, false},
		{"a delta that reaches it", delta(last, 6), 8, true},
		{"the next version", delta(last.With(9, nil, nil), 8), 9, true},
	} {
		if err := f.applyResponse(&rpc.SyncResponse{Delta: c.delta}); err != nil {
			t.Errorf("%s: got %v, want none", c.name, err)
		}
		r, _ := f.newRequest(netip.AddrPort{}, 0)
		if got := r.GetHeld(); got != c.held || r.GetWhole() || h.Serving() != c.serving {
			t.Errorf("%s: next poll holds %d (whole %v) and serving is %v, want %d and %v", c.name, got, r.GetWhole(), h.Serving(), c.held, c.serving)
		}
		if got := h.View().Snapshot.Version(); !c.serving && got != 0 {
			t.Errorf("%s: got version %d in force, want none", c.name, got)
		}
	}
}

// Load pattern: hundreds of nodes with thin links start. Guards against a poll that times out before a whole snapshot can be
// transferred, so that the node never gets one, and against an equally long timeout for the polls of a running node.
func TestPollWaitsForAWholeSnapshot(t *testing.T) {
	const wait, slack, transferTime = 100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second
	f := &Follower{slack: slack, transferTime: transferTime}
	tests := []struct {
		name    string
		request *rpc.SyncRequest
		want    time.Duration
	}{
		{"no version", &rpc.SyncRequest{}, wait + slack + transferTime},
		{"whole snapshot requested", &rpc.SyncRequest{Held: 7, Whole: true}, wait + slack + transferTime},
		{"a delta", &rpc.SyncRequest{Held: 7}, wait + slack},
	}
	for _, c := range tests {
		if got := f.requestTimeout(c.request, wait); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

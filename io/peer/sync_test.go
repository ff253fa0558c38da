package peer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// Guards against a reconnect storm that takes more whole snapshots at once than the budget, and against a budget that also
// holds back deltas, which a node that kept its version needs at once.
func TestFeedBudget(t *testing.T) {
	var puts []config.Entry
	for i := range 20_000 { // tens of kilobytes when packed, so that a transfer lasts longer than the test
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

// Guards against a node that stays behind after a delta that does not fit: the next poll asks for a whole snapshot, until one
// is in force.
func TestMismatchAsksForWhole(t *testing.T) {
	h, err := NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	h.Prove(0)
	mismatches := 0
	f := &Follower{
		holder: h, log: logr.Discard(), mismatch: func() { mismatches++ }, taken: func(bool) {},
		report: func(netip.AddrPort, uint64) *wire.Report { return nil },
	}
	s := version(3).With(4, nil, nil)
	spoilt := s.Whole()
	spoilt.Digest.Low++
	for _, c := range []struct {
		name  string
		delta *wire.Delta
		fails bool
		whole bool
	}{
		{"other digest", spoilt, true, true},
		{"whole", s.Whole(), false, false},
		{"stale", version(2).Whole(), false, false},
	} {
		if got := f.apply(&rpc.SyncResponse{Delta: c.delta}) != nil; got != c.fails {
			t.Errorf("%s: got failure %v, want %v", c.name, got, c.fails)
		}
		if r, _ := f.request(netip.AddrPort{}, 0); r.GetWhole() != c.whole {
			t.Errorf("%s: next poll asks for a whole snapshot: got %v, want %v", c.name, r.GetWhole(), c.whole)
		}
	}
	if mismatches != 1 {
		t.Errorf("mismatches: got %d, want 1", mismatches)
	}
}

package backend

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against an endpoint that is used again after it left: its lease had expired before the leave, and an announcement that it
// had sent before arrives late.
func TestLeaveAfterLeaseExpired(t *testing.T) {
	b := New(WithRenew(10 * time.Millisecond))
	defer func() { _ = b.Close() }()
	a := Announcement{
		Service: "counter", Endpoint: "a", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 1, Connections: 1, Incarnation: 100, Sequence: 1,
	}
	if f := b.Announce(a); f != nil {
		t.Fatal(f)
	}
	waitUntil(t, "the lease has expired", func() bool { return len(b.Endpoints()) == 0 })
	b.Leave(a)
	a.Sequence = 2
	if f := b.Announce(a); f != nil {
		t.Fatal(f)
	}
	if got := len(b.Endpoints()); got != 0 {
		t.Errorf("endpoints after a late announcement: got %d, want 0", got)
	}
}

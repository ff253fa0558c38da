package backend

import (
	"net/netip"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/standin"
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

// Guards against an endpoint that is used again because it goes on renewing its lease after it has stated in an answer that it
// leaves, and against a statement that reaches callers as one of the mesh.
func TestLeaveStatedOnOwnInterface(t *testing.T) {
	b, s := start(t, nil, standin.WithAnswerHeader("Mesh-Leaving", "1"), standin.WithAnswerHeader("Mesh-Limit", "5"))
	p, err := b.Do(t.Context(), testMeta("c"), call("/"))
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	if got := p.Header.Get("Mesh-Limit"); got != "" {
		t.Errorf("limit in the answer: got %q, want none from the backend server", got)
	}
	for range 3 {
		if err := s.Announce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	_, err = b.Do(t.Context(), testMeta("d"), call("/"))
	wantFailure(t, err, outcome.Draining, outcome.NotRun)
}

package backend

import (
	"fmt"
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

// Guards against an endpoint that is used again because its node has forgotten that its process left: at the limit of the records, an
// arbitrary one was dropped. The one that left first may go.
func TestRecentDepartureIsKept(t *testing.T) {
	b := New()
	defer func() { _ = b.Close() }()
	a := Announcement{
		Service: "counter", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 1, Connections: 1, Incarnation: 100, Sequence: 1,
	}
	for i := range 2 * maxEndpoints {
		a.Endpoint = fmt.Sprint("e", i)
		b.Leave(a)
	}
	for i := maxEndpoints; i < 2*maxEndpoints; i++ {
		a.Endpoint = fmt.Sprint("e", i)
		if f := b.Announce(a); f != nil {
			t.Fatal(f)
		}
	}
	if got := len(b.Endpoints()); got != 0 {
		t.Errorf("endpoints after late announcements of those that left last: got %d, want 0", got)
	}
}

// Guards against a process that leaves and whose departure is not reported, or one that may come back and is reported as gone for good.
func TestDeparturesReported(t *testing.T) {
	var got []string
	b := New(WithRenew(time.Hour), WithDeparted(func(endpoint string, incarnation uint64) {
		got = append(got, fmt.Sprintf("%s@%d", endpoint, incarnation))
	}))
	defer func() { _ = b.Close() }()
	announce := func(endpoint string, port uint16, incarnation, sequence uint64) Announcement {
		a := Announcement{
			Service: "s", Endpoint: endpoint, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Slots: 1, Connections: 1,
			Incarnation: incarnation, Sequence: sequence,
		}
		if f := b.Announce(a); f != nil {
			t.Fatal(f)
		}
		return a
	}
	leave := func(endpoint string, incarnation uint64) {
		b.Leave(Announcement{Service: "s", Endpoint: endpoint, Incarnation: incarnation})
	}
	for _, c := range []struct {
		name string
		run  func()
		want string
	}{
		{"lease ended", func() { announce("a", 1, 5, 1); b.leave("s/a", reasonNotRenewed) }, "[]"},
		{"leave after the lease ended", func() { leave("a", 0) }, "[s/a@5]"},
		{"leave without incarnation", func() { announce("b", 2, 5, 1); leave("b", 0) }, "[s/b@5]"},
		{"leave of an earlier process", func() { announce("c", 3, 5, 1); leave("c", 4) }, "[]"},
		{"leave of a later process", func() { leave("c", 6) }, "[s/c@5 s/c@6]"},
		{"leave of an unknown endpoint", func() { leave("d", 5) }, "[s/d@5]"},
		{"leave of an unknown process", func() { leave("e", 0) }, "[]"},
		{"leave without incarnation of a process that has left", func() { leave("d", 0); announce("d", 9, 5, 1) }, "[]"},
		{"replaced at its address", func() { announce("f", 4, 5, 1); announce("g", 4, 6, 1) }, "[s/f@5]"},
		{"without a sequence", func() { announce("h", 5, 5, 0); leave("h", 0) }, "[]"},
		{"without a sequence, leave with incarnation", func() { announce("i", 6, 5, 0); leave("i", 5) }, "[s/i@5]"},
		{"without an incarnation", func() { announce("j", 7, 0, 1); leave("j", 0) }, "[]"},
		{"stated", func() { announce("k", 8, 5, 0); b.leave("s/k", reasonStated) }, "[s/k@5]"},
	} {
		got = nil
		c.run()
		if text := fmt.Sprint(got); text != c.want {
			t.Errorf("%s: got %s, want %s", c.name, text, c.want)
		}
	}
	for _, a := range b.Endpoints() {
		if a.Endpoint == "d" {
			t.Error("endpoint d: got its late announcement taken, want it ignored")
		}
	}
}

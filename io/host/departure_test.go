package host

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/config"
	"godwitspindle/core/notice"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// newLeaveHost returns a host that has only what a leave needs, with an endpoint whose registration is not in the version in force.
func newLeaveHost(t *testing.T, propose func(context.Context, *wire.Command) (*wire.Result, error)) (*Host, backend.Announcement) {
	t.Helper()
	holder, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	if err := holder.Offer(config.NewSnapshot().With(1, nil, nil)); err != nil {
		t.Fatal(err)
	}
	holder.Prove(1)
	h := &Host{settings: &process.Settings{Name: "n"}, holder: holder, log: logr.Discard()}
	h.departures = newDepartures(propose, logr.Discard())
	h.backend = backend.New(backend.WithDeparted(h.endpointDeparted))
	t.Cleanup(func() {
		h.departures.close()
		_ = h.backend.Close()
	})
	a := backend.Announcement{
		Service: "a", Endpoint: "e", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 1, Connections: 1, Incarnation: 100, Sequence: 1,
	}
	if f := h.backend.Announce(a); f != nil {
		t.Fatal(f)
	}
	return h, a
}

// Guards against a leave that is acknowledged while its endpoint's registration is on the way to the leader: the version in force does
// not list the endpoint, the registration is committed after the acknowledgement, and a restarted node restores the endpoint.
func TestLeaveNeedsAgreement(t *testing.T) {
	var reachable atomic.Bool
	departed := make(chan *wire.Membership, 10)
	h, _ := newLeaveHost(t, func(_ context.Context, c *wire.Command) (*wire.Result, error) {
		if !reachable.Load() {
			return nil, &peer.UnknownOutcomeError{Err: errors.New("no majority")}
		}
		departed <- c.GetMembership()
		return &wire.Result{}, nil
	})
	leave := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		return h.LeaveAgreed(ctx, backend.Announcement{Service: "a", Endpoint: "e", Incarnation: 100})
	}
	if leave() {
		t.Error("without a majority: got the leave acknowledged, want it refused")
	}
	reachable.Store(true)
	if !leave() {
		t.Error("with a majority: got the leave refused, want it acknowledged")
	}
	if !leave() {
		t.Error("repeated leave: got it refused, want it acknowledged")
	}
	if got := len(departed); got != 1 {
		t.Errorf("proposals: got %d, want 1", got)
	}
	if got := (<-departed).GetDeparted(); len(got) != 1 || decodeDeparture(got[0]) != (notice.Process{Endpoint: "a/e", Incarnation: 100}) {
		t.Errorf("proposed: got %v, want incarnation 100 of a/e", got)
	}
}

// Guards against an endpoint that a restarted node goes on announcing, although the leader has answered that its process has left.
func TestDepartureTold(t *testing.T) {
	h, a := newLeaveHost(t, func(context.Context, *wire.Command) (*wire.Result, error) {
		t.Error("got a proposal, want none for what is agreed")
		return &wire.Result{}, nil
	})
	h.leaderKnowsDepartures([]*wire.Departure{{Service: "a", Name: "e", Incarnation: 99}})
	if got := len(h.backend.Endpoints()); got != 1 {
		t.Errorf("endpoints after the departure of another process: got %d, want 1", got)
	}
	h.leaderKnowsDepartures([]*wire.Departure{{Service: "a", Name: "e", Incarnation: 100}})
	a.Sequence = 2
	if f := h.backend.Announce(a); f != nil {
		t.Fatal(f)
	}
	if got := len(h.backend.Endpoints()); got != 0 {
		t.Errorf("endpoints after the departure and a late announcement: got %d, want 0", got)
	}
	a.Incarnation = 101
	if f := h.backend.Announce(a); f != nil {
		t.Fatal(f)
	}
	if got := len(h.backend.Endpoints()); got != 1 {
		t.Errorf("endpoints after the announcement of a later process: got %d, want 1", got)
	}
	time.Sleep(50 * time.Millisecond) // a wrong proposal would be made in the background
}

// Guards against a leave that does not name its process and is acknowledged by a node that has just started: a late heartbeat of the process
// would bring the endpoint back. Once a process of the endpoint is known, the leave has to be agreed for that process.
func TestUnnamedDeparture(t *testing.T) {
	departed := make(chan *wire.Departure, 10)
	h, a := newLeaveHost(t, func(_ context.Context, c *wire.Command) (*wire.Result, error) {
		for _, d := range c.GetMembership().GetDeparted() {
			departed <- d
		}
		return &wire.Result{}, nil
	})
	leave := func(endpoint string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if !h.LeaveAgreed(ctx, backend.Announcement{Service: "a", Endpoint: endpoint}) {
			t.Errorf("leave of %s: got it refused, want it acknowledged", endpoint)
		}
	}
	proposed := func() *wire.Departure {
		select {
		case d := <-departed:
			return d
		default:
			return nil
		}
	}
	leave("unknown")
	leave("unknown")
	if got := proposed(); got.GetName() != "unknown" || !got.GetLast() || got.GetIncarnation() != 0 {
		t.Errorf("proposed for an unknown process: got %v, want the last process", got)
	}
	later := backend.Announcement{Service: "a", Endpoint: "unknown", Slots: 1, Connections: 1, Incarnation: 200}
	h.locals = map[string]*localEndpoint{later.Key(): {
		queue: newAdmissionQueue(1, 0), guard: newGuard(later.Key(), h.holder.View().Table.Suspect), process: h.process(later),
	}}
	h.endpointAnnounced(later)
	if pending, agreed := h.departures.of("a/unknown"); pending || agreed {
		t.Errorf("after an announcement: got pending %v, agreed %v, want false, false", pending, agreed)
	}
	leave("e")
	if got := proposed(); got.GetName() != "e" || got.GetLast() || got.GetIncarnation() != a.Incarnation {
		t.Errorf("proposed for a known process: got %v, want incarnation %d", got, a.Incarnation)
	}
	if got := len(departed); got != 0 {
		t.Errorf("proposals of repeated and named leaves: got %d more, want 0", got)
	}
}

// Guards against a departure that does not name its process and is taken for agreed, although a process of the endpoint has announced
// itself while the proposal was under way.
func TestUnnamedDepartureIsForgotten(t *testing.T) {
	proposed, decided := make(chan struct{}), make(chan struct{})
	d := newDepartures(func(context.Context, *wire.Command) (*wire.Result, error) {
		close(proposed)
		<-decided
		return &wire.Result{}, nil
	}, logr.Discard())
	d.addLast("a/e")
	<-proposed
	d.announced("a/e")
	close(decided)
	d.close()
	if pending, agreed := d.of("a/e"); pending || agreed {
		t.Errorf("got pending %v, agreed %v, want false, false", pending, agreed)
	}
}

package host

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// Guards against a node that adopts an agreed endpoint without slots or connections after its restart: calls would wait there until
// their deadline.
func TestOddEndpointNotAdopted(t *testing.T) {
	holder, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	b := backend.New()
	defer func() { _ = b.Close() }()
	h := &Host{settings: &process.Settings{Name: "n"}, holder: holder, backend: b, log: logr.Discard()}
	h.adopted.address, h.adopted.window = netip.MustParseAddrPort("127.0.0.1:9000"), time.Minute
	var puts []config.Entry
	for name, e := range map[string]*wire.Endpoint{
		"good": {Slots: 1, Connections: 1, Release: "v2"}, "slots": {Connections: 1}, "connections": {Slots: 1},
		"many": {Slots: math.MaxUint32, Connections: math.MaxUint32}, "other": {Slots: 1, Connections: 1, Node: "m"},
	} {
		e.Service, e.Name = "a", name
		if e.Node == "" {
			e.Node = "n"
		}
		v, _ := proto.Marshal(e)
		puts = append(puts, config.Entry{Key: config.KeyOf(e), Value: v})
	}
	if err := holder.Offer(config.NewSnapshot().With(1, puts, nil)); err != nil {
		t.Fatal(err)
	}
	holder.Prove(1)
	h.adopt(holder.View())
	for _, a := range b.Endpoints() {
		if a.Endpoint != "good" {
			t.Errorf("adopted: got %s, want only good", a.Endpoint)
		}
		if a.Endpoint == "good" && a.Release != "v2" {
			t.Errorf("adopted: got release %q, want v2", a.Release)
		}
	}
	if got := len(b.Endpoints()); got == 0 {
		t.Error("adopted: got none, want good")
	}
}

// Guards against a node that has just started and acknowledges a leave that nobody has agreed: killed again, it restores the endpoint.
func TestLeaveNeedsVersion(t *testing.T) {
	endpoint := &wire.Endpoint{Service: "a", Name: "e", Node: "n", Slots: 1, Connections: 1}
	value, _ := proto.Marshal(endpoint)
	entry := config.Entry{Key: config.KeyOf(endpoint), Value: value}
	empty := config.NewSnapshot().With(1, nil, nil)
	for _, c := range []struct {
		name   string
		held   *config.Snapshot // nil for none
		proven bool
		want   bool
	}{
		{"no version", nil, false, false},
		{"version without proof", empty, false, false},
		{"listed", config.NewSnapshot().With(1, []config.Entry{entry}, nil), true, false},
		{"not listed", empty, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			holder, err := peer.NewHolder()
			if err != nil {
				t.Fatal(err)
			}
			b := backend.New()
			defer func() { _ = b.Close() }()
			if c.held != nil {
				if err := holder.Offer(c.held); err != nil {
					t.Fatal(err)
				}
			}
			if c.proven {
				holder.Prove(1)
			}
			h := &Host{settings: &process.Settings{Name: "n"}, holder: holder, backend: b, log: logr.Discard()}
			h.departures = newDepartures(func(context.Context, *wire.Command) (*wire.Result, error) { return &wire.Result{}, nil }, logr.Discard())
			defer h.departures.close()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if got := h.LeaveAgreed(ctx, backend.Announcement{Service: "a", Endpoint: "e"}); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

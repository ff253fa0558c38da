package host

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/config"
	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// Load pattern: nodes and backend servers lose power together. Guards against a node that announces its new endpoint only after
// its version is proven, which leaves the agreed set without it for a second, and against an announcement without endpoints
// before the former ones could be adopted, which would remove them.
func TestAnnounceBeforeProof(t *testing.T) {
	app := netip.MustParseAddrPort("127.0.0.1:9000")
	tests := []struct {
		name      string
		announced bool
		proven    bool
		want      bool
		endpoints int
	}{
		{"nothing known yet", false, false, false, 0},
		{"backend server announced itself", true, false, true, 1},
		{"proven without a backend server", false, true, true, 0},
		{"both", true, true, true, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			holder, err := peer.NewHolder()
			if err != nil {
				t.Fatal(err)
			}
			b := backend.New(backend.WithLog(logr.Discard()))
			defer func() { _ = b.Close() }()
			peers, err := process.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.NotFoundHandler())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peers.Close() }()
			h := &Host{settings: &process.Settings{Name: "n"}, holder: holder, backend: b, log: logr.Discard(), peers: peers}
			h.adopted.address, h.adopted.window = app, 10*time.Second
			if c.announced {
				if f := b.Announce(backend.Announcement{Service: "archive", Endpoint: "e", Address: app, Slots: 1, Connections: 1}); f != nil {
					t.Fatal(f)
				}
			}
			if c.proven {
				holder.Prove(0)
			}
			r := h.announceable()
			if (r != nil) != c.want {
				t.Fatalf("got an announcement %v, want %v", r != nil, c.want)
			}
			if got := len(r.GetEndpoints()); got != c.endpoints {
				t.Errorf("endpoints: got %d (%v), want %d", got, []*wire.Endpoint(r.GetEndpoints()), c.endpoints)
			}
		})
	}
}

// Guards against callers that are told to return long after the node usually has a proven version, or all at the same time.
func TestReturnToUnprovenNode(t *testing.T) {
	const spread = leastUnready / 2
	tests := []struct {
		name  string
		ready time.Duration
		up    time.Duration
		least time.Duration
		most  time.Duration
	}{
		{"just started", time.Second, 0, time.Second, time.Second + spread},
		{"half way", time.Second, 500 * time.Millisecond, 500 * time.Millisecond, 500*time.Millisecond + spread},
		{"overdue", time.Second, 5 * time.Second, leastUnready, leastUnready + spread},
		{"not known", 0, 5 * time.Second, time.Second, time.Second},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := &Host{settings: &process.Settings{Timing: process.Timing{Ready: c.ready}}}
			for range 20 {
				if got := h.unready(c.up); got < c.least || got > c.most {
					t.Errorf("got %v, want %v to %v", got, c.least, c.most)
				}
			}
		})
	}
}

// Guards against a proper request that is told that it has no route, by a node whose proven version is older than the first
// configuration of the operators.
func TestNoConfigurationYet(t *testing.T) {
	holder, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	h := &Host{settings: &process.Settings{}, holder: holder, started: time.Now(), turns: newTurns()}
	match := func() string {
		m, f := h.match("fares.example", "/fares/", http.MethodGet)
		switch {
		case f != nil:
			return fmt.Sprint(f.Code, " ", f.Kind, " ", f.Status)
		case m.Route == nil:
			return "no route"
		}
		return m.Route.Name
	}
	steps := []struct {
		name string
		do   func() error
		want string
	}{
		{"not proven", func() error { return nil }, "unproven notrun 503"},
		{"proven without a configuration", func() error { holder.Prove(0); return nil }, "unproven notrun 503"},
		{"another host's route", func() error { return holder.Offer(routeTo("other.example")) }, "no route"},
		{"the route", func() error { return holder.Offer(routeTo("fares.example")) }, "fares"},
	}
	for _, c := range steps {
		if err := c.do(); err != nil {
			t.Fatal(err)
		}
		if got := match(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

var versions uint64

// routeTo returns a newer snapshot with one route.
func routeTo(host string) *config.Snapshot {
	versions++
	s := store.New()
	s.Apply(versions, &wire.Command{Body: &wire.Command_Change{Change: &wire.Change{Id: "c", Number: 1, Body: &wire.Change_Content{
		Content: &wire.Content{
			Register: &wire.Register{Services: []*wire.Service{{Name: "counter", Slots: 1, Connections: 1}}},
			Sets: []*wire.RuleSet{{Set: "main", Routes: []*wire.Route{
				{Name: "fares", Set: "main", Service: "counter", Host: host, Path: "/fares/", Deadline: 1000},
			}}},
		},
	}}}})
	return s.Snapshot()
}

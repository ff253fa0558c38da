package host

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/config"
	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

// Load pattern: nodes and backend servers lose power together. Guards against a node that announces a new endpoint only after its
// version is proven, so that the agreed set lacks the endpoint for a second, and against an announcement without endpoints
// before the earlier ones are adopted, which would remove them.
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

// Guards against telling callers to retry long after the node usually has a proven version, or all at the same time.
func TestReturnToUnprovenNode(t *testing.T) {
	const spread = minRetryAfter / 2
	tests := []struct {
		name  string
		ready time.Duration
		up    time.Duration
		least time.Duration
		most  time.Duration
	}{
		{"just started", time.Second, 0, time.Second, time.Second + spread},
		{"half way", time.Second, 500 * time.Millisecond, 500 * time.Millisecond, 500*time.Millisecond + spread},
		{"overdue", time.Second, 5 * time.Second, minRetryAfter, minRetryAfter + spread},
		{"not known", 0, 5 * time.Second, time.Second, time.Second},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := &Host{settings: &process.Settings{Timing: process.Timing{Ready: c.ready}}}
			for range 20 {
				if got := h.retryAfter(c.up); got < c.least || got > c.most {
					t.Errorf("got %v, want %v to %v", got, c.least, c.most)
				}
			}
		})
	}
}

// Guards against answering a valid request with "no route" at a node whose proven version is older than the operators' first
// configuration.
func TestNoConfigurationYet(t *testing.T) {
	holder, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	h := &Host{settings: &process.Settings{}, holder: holder, started: time.Now(), splits: newSplitCounter()}
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

// versions counts the snapshots of routeTo.
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

// Guards against fields that are used without their mutex while several goroutines serve polls and the leader, the version and the seeds
// change. Only the race detector sees it.
func TestDirectoryWhileLeaderChanges(t *testing.T) {
	const port = ":7000"
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1" + port), netip.MustParseAddrPort("10.2.0.1" + port)}
	holder, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	settings := &process.Settings{Name: "10.1.0.1", Domain: "a", Seeds: process.Seeds{Peers: seeds}, Listen: process.Listen{Peer: seeds[0]}}
	h := &Host{settings: settings, holder: holder, directory: newDirectory(settings)}
	h.upstream = newUpstream(settings, h.directory)
	var done sync.WaitGroup
	for _, f := range []func(i int){
		func(i int) { h.redirect(fmt.Sprint("n", i), "b") },
		func(i int) { h.upstream.setLeader(fmt.Sprintf("10.%d.0.1", i%3+1), holder.View()) },
		func(i int) {
			h.upstream.applyResponse(&rpc.SyncResponse{Leader: fmt.Sprintf("10.%d.0.1", i%3+1), Relays: []string{"10.1.0.9" + port}}, holder.View())
		},
		func(int) { h.upstream.update(holder.View()) },
		func(i int) { h.Reseed(seeds[i%2:]) },
		func(int) { h.upstream.preferred() },
		func(int) { h.upstream.reportsTo(seeds[0]) },
		func(int) { h.upstream.replicas() },
		func(int) { h.directory.founders() },
		func(int) { h.leader() },
	} {
		done.Go(func() {
			for i := range 200 {
				f(i)
			}
		})
	}
	done.Wait()
}

// Load pattern: hundreds of nodes start and know only the seeds. Guards against whole snapshots that cross failure domains
// although a replica in the node's own domain could send them, against a node that is redirected over and over, and against a
// leader outside the seeds that no node can ask for its floor.
func TestStartKnowsOnlySeeds(t *testing.T) {
	const port = ":7000"
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.1.0.1" + port), netip.MustParseAddrPort("10.2.0.1" + port)}
	s := store.New()
	members := &wire.Membership{}
	for i, d := range []string{"a", "b", "c"} {
		name := fmt.Sprintf("10.%d.0.1", i+1)
		members.Joins = append(members.Joins, &wire.Node{Name: name, Address: name + port, Domain: d, Replica: name + "/1", Link: 21_250_000})
	}
	s.Apply(1, &wire.Command{Body: &wire.Command_Membership{Membership: members}})
	holder, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	settings := &process.Settings{Name: "10.1.0.1", Domain: "a", Seeds: process.Seeds{Peers: seeds}, Listen: process.Listen{Peer: seeds[0]}}
	h := &Host{settings: settings, holder: holder, directory: newDirectory(settings)}
	h.upstream = newUpstream(settings, h.directory)
	if err := holder.Offer(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	h.upstream.update(holder.View())
	for _, c := range []struct{ name, node, domain, want string }{
		{"node in this domain", "n1", "a", "[]"},
		{"node in another domain", "n2", "c", "[10.3.0.1:7000]"},
		{"same node asks again", "n2", "c", "[]"},
		{"node in a domain without replica", "n3", "d", "[]"},
		{"replica asks about its own domain", "10.2.0.1", "b", "[]"},
	} {
		if got := fmt.Sprint(h.redirect(c.node, c.domain)); got != c.want {
			t.Errorf("%s: got upstreams %s, want %s", c.name, got, c.want)
		}
	}
	node := &process.Settings{Name: "n1", Domain: "c", Seeds: process.Seeds{Peers: seeds}, Listen: process.Listen{Peer: netip.MustParseAddrPort("10.3.0.9" + port)}}
	u := newUpstream(node, newDirectory(node))
	empty, err := peer.NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	u.applyResponse(&rpc.SyncResponse{Leader: "10.3.0.1"}, empty.View())
	if got, want := fmt.Sprint(u.replicas()), "[10.3.0.1:7000 10.1.0.1:7000 10.2.0.1:7000]"; got != want {
		t.Errorf("replicas after an answer that names the leader: got %s, want %s", got, want)
	}
}

// Guards against a process that panics, without naming the cause, because a TLS file cannot be used.
func TestTLSFilesNotValid(t *testing.T) {
	file := filepath.Join(t.TempDir(), "odd.pem")
	if err := os.WriteFile(file, []byte("odd"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &process.Settings{Name: "n", TLS: process.TLSFiles{Cert: file, Key: file, CA: file}}
	s.Listen.Peer = netip.MustParseAddrPort("127.0.0.1:0")
	if _, err := New(s, logr.Discard()); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("got %v, want an error that names %s", err, file)
	}
}

package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/relay"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

const (
	services = 220
	domains  = 3
	changes  = 5
)

func entryOf(m proto.Message) config.Entry {
	v, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return config.Entry{Key: config.KeyOf(m), Value: v}
}

func routeOf(i int, deadline uint64) config.Entry {
	return entryOf(&wire.Route{
		Name: fmt.Sprintf("route-%03d", i), Service: fmt.Sprintf("service-%03d", i), Path: fmt.Sprintf("/api/%03d", i),
		Priority: 5, Deadline: int64(deadline), Set: "main",
	})
}

// fleet returns a snapshot with 220 services, one route for each, and n nodes with one endpoint each.
func fleet(n int) *config.Snapshot {
	var puts []config.Entry
	for i := range services {
		puts = append(puts, entryOf(&wire.Service{Name: fmt.Sprintf("service-%03d", i), Slots: 12, Connections: 130}), routeOf(i, 2000))
	}
	for i := range n {
		name := fmt.Sprintf("node-%04d", i)
		puts = append(puts, entryOf(&wire.Node{
			Name: name, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Domain: fmt.Sprint("domain-", i%12),
			Region: fmt.Sprint("region-", i%4), Incarnation: uint64(i+1) * 0x9e3779b97f4a7c15,
		}), entryOf(&wire.Endpoint{
			Service: fmt.Sprintf("service-%03d", i%services), Name: name, Node: name, Slots: 12, Connections: 130,
			Incarnation: uint64(i+1) * 0xbf58476d1ce4e5b9,
		}))
	}
	return config.NewSnapshot().With(1, puts, nil)
}

// countingListener is a listener that counts all bytes on its connections, including headers, pings and settings frames.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// member is one node with a holder, feed, server and follower, connected as in io/host but without calls and announcements.
type member struct {
	name      string
	holder    *Holder
	feed      *Feed
	tracker   *relay.Tracker
	clients   *Clients
	follower  *Follower
	listener  *countingListener
	server    *http.Server
	reported  atomic.Uint64
	snapshots atomic.Int64 // whole snapshots served
	active    atomic.Int64 // whole snapshots in transfer, by the duration that the budget assumes
	peak      atomic.Int64 // most transfers at once
	refused   atomic.Int64 // requests answered with a retry delay
}

type profile struct {
	name           string
	poll, coalesce time.Duration
}

var profiles = []profile{{"fast", 5 * time.Second, 0}, {"thrifty", 15 * time.Second, 250 * time.Millisecond}}

// newMember starts a node that serves Sync requests; it is the source unless follow or followAt is called.
func newMember(b testing.TB, name string, p profile, transfers int, swapped func(View)) *member {
	b.Helper()
	m := &member{name: name, tracker: relay.NewTracker(name, p.poll), clients: NewClients()}
	m.holder, _ = NewHolder(WithSavedFloor(0, func(uint64) error { return nil }), WithVersionChanged(swapped))
	m.feed, _ = NewFeed(m.holder, WithTransfers(transfers), WithCoalesce(p.coalesce), WithReport(m.recordReport), WithAge(func() time.Duration { return 0 }))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	m.listener = &countingListener{Listener: inner}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	path, handler := NewHandler(&Server{OnSync: m.sync})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	m.server = &http.Server{Handler: mux, Protocols: protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000, SendPingTimeout: 15 * time.Second}}
	go func() { _ = m.server.Serve(m.listener) }()
	return m
}

func (m *member) sync(ctx context.Context, r *rpc.SyncRequest, number uint64) *rpc.SyncResponse {
	resp := m.feed.Sync(ctx, r, number)
	if r.GetHeld() == 0 && resp.GetPacked() != nil {
		m.snapshots.Add(1)
		m.peak.Store(max(m.peak.Load(), m.active.Add(1)))
		time.AfterFunc(time.Duration(len(resp.GetPacked()))*time.Second/transferRate, func() { m.active.Add(-1) })
	}
	if resp.GetAfter() > 0 {
		m.refused.Add(1)
	}
	return resp
}

func (m *member) recordReport(r *rpc.SyncRequest, _ uint64) {
	if r.GetHeld() == 0 {
		return
	}
	m.tracker.RecordPoll(time.Now(), r.GetNode(), r.GetHeld(), r.GetReport())
	inForce := m.holder.View().Snapshot.Version()
	if m.follower != nil && r.GetHeld() >= inForce && m.tracker.LowestVersion() >= inForce && m.reported.Swap(inForce) != inForce {
		m.follower.SendReportNow()
	}
}

func (m *member) follow(p profile, upstreams ...*member) {
	var list []netip.AddrPort
	for _, x := range upstreams {
		list = append(list, x.listener.Addr().(*net.TCPAddr).AddrPort())
	}
	m.followAt(p, list...)
}

func (m *member) followAt(p profile, list ...netip.AddrPort) {
	m.follower, _ = NewFollower(m.holder, m.clients, WithIdentity(m.name, 1), WithPoll(p.poll),
		WithUpstreams(func() []netip.AddrPort { return list }),
		WithReports(func(_ netip.AddrPort, held uint64) *wire.Report {
			if m.tracker.Children() == 0 {
				return nil
			}
			return m.tracker.Report(time.Now(), held)
		}))
}

func closeAll(list []*member) {
	var wait sync.WaitGroup
	for _, m := range list {
		wait.Go(func() {
			if m.follower != nil {
				m.follower.Close()
			}
			m.clients.Close()
			_ = m.server.Close()
		})
	}
	wait.Wait()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func total(list []*member) (bytes int64) {
	for _, m := range list {
		bytes += m.listener.bytes.Load()
	}
	return bytes
}

func waitUntil(b testing.TB, limit time.Duration, ready func() bool) {
	b.Helper()
	for end := time.Now().Add(limit); !ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("condition not met within %s", limit)
		}
	}
}

// mesh starts one source and n nodes in three failure domains. With relays, the first two nodes of each domain follow the
// source and the others follow them; without, all nodes follow the source.
func mesh(b *testing.B, n int, p profile, relays bool, swapped func(View)) (source *member, nodes []*member) {
	source = newMember(b, "source", p, 1000, func(View) {})
	for i := range n {
		nodes = append(nodes, newMember(b, fmt.Sprintf("node-%04d", i), p, 32, swapped))
	}
	_ = source.holder.Offer(fleet(n))
	for i, m := range nodes {
		if !relays || i < 2*domains {
			m.follow(p, source)
			continue
		}
		near := []*member{nodes[i%domains], nodes[i%domains+domains]}
		if i/domains%2 == 1 {
			slices.Reverse(near)
		}
		m.follow(p, append(near, source)...)
	}
	waitUntil(b, 30*time.Second, func() bool {
		return !slices.ContainsFunc(nodes, func(m *member) bool { return m.holder.View().Snapshot.Version() < 1 })
	})
	return source, nodes
}

// BenchmarkCapacitySpread measures changes of one rule, and the load without changes, over real connections; it counts all
// bytes on the connections.
func BenchmarkCapacitySpread(b *testing.B) {
	for _, p := range profiles {
		for _, topology := range []string{"relays", "source"} {
			for _, n := range []int{15, 60, 240} {
				if p.poll > 5*time.Second && n < 60 {
					continue // each size takes 15 s, and two sizes show the growth
				}
				b.Run(fmt.Sprintf("%s/%s/nodes=%d", p.name, topology, n), func(b *testing.B) {
					var mu sync.Mutex
					var at time.Time
					var took []float64
					source, nodes := mesh(b, n, p, topology == "relays", func(v View) {
						mu.Lock()
						defer mu.Unlock()
						if v.Snapshot.Version() > 1 {
							took = append(took, float64(time.Since(at).Microseconds())/1000)
						}
					})
					defer func() { closeAll(append(nodes, source)) }()
					time.Sleep(time.Second)
					measureIdle(b, source, nodes, p)
					s, all := source.listener.bytes.Load(), total(nodes)
					busy := processorTime()
					for i := range changes {
						mu.Lock()
						at, took = time.Now(), slices.Clip(took)
						mu.Unlock()
						current := source.holder.View().Snapshot
						_ = source.holder.Offer(current.With(current.Version()+1, []config.Entry{routeOf(i, 1000)}, nil))
						waitUntil(b, 20*time.Second, func() bool {
							mu.Lock()
							defer mu.Unlock()
							return len(took) == (i+1)*n
						})
						time.Sleep(600 * time.Millisecond) // time for acknowledgments, reports, and the pause of followers between swaps
					}
					slices.Sort(took)
					b.ReportMetric(took[len(took)/2], "p50-ms")
					b.ReportMetric(took[len(took)*99/100], "p99-ms")
					b.ReportMetric(took[len(took)-1], "max-ms")
					s = source.listener.bytes.Load() - s
					b.ReportMetric(float64(s)/changes, "B/change@source")
					b.ReportMetric(float64(total(nodes)-all+s)/changes/float64(n), "B/change/node")
					b.ReportMetric(float64((processorTime()-busy).Microseconds())/changes/float64(n), "us/change/node")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// measureIdle measures one poll interval without a change; the nodes poll at the same time, so each polls once in the interval.
func measureIdle(b *testing.B, source *member, nodes []*member, p profile) {
	s, relay, all, busy := source.listener.bytes.Load(), nodes[0].listener.bytes.Load(), total(nodes), processorTime()
	time.Sleep(p.poll)
	n, seconds := float64(len(nodes)), p.poll.Seconds()
	s = source.listener.bytes.Load() - s
	b.ReportMetric(float64(s)/seconds, "restB/s@source")
	b.ReportMetric(float64(nodes[0].listener.bytes.Load()-relay)/seconds, "restB/s@relay")
	b.ReportMetric(float64(total(nodes)-all+s)/seconds/n, "restB/s/node")
	b.ReportMetric(100*(processorTime()-busy).Seconds()/seconds/n, "rest-core-%/node")
}

// BenchmarkCapacityStorm starts all nodes at once against three servers, each with a budget of 16 transfers.
func BenchmarkCapacityStorm(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			full := fleet(525)
			var servers, nodes []*member
			for i := range 3 {
				m := newMember(b, fmt.Sprint("server-", i), profiles[0], 16, func(View) {})
				_ = m.holder.Offer(full)
				servers = append(servers, m)
			}
			var synced atomic.Int64
			for i := range n {
				nodes = append(nodes, newMember(b, fmt.Sprint("node-", i), profiles[0], 32, func(View) { synced.Add(1) }))
			}
			start, busy := time.Now(), processorTime()
			for i, m := range nodes {
				m.follow(profiles[0], servers[i%3], servers[(i+1)%3], servers[(i+2)%3])
			}
			waitUntil(b, 60*time.Second, func() bool { return int(synced.Load()) == n })
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "all-hold-ms")
			b.ReportMetric(float64((processorTime()-busy).Microseconds())/1000/float64(n), "cpu-ms/node")
			most, snapshots, refused, peak := 0.0, 0.0, 0.0, 0.0
			for _, m := range servers {
				most = max(most, float64(m.listener.bytes.Load()))
				peak = max(peak, float64(m.peak.Load()))
				snapshots += float64(m.snapshots.Load())
				refused += float64(m.refused.Load())
			}
			b.ReportMetric(snapshots, "wholes")
			b.ReportMetric(refused, "refused")
			b.ReportMetric(peak, "peak@server")
			b.ReportMetric(float64(total(servers))/float64(n), "B/node")
			b.ReportMetric(most, "B@server")
			b.ReportMetric(0, "ns/op")
			closeAll(append(nodes, servers...))
		})
	}
}

// Guards against a node that compiles one table for each version of a burst, and against one that skips the last version.
func TestVersionBurst(t *testing.T) {
	const burst, most = 50, 4 // after a swap of 2 ms the pause is 500 ms, and the burst lasts less than 1 s
	source := newMember(t, "source", profiles[0], 16, func(View) {})
	_ = source.holder.Offer(fleet(15))
	var swaps atomic.Int64
	node := newMember(t, "node", profiles[0], 16, func(View) {
		swaps.Add(1)
		time.Sleep(2 * time.Millisecond)
	})
	defer closeAll([]*member{source, node})
	node.follow(profiles[0], source)
	waitUntil(t, 5*time.Second, func() bool { return node.holder.View().Snapshot.Version() == 1 })
	swaps.Store(0)
	for i := range burst {
		_ = source.holder.Offer(source.holder.View().Snapshot.With(uint64(i+2), []config.Entry{routeOf(i, 1000)}, nil))
		time.Sleep(10 * time.Millisecond)
	}
	waitUntil(t, 5*time.Second, func() bool { return node.holder.View().Snapshot.Version() == burst+1 })
	if got := swaps.Load(); got > most {
		t.Errorf("got %d swaps for %d versions, want at most %d", got, burst, most)
	}
}

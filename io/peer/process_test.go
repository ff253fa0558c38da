package peer

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/hop"
	"godwitspindle/io/rpc"
)

// BenchmarkCapacitySource serves the configuration of 2,100 nodes at the address in CAPACITY_SOURCE to a node process, which
// the Makefile target capacity starts and measures. The load is: none for 20 s; 640 calls/s to 60 peers for 4 s; from second 26,
// ten versions/s for 10 s; from second 37, 87 nodes that follow the process; from second 48, again ten versions/s.
func BenchmarkCapacitySource(b *testing.B) {
	address := os.Getenv("CAPACITY_SOURCE")
	if address == "" {
		b.Skip("CAPACITY_SOURCE is not set")
	}
	m := newMember(b, "source", profiles[0], 16, func(View) {})
	_ = m.holder.Offer(fleet(2099).With(2, standInNodes(b), nil))
	offerEntry := func(e config.Entry) {
		current := m.holder.View().Snapshot
		_ = m.holder.Offer(current.With(current.Version()+1, []config.Entry{e}, nil))
	}
	path, handler := NewHandler(&Server{
		OnSync:  m.sync,
		OnFloor: func(context.Context) (uint64, error) { return m.holder.View().Snapshot.Version(), nil },
		OnAnnounce: func(_ context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
			offerEntry(entryOf(r.GetNode()))
			return &rpc.AnnounceResponse{Lease: 15000}, nil
		},
	})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Addr: address, Handler: mux, Protocols: protocols}
	go func() { _ = server.ListenAndServe() }()
	time.Sleep(20 * time.Second)
	sendCalls(b, 64, 4*time.Second)
	time.Sleep(2 * time.Second)
	burst := func() {
		for i := range 100 {
			offerEntry(routeOf(i, m.holder.View().Snapshot.Version()))
			time.Sleep(100 * time.Millisecond)
		}
	}
	burst()
	time.Sleep(time.Second)
	members := []*member{m}
	node := netip.MustParseAddrPort("127.0.0.1:17004")
	for i := range 87 {
		c := newMember(b, fmt.Sprintf("below-%02d", i), profiles[0], 16, func(View) {})
		c.followAt(profiles[0], node)
		members = append(members, c)
	}
	time.Sleep(11 * time.Second)
	burst()
	time.Sleep(2 * time.Second)
	_ = server.Close()
	closeAll(members)
}

// standInNodes returns the nodes of the first six services, with addresses of stand-in servers that answer after 100 ms.
func standInNodes(b *testing.B) (puts []config.Entry) {
	b.Helper()
	s := hop.HTTPServer(hop.NewServer(hop.WithDo(func(context.Context, hop.Meta, *http.Request) (*http.Response, error) {
		time.Sleep(100 * time.Millisecond)
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	})))
	b.Cleanup(func() { _ = s.Close() })
	for i := 0; i < 2099; i++ {
		if i%services >= 6 {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		puts = append(puts, entryOf(&wire.Node{
			Name: fmt.Sprintf("node-%04d", i), Address: l.Addr().String(), Domain: fmt.Sprint("domain-", i%12),
			Region: fmt.Sprint("region-", i%4), Incarnation: uint64(i+1) * 0x9e3779b97f4a7c15,
		}))
	}
	return puts
}

// sendCalls sends calls for the given time to the caller listener of the measured process, whose port the Makefile target sets.
func sendCalls(b *testing.B, workers int, span time.Duration) {
	b.Helper()
	var wait sync.WaitGroup
	var good atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for end, w := time.Now().Add(span), 0; w < workers; w++ {
		wait.Go(func() {
			for time.Now().Before(end) {
				resp, err := client.Get(fmt.Sprintf("http://127.0.0.1:17001/api/%03d", w%6))
				if err != nil {
					continue
				}
				if _ = resp.Body.Close(); resp.StatusCode == http.StatusOK {
					good.Add(1)
				}
			}
		})
	}
	wait.Wait()
	b.ReportMetric(float64(good.Load()), "calls")
}

// BenchmarkCapacityRelays announces CAPACITY_NODES nodes to the replica process at CAPACITY_LEADER and then sends reports for
// them as the 24 relays of 12 failure domains do, 22 s in all.
func BenchmarkCapacityRelays(b *testing.B) {
	address, err := netip.ParseAddrPort(os.Getenv("CAPACITY_LEADER"))
	n, _ := strconv.Atoi(os.Getenv("CAPACITY_NODES"))
	if err != nil || n == 0 {
		b.Skip("CAPACITY_LEADER or CAPACITY_NODES is not set")
	}
	const relays = 24
	ctx, cancel := context.WithTimeout(b.Context(), 22*time.Second)
	defer cancel()
	nodes, endpoints := fleet(n).Members()
	var wait sync.WaitGroup
	for i := range relays {
		wait.Go(func() {
			clients := NewClients()
			defer clients.Close()
			m := clients.At(address)
			var names []string
			for j := i; j < n; j += relays {
				names = append(names, nodes[j].GetName())
				for _, e := range endpoints {
					if e.GetNode() != nodes[j].GetName() {
						continue
					}
					if _, err := m.Announce(ctx, connect.NewRequest(&rpc.AnnounceRequest{Node: nodes[j], Endpoints: []*wire.Endpoint{e}})); err != nil {
						b.Error(err)
					}
				}
			}
			for ctx.Err() == nil {
				// With a held version above the newest, each poll lasts for its full wait.
				_, _ = m.Sync(ctx, connect.NewRequest(&rpc.SyncRequest{
					Node: names[0], Incarnation: 1, Held: math.MaxUint64, Wait: 5000,
					Report: &wire.Report{Lowest: math.MaxUint64, Count: uint32(len(names)), Alive: names},
				}))
			}
		})
	}
	wait.Wait()
}

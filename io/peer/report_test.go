package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// upstream starts a server on a loopback address that answers Sync with the given function.
func upstream(t *testing.T, sync func(ctx context.Context, r *rpc.SyncRequest) *rpc.SyncResponse) netip.AddrPort {
	t.Helper()
	path, handler := NewHandler(&Server{OnSync: func(ctx context.Context, r *rpc.SyncRequest, _ uint64) *rpc.SyncResponse {
		return sync(ctx, r)
	}})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = &http.Protocols{}
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// follow starts a follower whose holder has version 1 and a proven floor.
func follow(t *testing.T, upstreams []netip.AddrPort, opts ...FollowerOption) *Follower {
	t.Helper()
	h, err := NewHolder()
	if err != nil {
		t.Fatal(err)
	}
	h.Prove(0)
	if err := h.Offer(config.NewSnapshot().With(1, nil, nil)); err != nil {
		t.Fatal(err)
	}
	clients := NewClients()
	f, err := NewFollower(h, clients, append([]FollowerOption{
		WithUpstreams(func() []netip.AddrPort { return upstreams }),
		WithReports(func(netip.AddrPort, uint64) *wire.Report { return &wire.Report{Count: 1} }),
	}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(); clients.Close() })
	return f
}

// Guards against a report that failed once and is sent again only after the long poll (5 s); until then, the operator sees that
// the version is not in force. TestReportedInForce observed 4.5 s.
func TestLostReportIsSentAgain(t *testing.T) {
	var reports atomic.Int64
	polling := make(chan struct{}, 8)
	arrived := make(chan time.Time, 8)
	at := upstream(t, func(ctx context.Context, r *rpc.SyncRequest) *rpc.SyncResponse {
		if r.GetWait() > 0 {
			polling <- struct{}{}
			<-ctx.Done()
			return nil
		}
		if reports.Add(1) == 1 {
			return nil // the first report fails
		}
		arrived <- time.Now()
		return &rpc.SyncResponse{Age: -1}
	})
	f := follow(t, []netip.AddrPort{at}, WithPoll(30*time.Second))
	<-polling
	began := time.Now()
	f.SendReportNow()
	select {
	case <-arrived:
	case <-time.After(5 * time.Second):
		t.Fatalf("the report did not arrive within %s", time.Since(began))
	}
}

// Guards against a node that keeps an upstream which is partitioned from the source and so gets no newer version, and against
// one that uses no upstream when all are partitioned.
func TestStaleUpstreamIsTriedLast(t *testing.T) {
	var stale, current atomic.Int64
	var sourceDown atomic.Bool // the source is down, so that no upstream is current
	answer := func(count *atomic.Int64, age int64) func(context.Context, *rpc.SyncRequest) *rpc.SyncResponse {
		return func(context.Context, *rpc.SyncRequest) *rpc.SyncResponse {
			count.Add(1)
			time.Sleep(5 * time.Millisecond)
			if sourceDown.Load() {
				age = 10_000
			}
			return &rpc.SyncResponse{Age: age}
		}
	}
	a, b := upstream(t, answer(&stale, 5_000)), upstream(t, answer(&current, 100))
	follow(t, []netip.AddrPort{a, b}, WithPoll(50*time.Millisecond), WithStale(time.Second))
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not within 5 s: %s; got %d polls of the stale upstream and %d of the current one", what, stale.Load(), current.Load())
			}
		}
	}
	until("the current upstream is polled", func() bool { return current.Load() >= 5 })
	if got := stale.Load(); got > 2 {
		t.Errorf("polls of the stale upstream: got %d, want at most 2", got)
	}
	sourceDown.Store(true)
	before := stale.Load() + current.Load()
	until("upstreams are polled while the source is down", func() bool { return stale.Load()+current.Load() >= before+5 })
}

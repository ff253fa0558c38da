package demo

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"godwitspindle/io/host"
)

// Guards against calls that fail, or still reach a backend server, after the server leaves under load: the server must get no new
// requests later than one second after the leave.
func TestBackendLeaves(t *testing.T) {
	r := startWatchedMesh(t, SahyadriHosts())
	l := r.startLoad(8, r.callers)
	time.Sleep(500 * time.Millisecond)
	leaver := r.indexOf(func(i int, _ *host.Host) bool { return r.specs[i].Service == "counter" })
	b := r.Backends[leaver]
	if err := b.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	at, last, served := time.Now(), time.Duration(0), b.Served()
	for time.Since(at) < 3*time.Second {
		if n := b.Served(); n != served {
			last, served = time.Since(at), n
		}
		time.Sleep(time.Millisecond)
	}
	r.stopLoad(l)
	t.Logf("last new request %s after the leave", last)
	if last > time.Second {
		t.Errorf("last new request: got %s after the leave, want within 1s", last)
	}
}

// Guards against calls that fail or run twice when a node drains under load: no call in flight may fail, the node's own endpoint
// must get no new requests, and the caller listener must stay open for a second, so that callers can switch to other nodes.
func TestNodeDrains(t *testing.T) {
	r := startWatchedMesh(t, SahyadriHosts(), WithLatency(20*time.Millisecond))
	l := r.startLoad(8, r.callers)
	time.Sleep(500 * time.Millisecond)
	i := r.indexOf(func(i int, h *host.Host) bool { return r.specs[i].Service == "counter" && !h.Leads() })
	began, ended := time.Now(), make(chan error)
	go func() { ended <- r.Drain(i) }()
	time.Sleep(50 * time.Millisecond) // calls admitted before the drain take 20 ms
	served := r.Backends[i].Served()
	for time.Since(began) < 900*time.Millisecond {
		a := send(http.DefaultClient, r.callers()[i], http.MethodGet, "/fares", "")
		if !a.complete || !a.closing {
			t.Errorf("call at the draining node after %s: got %+v, want a complete answer with Connection: close", time.Since(began), a)
		}
	}
	if n := r.Backends[i].Served() - served; n > 0 {
		t.Errorf("new calls at the draining endpoint: got %d, want 0", n)
	}
	err, took := <-ended, time.Since(began)
	if a := send(http.DefaultClient, r.callers()[i], http.MethodGet, "/fares", ""); !errors.Is(a.err, syscall.ECONNREFUSED) {
		t.Errorf("call after the drain: got %+v, want a refused connection", a)
	}
	r.stopLoad(l)
	t.Logf("drained in %s", took)
	if err != nil || took > 3*time.Second {
		t.Errorf("drain: got %v after %s, want none within 3s (1s for callers to switch nodes, 1s of HTTP/2, calls of 20ms)", err, took)
	}
}

// Guards against calls that fail during a rolling restart of all nodes under load, and against nodes that do not serve again.
func TestRollingRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 25 s")
	}
	r := startWatchedMesh(t, largeMesh(6), WithLatency(5*time.Millisecond))
	l := r.startLoad(6, r.callers)
	for i := range r.specs {
		if err := r.Drain(i); err != nil {
			t.Errorf("drain %s: got %v, want none", r.specs[i].Name, err)
		}
		if err := r.Start(i); err != nil {
			t.Fatal(err)
		}
		r.await("all nodes and endpoints known to each node", 10*time.Second, func(h *host.Host) bool {
			_, e := h.View().Snapshot.Members()
			return h.Serving() && len(h.View().Table.Nodes()) == len(r.specs) && len(e) == len(r.specs)
		})
	}
	r.stopLoad(l)
}

// Guards against a drain that cuts off calls which run longer than the second in which callers can switch nodes: the drain must
// wait for calls that entered at the node and for those that run on the node's own backend server.
func TestDrainWaitsForCalls(t *testing.T) {
	r := startWatchedMesh(t, SahyadriHosts(), WithLatency(1800*time.Millisecond))
	i := r.indexOf(func(i int, h *host.Host) bool { return r.specs[i].Service == "archive" && !h.Leads() })
	other := r.indexOf(func(n int, _ *host.Host) bool { return n != i })
	answers := make(chan answer)
	const calls = 12
	for n := range calls {
		address := r.callers()[[]int{i, other}[n%2]]
		go func() { answers <- send(http.DefaultClient, address, http.MethodGet, "/history", "") }()
	}
	time.Sleep(300 * time.Millisecond)
	if r.Backends[i].Served() == 0 {
		t.Error("got no call at the draining endpoint, want some in flight")
	}
	ended := make(chan error)
	go func() { ended <- r.Drain(i) }()
	for range calls {
		if a := <-answers; !a.complete || a.status != http.StatusOK {
			t.Errorf("call in flight at the drain: got %+v, want a complete answer", a)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want none", err)
	}
}

// Guards against a request whose body is late: it would reach its endpoint when the stop no longer leaves time for its answer, and be
// cut. The request begins before the stop and must be refused as not run when the notice (1 s) ends, and the drain must not fail.
func TestDrainRefusesLateBody(t *testing.T) {
	r := startWatchedMesh(t, SahyadriHosts())
	i := r.indexOf(func(_ int, h *host.Host) bool { return !h.Leads() })
	if err := r.Stop(i); err != nil {
		t.Fatal(err)
	}
	r.settings[i].Grace = 3 * time.Second
	if err := r.Start(i); err != nil {
		t.Fatal(err)
	}
	r.await("the node serves", 10*time.Second, func(h *host.Host) bool { return h.Serving() })
	n, err := net.Dial("tcp", r.callers()[i])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	if _, err := io.WriteString(n, "POST /refunds HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	began, ended := time.Now(), make(chan error, 1)
	go func() { ended <- r.Drain(i) }()
	_ = n.SetReadDeadline(began.Add(8 * time.Second))
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	took := time.Since(began)
	if err != nil {
		t.Fatalf("after %s: got %v, want an answer", took, err)
	}
	defer func() { _ = p.Body.Close() }()
	if code, kind := p.Header.Get("Mesh-Code"), p.Header.Get("Mesh-Outcome"); p.StatusCode != 503 || code != "draining" || kind != "notrun" {
		t.Errorf("got status %d, code %q, outcome %q, want 503, draining, notrun", p.StatusCode, code, kind)
	}
	if took < time.Second || took > 2*time.Second {
		t.Errorf("got the refusal after %s, want it at the end of the notice (1s)", took)
	}
	if err := <-ended; err != nil || time.Since(began) > 5*time.Second {
		t.Errorf("drain: got %v after %s, want none within 5s", err, time.Since(began))
	}
}

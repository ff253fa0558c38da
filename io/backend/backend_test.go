package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
	"godwitspindle/io/standin"
)

func call(path string, header ...string) *http.Request {
	r := &http.Request{Method: "POST", URL: &url.URL{Path: path}, Host: "example.test", Header: http.Header{}}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func testMeta(id string) hop.Meta {
	return hop.Meta{Call: id, Service: "counter", Endpoint: "a", Depth: 2, Remaining: time.Second, Fingerprint: hop.Identity{Key: id}.Fingerprint()}
}

// start returns a Backend with its announce API and one stand-in server that has announced itself.
func start(t *testing.T, opts []Option, more ...standin.Option) (*Backend, *standin.Server) {
	t.Helper()
	b := New(opts...)
	api := httptest.NewServer(b.Handler())
	more = append([]standin.Option{
		standin.WithNode(netip.MustParseAddrPort(api.Listener.Addr().String())), standin.WithEndpoint("counter", "a"),
	}, more...)
	s, err := standin.New(more...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.Close()
		api.Close()
		_ = b.Close()
	})
	waitUntil(t, "announcement", func() bool { return len(b.Endpoints()) == 1 })
	return b, s
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 3 s", what)
		}
	}
}

func wantFailure(t *testing.T, err error, code outcome.Code, kind outcome.Kind) {
	t.Helper()
	var f *outcome.Failure
	if !errors.As(err, &f) || f.Code != code || f.Kind != kind {
		t.Errorf("got %v, want %s (%s)", err, code, kind)
	}
}

// startDroppingServer starts a server that answers the first request on a connection and closes the connection after the
// second without an answer. It also returns the server's count of requests.
func startDroppingServer(t *testing.T) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for i := range 2 {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					n.Add(1)
					if i == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &n
}

// TestNoResend guards against a request that is sent twice when a reused connection breaks. net/http's Transport resends a
// request without body if it has an Idempotency-Key; the first part shows that the test provokes this.
func TestNoResend(t *testing.T) {
	address, n := startDroppingServer(t)
	plain := &http.Transport{}
	for range 2 {
		r, _ := http.NewRequest("POST", "http://"+address.String()+"/", nil)
		r.Header.Set("Idempotency-Key", "k")
		p, err := plain.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Body.Close()
	}
	if got := n.Load(); got != 3 {
		t.Fatalf("got %d requests from a plain transport, want 3: the fault was not provoked", got)
	}
	for _, method := range []string{"POST", "GET"} {
		address, n := startDroppingServer(t)
		b := New()
		if f := b.Announce(Announcement{Service: "counter", Endpoint: "a", Address: address, Slots: 1, Connections: 4}); f != nil {
			t.Fatal(f)
		}
		var err error
		for range 2 {
			r := call("/", "Idempotency-Key", "k")
			r.Method = method
			_, err = b.Do(context.Background(), testMeta("c"), r)
		}
		wantFailure(t, err, outcome.Reset, outcome.Unknown)
		if got := n.Load(); got != 2 {
			t.Errorf("%s: got %d requests, want 2", method, got)
		}
		_ = b.Close()
	}
}

// TestForwardFaults guards the outcome reported for each fault of a backend server, and that no call stays in flight.
func TestForwardFaults(t *testing.T) {
	tests := []struct {
		name, fault string
		code        outcome.Code
		kind        outcome.Kind
		broken      bool // the body breaks off
		status      int
	}{
		{"answer", "", "", "", false, 200},
		{"reset before the head", standin.FaultReset, outcome.Reset, outcome.Unknown, false, 0},
		{"reset after the head", standin.FaultHead, "", "", true, 200},
		{"reset in the body", standin.FaultTruncate, "", "", true, 200},
		{"stalled past the deadline", standin.FaultStall, outcome.DeadlineExceeded, outcome.Unknown, false, 0},
		{"shed", standin.FaultShed, "", "", false, 503},
		{"claims mesh headers", standin.FaultMesh, "", "", false, 200},
		{"trailer", standin.FaultTrailer, "", "", false, 200},
	}
	var sheds, admitted, released atomic.Int64
	b, _ := start(t, []Option{
		WithShed(func(_ string, after time.Duration) { sheds.Add(int64(after / time.Second)) }),
		WithAdmit(func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure) {
			admitted.Add(1)
			return func(Result) { released.Add(1) }, nil
		}),
	})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			p, err := b.Do(ctx, testMeta(tt.name), call("/x", standin.HeaderFault, tt.fault, standin.HeaderID, tt.name))
			if tt.code != "" {
				wantFailure(t, err, tt.code, tt.kind)
				return
			}
			if err != nil || p.StatusCode != tt.status {
				t.Fatalf("got %v, %v, want status %d", p, err, tt.status)
			}
			_, err = io.ReadAll(p.Body)
			if (err != nil) != tt.broken {
				t.Errorf("got error %v of the body, want broken %v", err, tt.broken)
			}
			if tt.fault == standin.FaultTrailer && p.Trailer.Get("X-Trailer") == "" {
				t.Error("the trailer is missing")
			}
			if p.Header.Get("Mesh-Outcome")+p.Header.Get("Mesh-Call")+p.Header.Get("X-Private") != "" {
				t.Errorf("got internal headers: %v", p.Header)
			}
			_ = p.Body.Close()
		})
	}
	if sheds.Load() != 1 || admitted.Load() != int64(len(tests)) || released.Load() != admitted.Load() {
		t.Errorf("got %d sheds, %d admitted, %d released, want 1 shed and every call admitted and released", sheds.Load(), admitted.Load(), released.Load())
	}
	if err := b.Wait(context.Background()); err != nil {
		t.Error(err)
	}
}

// TestCrash checks that a crash is reported once, with the fingerprints of all running requests, whether the process stays dead
// or restarts at once. A broken connection of a live process is not reported.
func TestCrash(t *testing.T) {
	for _, restart := range []time.Duration{0, time.Millisecond} {
		t.Run(fmt.Sprintf("restart after %v", restart), func(t *testing.T) {
			crashes := make(chan Crash, 10)
			b, s := start(t, []Option{WithCrashed(func(c Crash) { crashes <- c })}, standin.WithRestart(restart))
			_, err := b.Do(context.Background(), testMeta("lone"), call("/", standin.HeaderFault, standin.FaultReset))
			wantFailure(t, err, outcome.Reset, outcome.Unknown)
			time.Sleep(minClearAge + probeDelay)
			if err := s.Announce(context.Background()); err != nil || len(crashes) != 0 {
				t.Fatalf("got %v and %d crashes, want none", err, len(crashes))
			}
			var wg sync.WaitGroup
			for _, id := range []string{"a", "b", "c"} {
				wg.Go(func() {
					_, err := b.Do(context.Background(), testMeta(id), call("/", standin.HeaderFault, standin.FaultStall))
					wantFailure(t, err, outcome.Reset, outcome.Unknown)
				})
			}
			waitUntil(t, "running calls", func() bool { return s.Served() == 4 })
			_, err = b.Do(context.Background(), testMeta("poison"), call("/", standin.HeaderFault, standin.FaultCrash))
			wantFailure(t, err, outcome.Reset, outcome.Unknown)
			wg.Wait()
			if restart > 0 {
				waitUntil(t, "restart", func() bool { return s.Announce(context.Background()) == nil && len(crashes) > 0 })
			}
			got := map[hop.Fingerprint]bool{}
			select {
			case c := <-crashes:
				for _, p := range c.Fingerprints {
					got[p] = true
				}
			case <-time.After(time.Second):
				t.Fatal("no crash was reported")
			}
			for _, id := range []string{"a", "b", "c", "poison"} {
				if !got[testMeta(id).Fingerprint] {
					t.Errorf("the fingerprint of %s is missing", id)
				}
			}
			time.Sleep(3 * probeDelay)
			if len(got) != 4 || len(crashes) != 0 {
				t.Errorf("got %d fingerprints and %d more crashes, want 4 and 0", len(got), len(crashes))
			}
		})
	}
}

// TestLeave checks that a leaving endpoint gets no new calls, that its calls in flight complete, and that an endpoint that stops
// renewing is removed. It also checks that a call to a dead endpoint fails as notrun.
func TestLeave(t *testing.T) {
	reasons := make(chan string, 10)
	b, s := start(t, []Option{WithLeft(func(_, reason string) { reasons <- reason }), WithRenew(100 * time.Millisecond)})
	answered := make(chan error, 1)
	go func() {
		p, err := b.Do(context.Background(), testMeta("slow"), call("/", standin.HeaderDelay, "150ms"))
		if err == nil {
			_, err = io.ReadAll(p.Body)
		}
		answered <- err
	}()
	waitUntil(t, "running call", func() bool { return s.Served() == 1 })
	if err := s.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	_, err := b.Do(context.Background(), testMeta("c"), call("/"))
	wantFailure(t, err, outcome.Draining, outcome.NotRun)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if b.Wait(ctx) == nil {
		t.Error("Wait returned with a call in flight")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := b.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	if err := <-answered; err != nil {
		t.Errorf("call in flight: got %v, want a complete answer", err)
	}
	if err := s.Announce(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.Crash()
	time.Sleep(probeDelay)
	_, err = b.Do(context.Background(), testMeta("d"), call("/"))
	wantFailure(t, err, outcome.Unreachable, outcome.NotRun)
	for _, want := range []string{"announced", "not renewed"} {
		select {
		case got := <-reasons:
			if got != want {
				t.Errorf("got reason %q, want %q", got, want)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("endpoint did not leave within 2 s, want reason %q", want)
		}
	}
	b.Drain()
	if err := s.Announce(context.Background()); err == nil {
		t.Error("announcement at a draining node: got success, want a failure")
	}
}

// Checks that the announce API refuses invalid input without adding an endpoint.
func TestAnnounceInput(t *testing.T) {
	good := `{"service":"s","endpoint":"e","address":"127.0.0.1:80","slots":1,"connections":1,"load":0.5}`
	tests := []struct {
		name, from, to string
		status         int
	}{
		{"good", "", "", 200},
		{"unknown field", `"load"`, `"lod"`, 400},
		{"trailing document", "}", "}{}", 400},
		{"address that is not loopback", "127.0.0.1", "10.0.0.1", 400},
		{"no port", ":80", ":0", 400},
		{"slots", `"slots":1`, `"slots":0`, 400},
		{"connections", `"connections":1`, `"connections":-1`, 400},
		{"load", "0.5", "-1", 400},
		{"name", `"e"`, `"e/f"`, 400},
		{"oversize", `"e"`, `"` + strings.Repeat("e", 5000) + `"`, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New()
			defer func() { _ = b.Close() }()
			w := httptest.NewRecorder()
			r := httptest.NewRequest("POST", "/announce", strings.NewReader(strings.Replace(good, tt.from, tt.to, 1)))
			r.RemoteAddr = "127.0.0.1:5"
			b.Handler().ServeHTTP(w, r)
			if w.Code != tt.status || len(b.Endpoints()) != map[int]int{200: 1}[tt.status] {
				t.Errorf("got %d with %d endpoints: %s", w.Code, len(b.Endpoints()), w.Body)
			}
		})
	}
}

// A request is quarantined while it waits for admission. Guards against running it, and against a slot that stays taken after
// its refusal.
func TestQuarantineCheckFollowsAdmission(t *testing.T) {
	quarantined, slots := false, 0
	b, s := start(t, []Option{
		WithAdmit(func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure) {
			quarantined = true // the request is quarantined while the call waits
			slots++
			return func(Result) { slots-- }, nil
		}),
		WithQuarantineCheck(func(_ context.Context, _ string, m hop.Meta) (func(Result), *outcome.Failure) {
			if quarantined {
				return nil, &outcome.Failure{Code: outcome.Quarantined, Kind: outcome.NotRun, Call: m.Call}
			}
			return func(Result) {}, nil
		}),
	})
	_, err := b.Do(t.Context(), testMeta("a"), call("/passes"))
	wantFailure(t, err, outcome.Quarantined, outcome.NotRun)
	if s.Served() != 0 || slots != 0 {
		t.Errorf("got %d runs and %d slots in use, want none", s.Served(), slots)
	}
}

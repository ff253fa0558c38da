package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
	"godwitspindle/io/standin"
)

// TestFaults guards over real connections that each fault of a backend server ends in a complete answer, an aborted connection
// or a typed failure, and the request runs no more often than the class of its route allows.
func TestFaults(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		fault      string
		body       string
		outcome    outcome.Kind
		status     int
		broken     bool
		runs       uint64
	}{
		{"answer", true, "", "hello", "", 200, false, 1},
		{"streamed body", false, "", strings.Repeat("x", 300<<10), "", 200, false, 1},
		{"trailer", true, standin.FaultTrailer, "", "", 200, false, 1},
		{"forged mesh headers", true, standin.FaultMesh, "", "", 200, false, 1},
		{"reset before the head", true, standin.FaultReset, "hello", "unknown", 502, false, 2},
		{"reset before the head, once", false, standin.FaultReset, "hello", "unknown", 502, false, 1},
		{"reset, streamed body", true, standin.FaultReset, strings.Repeat("x", 300<<10), "unknown", 502, false, 1},
		{"reset after the head", true, standin.FaultHead, "", "", 200, true, 1},
		{"reset in the body", true, standin.FaultTruncate, "", "", 200, true, 1},
		{"stalled", true, standin.FaultStall, "", "unknown", 504, false, 1},
		{"shed", true, standin.FaultShed, "", "unknown", 503, false, 0},
		{"shed, once", false, standin.FaultShed, "", "", 503, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, 2, testRoute(tt.idempotent))
			got := m.do("POST", "/x?q=1", tt.body, standin.HeaderFault, tt.fault, standin.HeaderID, tt.name, "Mesh-Endpoint", "forged", "Mesh-Context", "forged")
			if tt.broken {
				if got.err == nil {
					t.Fatalf("got a complete answer %+v, want a broken stream", got)
				}
				return
			}
			if got.err != nil || got.status != tt.status || got.header.Get("Mesh-Outcome") != string(tt.outcome) {
				t.Fatalf("got %+v, want status %d, outcome %q", got, tt.status, tt.outcome)
			}
			if m.served() != tt.runs {
				t.Errorf("got %d runs, want %d", m.served(), tt.runs)
			}
			if tt.status != 200 {
				return
			}
			if got.header.Get(standin.HeaderID) != tt.name || got.header.Get(standin.HeaderSum) != standin.Sum([]byte(tt.body)) || got.body != "e0 POST /x?q=1\n" {
				t.Errorf("got another request's answer: %+v", got)
			}
			if got.header.Get("Mesh-Call")+got.header.Get("X-Private") != "" {
				t.Errorf("got internal headers %v", got.header)
			}
			if want := standin.Sum([]byte(got.body)); tt.fault == standin.FaultTrailer && got.tail.Get("X-Trailer") != want {
				t.Errorf("got trailer %v, want %s", got.tail, want)
			}
		})
	}
}

// TestBrokenStream guards against a truncated answer of unknown length that looks complete. net/http itself aborts an answer
// that is shorter than its stated length; without a length, only the handler's abort does.
func TestBrokenStream(t *testing.T) {
	m := newMesh(t, 1, testRoute(true), WithSend(func(context.Context, config.Endpoint, hop.Meta, *http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}, nil
	}))
	if got := m.do("GET", "/x", ""); got.err == nil {
		t.Errorf("got a complete answer %+v, want a broken stream", got)
	}
}

// TestRefusals checks that invalid or forbidden requests are refused as notrun before any attempt.
func TestRefusals(t *testing.T) {
	deep := Context{Depth: outcome.MaxDepth, Deadline: time.Now().Add(time.Minute)}.String()
	past := Context{Depth: 1, Deadline: time.Now().Add(-time.Second)}.String()
	tests := []struct {
		name, path, key, value string
		local                  bool
		status                 int
		code                   outcome.Code
	}{
		{"no route", "/none", "", "", false, 404, outcome.NoRoute},
		{"internal service", "/internal", "", "", false, 403, outcome.Internal},
		{"internal service, local", "/internal", "", "", true, 200, ""},
		{"dot segments", "/a/%2e%2e/internal", "", "", false, 400, outcome.NoRoute},
		{"upgrade", "/", "Upgrade", "websocket", false, 501, outcome.Refused},
		{"depth", "/", HeaderContext, deep, true, 508, outcome.Depth},
		{"depth from outside", "/", HeaderContext, deep, false, 200, ""},
		{"deadline", "/", HeaderContext, past, true, 504, outcome.DeadlineExceeded},
		{"malformed context", "/", HeaderContext, "1.x.2.3", true, 400, outcome.Depth},
		{"long key", "/", "Idempotency-Key", strings.Repeat("k", 300), false, 400, outcome.Oversize},
		{"large body", "/", "X-Body", "large", false, 413, outcome.Oversize},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, 1, testRoute(false), WithLocalCalls(tt.local), WithMaxBody(100<<10))
			body := ""
			if tt.key == "X-Body" {
				body = strings.Repeat("x", 101<<10)
			}
			got := m.do("POST", tt.path, body, tt.key+"X"[min(len(tt.key), 1):], tt.value)
			if got.status != tt.status || got.header.Get("Mesh-Code") != string(tt.code) {
				t.Fatalf("got %+v, want %d %s", got, tt.status, tt.code)
			}
			if tt.code != "" && (m.sent.Load() != 0 || got.header.Get("Mesh-Outcome") != "notrun" || got.header.Get("Content-Type") != "application/problem+json") {
				t.Errorf("got %d attempts and %+v, want no attempt and a notrun problem document", m.sent.Load(), got)
			}
		})
	}
}

// TestRepick checks that after a notrun refusal another endpoint is tried, even for a request that may run only once, and that
// the reported outcome is notrun only if no attempt may have run.
func TestRepick(t *testing.T) {
	m := newMesh(t, 2, testRoute(false))
	m.backends[0].Drain()
	if got := m.do("POST", "/", "x"); got.status != 200 || m.servers[1].Served() != 1 {
		t.Errorf("got %+v, want status 200 from the second endpoint", got)
	}
	m.backends[1].Drain()
	if got := m.do("POST", "/", "x"); got.header.Get("Mesh-Outcome") != "notrun" || got.header.Get("Mesh-Code") != "draining" {
		t.Errorf("got %+v, want draining (notrun)", got)
	}
	m = newMesh(t, 2, testRoute(true))
	m.backends[1].Drain()
	if got := m.do("POST", "/", "x", standin.HeaderFault, standin.FaultReset); got.header.Get("Mesh-Outcome") != "unknown" {
		t.Errorf("got %+v, want unknown: the first attempt may have run", got)
	}
}

// TestOnce checks that resends of a keyed request never cause a second run, and that the reported outcome is true.
func TestOnce(t *testing.T) {
	key := func(k string, more ...string) []string { return append([]string{"Idempotency-Key", k}, more...) }
	m := newMesh(t, 2, testRoute(false))
	var wg sync.WaitGroup
	answers := make([]reply, 8)
	for i := range answers {
		wg.Go(func() { answers[i] = m.do("POST", "/buy", "body", key("k", standin.HeaderDelay, "60ms")...) })
	}
	wg.Wait()
	replays := 0
	for _, a := range answers {
		if a.status != 200 || a.body != answers[0].body || a.header.Get(standin.HeaderRuns) != "1" {
			t.Errorf("got %+v, want the same answer from one run", a)
		}
		replays += len(a.header["Mesh-Replay"])
	}
	if m.servers[0].Runs("k") != 1 || replays != len(answers)-1 {
		t.Errorf("got %d runs and %d replays, want 1 and %d", m.servers[0].Runs("k"), replays, len(answers)-1)
	}
	tests := []struct {
		name    string
		key     string
		body    string
		header  []string
		setup   func()
		outcome outcome.Kind
		code    outcome.Code
		runs    int
	}{
		{"other content", "k", "other", nil, nil, outcome.NotRun, outcome.Mismatch, 1},
		{"broken run", "b", "x", []string{standin.HeaderFault, standin.FaultReset}, nil, outcome.Unknown, outcome.Reset, 1},
		{"resend of a broken run", "b", "x", nil, nil, outcome.Unknown, outcome.Claimed, 1},
		{"truncated answer", "t", "x", []string{standin.HeaderFault, standin.FaultTruncate}, nil, outcome.Lost, outcome.Truncated, 1},
		{"resend after a lost answer", "t", "x", nil, nil, outcome.Lost, outcome.Claimed, 1},
		{"answer too large to keep", "l", "x", []string{standin.HeaderSize, "100000"}, nil, "", "", 1},
		{"resend after a large answer", "l", "x", nil, nil, outcome.Lost, outcome.Claimed, 1},
		{"no majority", "n", "x", nil, func() { m.claims.unavailable = true }, outcome.Unknown, outcome.ClaimFailed, 0},
		{"table full", "n", "x", nil, func() { m.claims.unavailable, m.claims.full = false, true }, outcome.Unknown, outcome.ClaimFailed, 0},
		{"shed", "s", "x", []string{standin.HeaderFault, standin.FaultShed}, func() { m.claims.full = false }, "", "", 0},
		{"resend after it was shed", "s", "x", nil, nil, outcome.Unknown, outcome.Claimed, 0},
		{"all draining", "d", "x", nil, func() {
			m.backends[0].Drain()
			m.backends[1].Drain()
		}, outcome.NotRun, outcome.Draining, 0},
		{"release fails", "f", "x", nil, func() { m.claims.noRelease = true }, outcome.Unknown, outcome.Draining, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.setup != nil {
				m.claims.mu.Lock()
				tt.setup()
				m.claims.mu.Unlock()
			}
			got := m.do("POST", "/buy", tt.body, key(tt.key, tt.header...)...)
			if got.err != nil || got.header.Get("Mesh-Outcome") != string(tt.outcome) || got.header.Get("Mesh-Code") != string(tt.code) {
				t.Errorf("got %d %v %v, want %s (%s)", got.status, got.header, got.err, tt.code, tt.outcome)
			}
			if n := m.servers[0].Runs(tt.key) + m.servers[1].Runs(tt.key); n != tt.runs {
				t.Errorf("got %d runs, want %d", n, tt.runs)
			}
			time.Sleep(5 * time.Millisecond) // the outcome is stored in the background
		})
	}
	if err := m.handler.Close(); err != nil {
		t.Error(err)
	}
	if _, claimed := m.claims.owner["d"]; claimed {
		t.Error("notrun was reported although the claim is still held")
	}
}

// Checks that a keyed request whose caller has disconnected still runs to its end, and that its answer is kept for a resend.
func TestCallerGone(t *testing.T) {
	route := testRoute(false)
	route.Deadline = 3 * time.Second
	m := newMesh(t, 1, route)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	go func() {
		for m.served() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		disconnect()
	}()
	r, _ := http.NewRequestWithContext(ctx, "POST", m.url+"/buy", nil)
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set(standin.HeaderDelay, "300ms")
	if _, err := http.DefaultTransport.RoundTrip(r); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want the end of the caller while the request runs", err)
	}
	if got := m.do("POST", "/buy", "", "Idempotency-Key", "k"); got.status != 200 || got.header.Get("Mesh-Replay") != "1" || m.served() != 1 {
		t.Errorf("got %+v after %d runs, want a replay of the stored answer after 1 run", got, m.served())
	}
}

// Checks that a caller that reads slowly gets its complete answer and does not block other calls on the same connection between
// nodes.
func TestSlowReader(t *testing.T) {
	m := newMesh(t, 1, config.Route{Name: "r", Service: "counter", Idempotent: true, Deadline: 5 * time.Second})
	r, _ := http.NewRequest("GET", m.url+"/big", nil)
	r.Header.Set(standin.HeaderSize, fmt.Sprint(16<<20))
	p, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		begin := time.Now()
		if got := m.do("GET", "/", ""); got.status != 200 || time.Since(begin) > time.Second {
			t.Fatalf("got %+v after %v while another caller reads slowly, want status 200 within 1 s", got, time.Since(begin))
		}
	}
	n, err := io.Copy(io.Discard, p.Body)
	if n != 16<<20 || err != nil {
		t.Errorf("slow reader: got %d bytes, %v, want the complete answer of 16 MiB", n, err)
	}
}

// Checks that a Mesh-Context value parses back to the same context, and that a malformed parent is refused.
func TestContextValue(t *testing.T) {
	for _, parent := range []string{"", "a.1-x.2", "\x00 \"é"} {
		want := Context{Depth: 3, Deadline: time.UnixMilli(1700000000123), Budget: 2, Parent: parent}
		if got, err := ParseContext(want.String()); err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
	for _, value := range []string{"1.3.1700000000123.2.!", "1.3.1700000000123.2.YQ.YQ"} {
		if got, err := ParseContext(value); err == nil {
			t.Errorf("%s: got %+v, want an error", value, got)
		}
	}
}

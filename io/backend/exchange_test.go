package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// endless is a body that never ends; with stall it never gives a byte until it is closed.
type endless struct {
	stall  bool
	closed chan struct{}
}

func (e *endless) Read(b []byte) (int, error) {
	if !e.stall {
		return len(b), nil
	}
	<-e.closed
	return 0, io.ErrClosedPipe
}

func (e *endless) Close() error {
	select {
	case <-e.closed:
	default:
		close(e.closed)
	}
	return nil
}

// serveEdges answers as a backend server that does not follow the usual order.
func serveEdges(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/early":
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	case "/interim":
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "/interim")
	case "/head":
		w.Header().Set("X-Long", strings.Repeat("x", 2*maxHeaderBytes))
	case "/surplus", "/late":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		own, other := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers"
		if r.URL.Path == "/late" {
			_, _ = io.WriteString(c, own)
			time.Sleep(20 * time.Millisecond)
			own = ""
		}
		_, _ = io.WriteString(c, own+other)
		_, _ = io.Copy(io.Discard, c) // until the node closes the connection
		_ = c.Close()
	case "/endless":
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 32<<10))
		}
	default:
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	}
}

// TestExchange guards the edges of an exchange: an answer before the body is read, an interim answer, a head without end, an
// answer that is given up, a stalled upload, and an answer that nobody asked for, together with one or after it (R4). A later call on the only connection must get its own whole answer, also after
// the backend server closed the idle connection, which must not make the outcome unknown.
func TestExchange(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(serveEdges))
	s.Config.IdleTimeout = 20 * time.Millisecond
	s.Start()
	defer s.Close()
	b := New()
	defer func() { _ = b.Close() }()
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	if f := b.Announce(Announcement{Service: "counter", Endpoint: "a", Address: address, Slots: 4, Connections: 1}); f != nil {
		t.Fatal(f)
	}
	tests := []struct {
		name, path string
		body       io.ReadCloser
		status     int
		code       outcome.Code
		kind       outcome.Kind
		answer     string
		giveUp     bool
		idle       time.Duration // before the call that follows
	}{
		{name: "plain", path: "/a", body: io.NopCloser(strings.NewReader("-body")), status: 200, answer: "/a-body"},
		{name: "closed while idle", path: "/a", status: 200, answer: "/a", idle: 60 * time.Millisecond},
		{name: "answer before the body", path: "/early", body: &endless{closed: make(chan struct{})}, status: 413, answer: "too large\n"},
		{name: "interim answer", path: "/interim", status: 200, answer: "/interim"},
		{name: "head without end", path: "/head", code: outcome.Reset, kind: outcome.Unknown},
		{name: "answer given up", path: "/endless", status: 200, giveUp: true},
		{name: "surplus answer", path: "/surplus", status: 200, answer: "mine"},
		{name: "surplus answer later", path: "/late", status: 200, answer: "mine", idle: 60 * time.Millisecond},
		{name: "stalled upload", path: "/a", body: &endless{stall: true, closed: make(chan struct{})}, code: outcome.Late, kind: outcome.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			r := call(tt.path)
			if tt.body != nil {
				r.Body, r.ContentLength = tt.body, -1
			}
			p, err := b.Do(ctx, testMeta(tt.name), r)
			switch {
			case tt.code != "":
				wantFailure(t, err, tt.code, tt.kind)
			case err != nil || p.StatusCode != tt.status:
				t.Fatalf("got %v, %v, want status %d", p, err, tt.status)
			case !tt.giveUp:
				if got, err := io.ReadAll(p.Body); string(got) != tt.answer || err != nil {
					t.Errorf("got %q, %v, want %q", got, err, tt.answer)
				}
			}
			if err == nil {
				_ = p.Body.Close()
			}
			time.Sleep(tt.idle)
			next, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			p, err = b.Do(next, testMeta("next"), call("/next"))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(p.Body); string(got) != "/next" || err != nil {
				t.Errorf("call that follows: got %q, %v, want /next", got, err)
			}
		})
	}
}

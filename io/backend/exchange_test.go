package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// endless is a body that never ends; with stall, Read blocks until the body is closed.
type endless struct {
	stall  bool
	closed chan struct{}
	once   sync.Once // net/http and the exchange may close a body at the same time
}

func (e *endless) Read(b []byte) (int, error) {
	if !e.stall {
		return len(b), nil
	}
	<-e.closed
	return 0, io.ErrClosedPipe
}

func (e *endless) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// serveUnusual answers in unusual or invalid ways, by path.
func serveUnusual(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/early":
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	case "/interim":
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "/interim")
	case "/head":
		w.Header().Set("X-Long", strings.Repeat("x", 2*maxHeaderBytes))
	case "/interims", "/fields", "/line":
		// Sends without end until the node closes the connection.
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		begin, more := "", "HTTP/1.1 102 Processing\r\n\r\n"
		switch r.URL.Path {
		case "/fields":
			begin, more = "HTTP/1.1 200 OK\r\n", "X: y\r\n"
		case "/line":
			begin, more = "HTTP/1.1 2", "0"
		}
		_, err = io.WriteString(c, begin)
		for more = strings.Repeat(more, 500); err == nil; {
			_, err = io.WriteString(c, more)
		}
		_ = c.Close()
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

// TestExchange guards the answers of unusual exchanges: an answer before the body is read, an interim answer, response headers
// without end in several forms, an answer that is closed early, a stalled upload, and a surplus answer with or after the due
// one. The next call must get its own complete answer, with only one connection allowed, and also after the backend server has
// closed that connection while idle, which must not make the outcome unknown.
func TestExchange(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(serveUnusual))
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
		closeEarly bool
		idle       time.Duration // wait before the next call
	}{
		{name: "plain", path: "/a", body: io.NopCloser(strings.NewReader("-body")), status: 200, answer: "/a-body"},
		{name: "closed while idle", path: "/a", status: 200, answer: "/a", idle: 60 * time.Millisecond},
		{name: "answer before the body", path: "/early", body: &endless{closed: make(chan struct{})}, status: 413, answer: "too large\n"},
		{name: "interim answer", path: "/interim", status: 200, answer: "/interim"},
		{name: "head without end", path: "/head", code: outcome.Reset, kind: outcome.Unknown},
		{name: "interim answers without end", path: "/interims", code: outcome.Reset, kind: outcome.Unknown},
		{name: "fields without end", path: "/fields", code: outcome.Reset, kind: outcome.Unknown},
		{name: "a line without end", path: "/line", code: outcome.Reset, kind: outcome.Unknown},
		{name: "answer closed early", path: "/endless", status: 200, closeEarly: true},
		{name: "surplus answer", path: "/surplus", status: 200, answer: "mine"},
		{name: "surplus answer later", path: "/late", status: 200, answer: "mine", idle: 60 * time.Millisecond},
		{name: "stalled upload", path: "/a", body: &endless{stall: true, closed: make(chan struct{})}, code: outcome.DeadlineExceeded, kind: outcome.Unknown},
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
			case !tt.closeEarly:
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
				t.Errorf("next call: got %q, %v, want /next", got, err)
			}
		})
	}
}

// Guards against an answer without end that uses unbounded memory, outlives the deadline of its call, keeps its connection, or
// looks complete.
func TestEndlessBody(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(serveUnusual))
	defer s.Close()
	b := New(WithBufferedAnswers(64 << 10))
	defer func() { _ = b.Close() }()
	if f := b.Announce(Announcement{Service: "counter", Endpoint: "a", Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Slots: 1, Connections: 1}); f != nil {
		t.Fatal(f)
	}
	const deadline, slack = 200 * time.Millisecond, 2 * time.Second
	const maxHeapBytes = 8 << 20 // bytes; the backend server sends hundreds of megabytes before the deadline
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	began := time.Now()
	p, err := b.Do(ctx, testMeta("endless"), call("/endless"))
	if err != nil {
		t.Fatal(err)
	}
	passed := int64(0)
	peakHeap := uint64(0)
	buffer := make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = p.Body.Read(buffer)
		if passed += int64(n); passed%(8<<20) < int64(len(buffer)) {
			var m runtime.MemStats
			runtime.GC() // frees the buffers of the server in this process, which count as garbage
			runtime.ReadMemStats(&m)
			peakHeap = max(peakHeap, m.HeapAlloc)
		}
	}
	if err == io.EOF {
		t.Error("got a complete answer, want one that breaks off")
	}
	if got := time.Since(began); got > deadline+slack {
		t.Errorf("ended after %s, want at most %s after the deadline of %s", got, slack, deadline)
	}
	if passed == 0 || peakHeap > maxHeapBytes {
		t.Errorf("got %d bytes passed on with a heap of %d, want more than 0 with a heap of at most %d", passed, peakHeap, maxHeapBytes)
	}
	next, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	p, err = b.Do(next, testMeta("next"), call("/next"))
	if err != nil {
		t.Fatalf("next call: got %v, want an answer", err)
	}
	if got, err := io.ReadAll(p.Body); string(got) != "/next" || err != nil {
		t.Errorf("next call: got %q, %v, want /next", got, err)
	}
}

package process

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a process that ends by a concurrent use of a header map: a handler that runs before its turn sets trailers while the
// turn begins. Without the race detector the fault shows only at times.
func TestTrailersWhileTurnBegins(t *testing.T) {
	l := &countingListener{}
	p := &pipeline{conn: &countedConn{listener: l}}
	e := newEarlyRequest(httptest.NewRequest(http.MethodGet, "/", nil), 0, p)
	begun := make(chan struct{})
	go e.run(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Head", "1")
		w.WriteHeader(http.StatusOK)
		close(begun)
		for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
			w.Header().Set(http.TrailerPrefix+"X-Sum", "1")
		}
	}))
	<-begun
	r := httptest.NewRecorder()
	e.serve(r)
	got := r.Result()
	if head, trailer := got.Header.Get("X-Head"), got.Trailer.Get("X-Sum"); head != "1" || trailer != "1" {
		t.Errorf("got header %q and trailer %q, want 1 and 1", head, trailer)
	}
}

// Guards against a request that gets the answer of the one behind it: the client fills the buffer of withheld requests, so that the
// next one begins to be passed on before the handler of the first has begun.
func TestTurnsWhileBufferFills(t *testing.T) {
	inner, far := net.Pipe()
	defer func() { _ = inner.Close() }()
	var early []*earlyRequest
	c := &countedConn{Conn: inner, listener: &countingListener{}, active: true}
	l := newPipeline(t.Context(), c, func(e *earlyRequest) { early = append(early, e) }, func(*http.Request) bool { return true })
	long := "/" + strings.Repeat("l", 9000)
	go func() {
		_, _ = io.WriteString(far, getRequests("/a", "/b", long, long, long, long))
		_ = far.Close()
	}()
	head, next := make([]byte, 4096), make([]byte, 1)
	if n, err := l.Read(head); err != nil || string(head[:n]) != getRequests("/a") {
		t.Fatalf("got %q and %v, want the first request", head[:n], err)
	}
	if n, err := l.Read(next); err != nil || n != 1 {
		t.Fatalf("got %d bytes and %v, want the first byte of the next request", n, err)
	}
	if got := l.takeTurn(); got != nil {
		t.Errorf("first request: got the turn of %s, want its own", got.request.URL)
	}
	if got := l.takeTurn(); got == nil || got != early[0] || got.request.URL.Path != "/b" {
		t.Errorf("second request: got %v, want the turn of /b", got)
	}
}

// Guards against OPTIONS * that net/http answers without a handler, so that the request behind it takes its turn.
func TestOptionsInPipeline(t *testing.T) {
	h := newGatedHandler("/a")
	_, conn := connect(t, h)
	_, _ = io.WriteString(conn, getRequests("/a")+"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"+getRequests("/b", "/c"))
	h.waitStarted(t, "/a")
	time.Sleep(10 * time.Millisecond)
	h.open("/a")
	if got, want := readAnswers(conn, 4), "/a  /b /c"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// Guards against a connection that is closed without the answer of a request which waited for its turn until after its deadline, although
// the answer was ready long before.
func TestReadyAnswerAfterItsDeadline(t *testing.T) {
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(200 * time.Millisecond)
		} else {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), WithPipelining(func(*http.Request) bool { return true }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	conn, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, getRequests("/slow", "/ready", "/after"))
	in := bufio.NewReader(conn)
	for _, want := range []string{"/slow", "/ready", "/after"} {
		p, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: got %v, want its answer", want, err)
		}
		if body, err := io.ReadAll(p.Body); err != nil || string(body) != want {
			t.Errorf("got %q and %v, want %q", body, err, want)
		}
	}
}

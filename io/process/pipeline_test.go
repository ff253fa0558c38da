package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedHandler is a handler whose requests end when the test opens their gates. It records what happens, by path.
type gatedHandler struct {
	mu       sync.Mutex
	started  map[string]int
	canceled map[string]bool // the client disconnected while the request was running
	gates    map[string]chan struct{}
	closes   bool // answers carry Connection: close
}

func newGatedHandler(waiting ...string) *gatedHandler {
	h := &gatedHandler{started: map[string]int{}, canceled: map[string]bool{}, gates: map[string]chan struct{}{}}
	for _, w := range waiting {
		h.gates[w] = make(chan struct{})
	}
	return h
}

func (h *gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.started[r.URL.Path]++
	gate, closes := h.gates[r.URL.Path], h.closes
	h.mu.Unlock()
	if closes {
		w.Header().Set("Connection", "close")
	}
	if gate != nil {
		select {
		case <-gate:
		case <-r.Context().Done():
			h.mu.Lock()
			h.canceled[r.URL.Path] = true
			h.mu.Unlock()
			return
		}
	}
	if strings.HasPrefix(r.URL.Path, "/broken") {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s%s", r.URL.Path, body)
}

func (h *gatedHandler) open(path string) { close(h.gates[path]) }

// waitFor waits for a condition on what the handler recorded.
func (h *gatedHandler) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		h.mu.Lock()
		done := ok()
		h.mu.Unlock()
		if done {
			return
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("not within 5s: %s (started %v, canceled %v)", what, h.started, h.canceled)
		}
	}
}

func (h *gatedHandler) waitStarted(t *testing.T, paths ...string) {
	t.Helper()
	for _, p := range paths {
		h.waitFor(t, p+" is running", func() bool { return h.started[p] == 1 })
	}
}

// connect opens a connection to a server with the handler. Paths that begin with /once must wait for their turn.
func connect(t *testing.T, h *gatedHandler) (*Server, net.Conn) {
	t.Helper()
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), h, WithPipelining(func(r *http.Request) bool {
		return !strings.HasPrefix(r.URL.Path, "/once")
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

func getRequests(paths ...string) string {
	text := ""
	for _, p := range paths {
		text += "GET " + p + " HTTP/1.1\r\nHost: x\r\n\r\n"
	}
	return text
}

// readAnswers reads up to count answers. "end" stands for the end of the connection.
func readAnswers(c net.Conn, count int) string {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(c)
	var got []string
	for range count {
		p, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.Join(append(got, "end"), " ")
		}
		body, err := io.ReadAll(p.Body)
		text := string(body)
		if err != nil {
			text += "!"
		}
		if p.Close {
			text += "(close)"
		}
		got = append(got, text)
	}
	return strings.Join(got, " ")
}

// Guards against answers out of order, against requests behind a slow one that start late although they may be repeated, against
// early starts of requests that may run only once, and against answers after one that closes the connection.
func TestPipeline(t *testing.T) {
	const post = "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	long := "/" + strings.Repeat("l", 9000)
	tests := []struct {
		name    string
		waiting []string // paths that block until they are opened, in this order
		parts   []string // what the client sends, in pieces
		early   []string // paths that start before any answer
		late    []string // paths that do not start before their turn
		count   int
		want    string
	}{
		{"order", []string{"/b", "/a"}, []string{getRequests("/a", "/b", "/c")}, []string{"/a", "/b", "/c"}, nil, 3, "/a /b /c"},
		{"sent while one is running", []string{"/a"}, []string{getRequests("/a"), getRequests("/b", "/c")}, []string{"/a", "/b", "/c"}, nil, 3, "/a /b /c"},
		{"cut into pieces", []string{"/a"}, []string{getRequests("/a")[:9], getRequests("/a")[9:] + getRequests("/b")[:7], getRequests("/b")[7:]}, []string{"/a", "/b"}, nil, 2, "/a /b"},
		{"only once, behind others", []string{"/a"}, []string{getRequests("/a", "/b", "/once", "/c")}, []string{"/a", "/b"}, []string{"/once", "/c"}, 4, "/a /b /once /c"},
		{"with a body, behind others", []string{"/a"}, []string{getRequests("/a", "/b") + post + getRequests("/c")}, []string{"/a", "/b"}, []string{"/post", "/c"}, 4, "/a /b /postbody /c"},
		{"with a body that looks like a request", []string{"/a"}, []string{getRequests("/a") + "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n" + getRequests("/bad")}, []string{"/a"}, []string{"/bad", "/post"}, 2, "/a /post" + getRequests("/bad")},
		{"error in the first answer", []string{"/broken"}, []string{getRequests("/broken", "/b")}, []string{"/broken", "/b"}, nil, 2, "part! end"},
		{"error in the second answer", []string{"/a"}, []string{getRequests("/a", "/broken", "/c")}, []string{"/a", "/broken", "/c"}, nil, 3, "/a part! end"},
		{"client closes", []string{"/a"}, []string{getRequests("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + getRequests("/c")}, []string{"/a"}, []string{"/b", "/c"}, 3, "/a /b(close) end"},
		{"two hosts", []string{"/a"}, []string{getRequests("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"}, []string{"/a"}, []string{"/b"}, 2, "/a 400 Bad Request(close)"},
		{"many", []string{"/0"}, []string{getRequests("/0", "/1", "/2", "/3", "/4", "/5", "/6", "/7", "/8", "/9", "/10", "/11")}, []string{"/0", "/8"}, []string{"/9"}, 12, "/0 /1 /2 /3 /4 /5 /6 /7 /8 /9 /10 /11"},
		{"long heads", []string{long}, []string{getRequests(long)[:5000], getRequests(long)[5000:] + getRequests("/b", long+"2", "/c")}, []string{long, "/b", "/c"}, nil, 4, long + " /b " + long + "2 /c"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := newGatedHandler(c.waiting...)
			_, conn := connect(t, h)
			for _, p := range c.parts {
				if _, err := io.WriteString(conn, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond) // so that each piece is read separately
			}
			h.waitStarted(t, c.early...)
			h.mu.Lock()
			for _, p := range c.late {
				if h.started[p] != 0 {
					t.Errorf("%s: started before its turn", p)
				}
			}
			h.mu.Unlock()
			for _, p := range c.waiting {
				h.open(p)
			}
			if got := readAnswers(conn, c.count); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against requests that keep running after their client disconnected while requests waited behind others.
func TestClientLeavesPipeline(t *testing.T) {
	h := newGatedHandler("/a", "/b")
	s, conn := connect(t, h)
	if _, err := io.WriteString(conn, getRequests("/a", "/b", "/once")); err != nil {
		t.Fatal(err)
	}
	h.waitStarted(t, "/a", "/b")
	_ = conn.Close()
	h.waitFor(t, "both requests are canceled", func() bool { return h.canceled["/a"] && h.canceled["/b"] })
	for began := time.Now(); s.Open() > 0 && time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
	}
	if got := s.listener.early.Load(); got != 0 || s.Open() != 0 {
		t.Errorf("got %d requests and %d connections left, want none", got, s.Open())
	}
	if h.started["/once"] != 0 {
		t.Error("/once: started, want it dropped with its connection")
	}
}

// Guards against a planned stop that cuts requests which started before their turn, against one that starts more of them, and against
// requests that were read behind an answer with Connection: close and get no answer.
func TestStopWithFullPipeline(t *testing.T) {
	tests := []struct {
		name   string
		closes bool // answers already carry Connection: close when the stop begins
	}{
		{"at once", false},
		{"after answers with Connection: close", true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			h := newGatedHandler("/a", "/b", "/c")
			h.closes = c.closes
			s, conn := connect(t, h)
			if _, err := io.WriteString(conn, getRequests("/a", "/b", "/c")); err != nil {
				t.Fatal(err)
			}
			h.waitStarted(t, "/a", "/b", "/c")
			stopped := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				stopped <- s.Shutdown(ctx, time.Time{})
			}()
			for !s.listener.stopping.Load() {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(conn, getRequests("/late")); err != nil {
				t.Fatal(err)
			}
			h.waitFor(t, "/late is read", func() bool { return withheld(s) == len(getRequests("/a", "/b", "/c", "/late"))-len(getRequests("/a")) })
			for _, p := range []string{"/c", "/b", "/a"} {
				time.Sleep(5 * time.Millisecond)
				h.open(p)
			}
			if got, want := readAnswers(conn, 5), "/a /b /c /late(close) end"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if err := <-stopped; err != nil {
				t.Errorf("got %v, want a stop without cut requests", err)
			}
		})
	}
}

// withheld returns how many bytes of requests wait for their turn on all connections.
func withheld(s *Server) int {
	sum := 0
	s.listener.conns.Range(func(c, _ any) bool {
		l := c.(*countedConn).pipeline
		l.mu.Lock()
		defer l.mu.Unlock()
		sum += len(l.withheld)
		return true
	})
	return sum
}

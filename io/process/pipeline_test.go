package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// desk is a handler whose requests end when the test says so. What it saw is kept by path.
type desk struct {
	mu     sync.Mutex
	began  map[string]int
	left   map[string]bool // the client went away while the request was in work
	gates  map[string]chan struct{}
	leaves bool // answers ask the client to move away
}

func newDesk(waiting ...string) *desk {
	d := &desk{began: map[string]int{}, left: map[string]bool{}, gates: map[string]chan struct{}{}}
	for _, w := range waiting {
		d.gates[w] = make(chan struct{})
	}
	return d
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.began[r.URL.Path]++
	gate, leaves := d.gates[r.URL.Path], d.leaves
	d.mu.Unlock()
	if leaves {
		w.Header().Set("Connection", "close")
	}
	if gate != nil {
		select {
		case <-gate:
		case <-r.Context().Done():
			d.mu.Lock()
			d.left[r.URL.Path] = true
			d.mu.Unlock()
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

func (d *desk) open(path string) { close(d.gates[path]) }

// until waits for a condition on what the handler saw.
func (d *desk) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		done := ok()
		d.mu.Unlock()
		if done {
			return
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("not within 5s: %s (began %v, left %v)", what, d.began, d.left)
		}
	}
}

func (d *desk) inWork(t *testing.T, paths ...string) {
	t.Helper()
	for _, p := range paths {
		d.until(t, p+" is in work", func() bool { return d.began[p] == 1 })
	}
}

// line opens a connection to a server with the handler; paths that begin with /once must wait for their turn.
func line(t *testing.T, d *desk) (*Server, net.Conn) {
	t.Helper()
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), d, WithAhead(func(r *http.Request) bool {
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

func gets(paths ...string) string {
	text := ""
	for _, p := range paths {
		text += "GET " + p + " HTTP/1.1\r\nHost: x\r\n\r\n"
	}
	return text
}

// answers reads answers until the connection ends or as many have come as wanted; the end is shown as "end".
func answers(c net.Conn, count int) string {
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

// Guards against answers out of order, requests behind a slow one that are begun late, requests that wait although they may run
// only once and are begun early, and requests behind an answer that ends the connection.
func TestPipeline(t *testing.T) {
	const post = "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	long := "/" + strings.Repeat("l", 9000)
	tests := []struct {
		name    string
		waiting []string // paths that wait until they are opened, in this order
		parts   []string // what the client sends, in pieces
		early   []string // paths that are begun before any answer
		late    []string // paths that are not begun before their turn
		count   int
		want    string
	}{
		{"order", []string{"/b", "/a"}, []string{gets("/a", "/b", "/c")}, []string{"/a", "/b", "/c"}, nil, 3, "/a /b /c"},
		{"sent while one is in work", []string{"/a"}, []string{gets("/a"), gets("/b", "/c")}, []string{"/a", "/b", "/c"}, nil, 3, "/a /b /c"},
		{"cut into pieces", []string{"/a"}, []string{gets("/a")[:9], gets("/a")[9:] + gets("/b")[:7], gets("/b")[7:]}, []string{"/a", "/b"}, nil, 2, "/a /b"},
		{"only once, behind others", []string{"/a"}, []string{gets("/a", "/b", "/once", "/c")}, []string{"/a", "/b"}, []string{"/once", "/c"}, 4, "/a /b /once /c"},
		{"with a body, behind others", []string{"/a"}, []string{gets("/a", "/b") + post + gets("/c")}, []string{"/a", "/b"}, []string{"/post", "/c"}, 4, "/a /b /postbody /c"},
		{"with a body that looks like a request", []string{"/a"}, []string{gets("/a") + "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n" + gets("/bad")}, []string{"/a"}, []string{"/bad", "/post"}, 2, "/a /post" + gets("/bad")},
		{"error at the head", []string{"/broken"}, []string{gets("/broken", "/b")}, []string{"/broken", "/b"}, nil, 2, "part! end"},
		{"error behind the head", []string{"/a"}, []string{gets("/a", "/broken", "/c")}, []string{"/a", "/broken", "/c"}, nil, 3, "/a part! end"},
		{"the client wants the end", []string{"/a"}, []string{gets("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + gets("/c")}, []string{"/a"}, []string{"/b", "/c"}, 3, "/a /b(close) end"},
		{"two hosts", []string{"/a"}, []string{gets("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"}, []string{"/a"}, []string{"/b"}, 2, "/a 400 Bad Request(close)"},
		{"many", []string{"/0"}, []string{gets("/0", "/1", "/2", "/3", "/4", "/5", "/6", "/7", "/8", "/9", "/10", "/11")}, []string{"/0", "/8"}, []string{"/9"}, 12, "/0 /1 /2 /3 /4 /5 /6 /7 /8 /9 /10 /11"},
		{"long heads", []string{long}, []string{gets(long)[:5000], gets(long)[5000:] + gets("/b", long+"2", "/c")}, []string{long, "/b", "/c"}, nil, 4, long + " /b " + long + "2 /c"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(c.waiting...)
			_, conn := line(t, d)
			for _, p := range c.parts {
				if _, err := io.WriteString(conn, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond) // so that the pieces are read on their own
			}
			d.inWork(t, c.early...)
			d.mu.Lock()
			for _, p := range c.late {
				if d.began[p] != 0 {
					t.Errorf("%s: got begun before its turn", p)
				}
			}
			d.mu.Unlock()
			for _, p := range c.waiting {
				d.open(p)
			}
			if got := answers(conn, c.count); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against endpoints that go on working for a client that went away while requests waited behind others.
func TestClientLeavesPipeline(t *testing.T) {
	d := newDesk("/a", "/b")
	s, conn := line(t, d)
	if _, err := io.WriteString(conn, gets("/a", "/b", "/once")); err != nil {
		t.Fatal(err)
	}
	d.inWork(t, "/a", "/b")
	_ = conn.Close()
	d.until(t, "both requests are told", func() bool { return d.left["/a"] && d.left["/b"] })
	for began := time.Now(); s.Open() > 0 && time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
	}
	if got := s.listener.ahead.Load(); got != 0 || s.Open() != 0 {
		t.Errorf("got %d requests and %d connections left, want none", got, s.Open())
	}
	if d.began["/once"] != 0 {
		t.Error("/once: got begun, want it dropped with its connection")
	}
}

// Guards against a planned stop that cuts requests which were passed on before their turn, and against one that begins more.
func TestStopWithFullPipeline(t *testing.T) {
	tests := []struct {
		name   string
		leaves bool // answers already ask clients to move away when the stop comes
		want   []string
	}{
		// What comes after the stop began is either answered or not read.
		{"at once", false, []string{"/a /b /c(close) end", "/a /b /c end", "/a /b /c /late(close)", "/a /b /c /late"}},
		{"after clients were asked to move", true, []string{"/a /b /c(close) end"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk("/a", "/b", "/c")
			d.leaves = c.leaves
			s, conn := line(t, d)
			if _, err := io.WriteString(conn, gets("/a", "/b", "/c")); err != nil {
				t.Fatal(err)
			}
			d.inWork(t, "/a", "/b", "/c")
			stopped := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				stopped <- s.Shutdown(ctx)
			}()
			for !s.listener.finishing.Load() {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(conn, gets("/late")); err != nil {
				t.Fatal(err)
			}
			for _, p := range []string{"/c", "/b", "/a"} {
				time.Sleep(5 * time.Millisecond)
				d.open(p)
			}
			got := answers(conn, 4)
			if !slices.Contains(c.want, got) {
				t.Errorf("got %q, want one of %q", got, c.want)
			}
			if err := <-stopped; err != nil {
				t.Errorf("got %v, want a stop without cut requests", err)
			}
		})
	}
}

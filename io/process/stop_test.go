package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	postHead = "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
	chunked  = "POST /post HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)

// dial opens a connection to a server.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// hold starts a request that runs until the gate /held opens.
func hold(t *testing.T, h *gatedHandler, s *Server) net.Conn {
	t.Helper()
	c := dial(t, s)
	_, _ = io.WriteString(c, getRequests("/held"))
	h.waitStarted(t, "/held")
	return c
}

// shutdown begins a planned stop and waits until it has closed the listener.
func shutdown(t *testing.T, s *Server, grace time.Duration, lastRead time.Time) <-chan error {
	t.Helper()
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	go func() {
		defer cancel()
		stopped <- s.Shutdown(ctx, lastRead)
	}()
	for !s.listener.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	return stopped
}

// Guards against a request that is begun although the last time to read one has passed, and against an answer such as 400 for a head
// that has come in part. The connection ends in an orderly way, and a request that was read whole before is answered.
func TestLastRead(t *testing.T) {
	tests := []struct {
		name   string
		before string // sent before the last time to read
		after  string // sent behind it
		want   string
	}{
		{"no request so far", "", getRequests("/late"), "end"},
		{"kept connection", getRequests("/a"), getRequests("/late"), "/a end"},
		{"part of a head", "GET /late HTT", "P/1.1\r\nHost: x\r\n\r\n", "end"},
		{"whole head but its end", "GET /late HTTP/1.1\r\nHost: x\r\n", "\r\n", "end"},
		{"part of a head behind a request", getRequests("/a") + "GET /late HTT", "P/1.1\r\nHost: x\r\n\r\n", "/a end"},
		{"nothing further", getRequests("/a"), "", "/a end"},
		{"part of a body", postHead + "bo", "dy" + getRequests("/late"), "/postbody(close) end"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newGatedHandler("/held")
			s, conn := connect(t, h)
			hold(t, h, s)
			if _, err := io.WriteString(conn, c.before); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // so that the server has read it
			stopped := shutdown(t, s, 5*time.Second, time.Now().Add(100*time.Millisecond))
			for !s.listener.readOver.Load() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, c.after) // fails if the server has closed the connection
			if got := readAnswers(conn, 3); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			h.mu.Lock()
			if h.started["/late"] > 0 {
				t.Error("/late: started, want it not read")
			}
			h.mu.Unlock()
			h.open("/held")
			if err := <-stopped; err != nil {
				t.Errorf("got %v, want a stop without cut requests", err)
			}
		})
	}
}

// Guards against kept connections that are closed while a request lies in their receive buffer.
func TestRequestInBufferWhileStopping(t *testing.T) {
	const clients = 64
	for range 3 {
		s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), newGatedHandler())
		if err != nil {
			t.Fatal(err)
		}
		var conns []net.Conn
		for range clients {
			c := dial(t, s)
			_, _ = io.WriteString(c, getRequests("/a"))
			if got := readAnswers(c, 1); got != "/a" {
				t.Fatalf("got %q, want /a", got)
			}
			conns = append(conns, c)
		}
		for i, c := range conns {
			_, _ = io.WriteString(c, []string{getRequests("/b"), postHead + "body", chunked}[i%3])
		}
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background(), time.Now().Add(2*time.Second)) }()
		for i, c := range conns {
			if got, want := readAnswers(c, 1), []string{"/b", "/postbody", "/postbody"}[i%3]; strings.TrimSuffix(got, "(close)") != want {
				t.Errorf("connection %d: got %q, want %q", i, got, want)
			}
			_ = c.Close()
		}
		if err := <-stopped; err != nil {
			t.Errorf("got %v, want none", err)
		}
	}
}

// Guards against requests that were read together with an earlier one and are dropped with its connection, on listeners with and
// without early starts.
func TestReadAheadWhileStopping(t *testing.T) {
	tests := []struct {
		name, send, want string
	}{
		{"one behind a GET", getRequests("/held", "/b"), "/held /b(close) end"},
		{"several", getRequests("/held", "/b", "/c"), "/held /b /c(close) end"},
		{"body", getRequests("/held") + postHead + "body" + getRequests("/c"), "/held /postbody /c(close) end"},
		{"chunks", getRequests("/held") + chunked + getRequests("/c"), "/held /postbody /c(close) end"},
		{"part behind the last", getRequests("/held", "/b") + postHead + "bo", "/held /b(close) end"},
		{"behind a body", strings.Replace(postHead, "/post", "/held", 1) + "body" + getRequests("/b"), "/heldbody /b(close) end"},
	}
	for _, c := range tests {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/early %v", c.name, early), func(t *testing.T) {
				t.Parallel()
				h := newGatedHandler("/held")
				s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), h, WithPipelining(func(*http.Request) bool { return early }))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = s.Close() })
				conn := dial(t, s)
				if _, err := io.WriteString(conn, c.send); err != nil {
					t.Fatal(err)
				}
				h.waitStarted(t, "/held")
				h.waitFor(t, "the rest is read", func() bool { return withheld(s) > 0 })
				stopped := shutdown(t, s, 5*time.Second, time.Time{})
				h.open("/held")
				if got := readAnswers(conn, 5); got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
				if err := <-stopped; err != nil {
					t.Errorf("got %v, want a stop without cut requests", err)
				}
			})
		}
	}
}

// Guards against a request that was read and is dropped because the client sends more behind it once no further one is read.
func TestReadAheadAtLastRead(t *testing.T) {
	for _, more := range []string{"G", getRequests("/late"), postHead + "body"} {
		t.Run(strings.Fields(more)[0], func(t *testing.T) {
			t.Parallel()
			h := newGatedHandler("/held")
			s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), h)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Close() })
			conn := dial(t, s)
			_, _ = io.WriteString(conn, getRequests("/held", "/b"))
			h.waitStarted(t, "/held")
			h.waitFor(t, "/b is read", func() bool { return withheld(s) > 0 })
			stopped := shutdown(t, s, 5*time.Second, time.Now())
			for !s.listener.readOver.Load() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, more)
			time.Sleep(5 * time.Millisecond)
			h.open("/held")
			if got, want := readAnswers(conn, 5), "/held /b(close) end"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if err := <-stopped; err != nil {
				t.Errorf("got %v, want a stop without cut requests", err)
			}
		})
	}
}

// Guards against a refusal that a reset destroys because its client still sends the body, and against one that the stop waits for.
func TestRefusalWhileClientSends(t *testing.T) {
	const size = 8 << 20
	limits := DefaultLimits()
	limits.Body = -1
	for _, chunks := range []bool{false, true} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("chunks %v, stop %v", chunks, stops), func(t *testing.T) {
				t.Parallel()
				s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusServiceUnavailable)
				}), WithLimits(limits))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = s.Close() })
				c := dial(t, s)
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				head, part := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size), strings.Repeat("x", 4<<10)
				if chunks {
					head, part = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n"+part+"\r\n"
				}
				if stops {
					shutdown(t, s, 4*time.Second, time.Now().Add(2*time.Second))
				}
				_, err = io.WriteString(c, head)
				for sent := 0; err == nil && sent < size; sent += 4 << 10 {
					_, err = io.WriteString(c, part)
				}
				if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("body: got %v, want it taken or the connection closed", err)
				}
				p, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || p.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("got %v %v, want 503", p, err)
				}
			})
		}
	}
}

// Guards against a stop that lasts beyond its end because a handler does not return, early or at its turn.
func TestShutdownIsBounded(t *testing.T) {
	release := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(2)
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		wait.Done()
		<-release
	}), WithPipelining(func(*http.Request) bool { return true }))
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, s)
	_, _ = io.WriteString(c, getRequests("/a", "/b"))
	wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	err = s.Shutdown(ctx, began.Add(100*time.Millisecond))
	if took := time.Since(began); !errors.Is(err, context.DeadlineExceeded) || took > 800*time.Millisecond {
		t.Errorf("got %v after %v, want a passed deadline after 300ms", err, took)
	}
	close(release)
	if got := readAnswers(c, 1); got != "end" {
		t.Errorf("got %q, want the connection cut", got)
	}
	if err := s.Close(); err != nil {
		t.Errorf("close: got %v, want none", err)
	}
}

package process

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/io/standin"
)

// Bounds for a client that sends without end.
const (
	endlessHeap = 32 << 20                      // bytes of memory
	endlessTime = maxLingerTime + 3*time.Second // until the answer, and from there until the connection ends; the last part is for a busy machine
	endlessSent = 16 << 20                      // bytes sent until the answer, those in socket buffers included
)

// Guards against requests without end that use memory without a limit, or that are read for as long as they come: a line of a trailer
// was kept whole, and the rest of a body whose request was answered was dropped without a bound in time.
func TestRequestsWithoutEnd(t *testing.T) {
	playEndless(t, func(name string, e endlessRequest) {
		if e.took >= endlessTime {
			t.Errorf("%s: got it still read after %s, want the connection closed", name, e.took.Round(time.Millisecond))
		}
	})
}

// Guards against the same on a busy machine: the time in which a server reads what its limits allow hangs on the processor, so it is bounded
// by the bytes, and the time that a connection lingers after the answer by the clock.
func TestRequestsWithoutEndInBytes(t *testing.T) {
	playEndless(t, func(name string, e endlessRequest) {
		if e.lingered >= endlessTime {
			t.Errorf("%s: got it still read %s after the answer, want the connection closed", name, e.lingered.Round(time.Millisecond))
		}
		if e.sent > endlessSent {
			t.Errorf("%s: got %d MB sent before the answer, want at most %d MB", name, e.sent>>20, endlessSent>>20)
		}
	})
}

// endlessRequest is what a client saw that sent without end.
type endlessRequest struct {
	sent     int64         // bytes before the answer, or in all without one
	lingered time.Duration // from the answer, or from the start without one, to the end of the connection
	took     time.Duration // from the start to the end of the connection
}

func playEndless(t *testing.T, check func(name string, e endlessRequest)) {
	t.Helper()
	const chunked = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(w, "answer")
	}), WithLimits(DefaultLimits()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	growth := standin.WatchHeap()
	var wait sync.WaitGroup
	for _, c := range []struct{ name, begin, more string }{
		{"a request line", "POST /read", "x"},
		{"a name", "POST /read HTTP/1.1\r\nHost: x\r\nX", "x"},
		{"a value", "POST /read HTTP/1.1\r\nHost: x\r\nX: ", "y"},
		{"fields", "POST /read HTTP/1.1\r\nHost: x\r\n", "X: y\r\n"},
		{"chunks", "POST /read HTTP/1.1\r\n" + chunked, "3\r\nabc\r\n"},
		{"chunks, answered before", "POST /answer HTTP/1.1\r\n" + chunked, "3\r\nabc\r\n"},
		{"a chunk size", "POST /read HTTP/1.1\r\n" + chunked, "0"},
		{"a chunk extension", "POST /read HTTP/1.1\r\n" + chunked + "1;", "x"},
		{"a chunk extension, answered before", "POST /answer HTTP/1.1\r\n" + chunked + "1;", "x"},
		{"chunks with long extensions", "POST /answer HTTP/1.1\r\n" + chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"a trailer", "POST /read HTTP/1.1\r\n" + chunked + "0\r\nX: ", "y"},
		{"a trailer, answered before", "POST /answer HTTP/1.1\r\n" + chunked + "0\r\nX: ", "y"},
		{"trailers", "POST /read HTTP/1.1\r\n" + chunked + "0\r\n", "X: y\r\n"},
		{"trailers, answered before", "POST /answer HTTP/1.1\r\n" + chunked + "0\r\n", "X: y\r\n"},
		{"a length", "POST /answer HTTP/1.1\r\nHost: x\r\nContent-Length: 16777216\r\n\r\n", "x"},
		{"a length without end", "POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 9223372036854775807\r\n\r\n", "x"},
	} {
		wait.Go(func() {
			check(c.name, endless(t, s, c.begin, c.more))
		})
	}
	wait.Wait()
	if got := growth(); got > endlessHeap {
		t.Errorf("memory: got %d MB more, want at most %d MB", got>>20, endlessHeap>>20)
	}
}

// endless sends the begin of a request and more of it until the connection ends.
func endless(t *testing.T, s *Server, begin, more string) endlessRequest {
	n, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Error(err)
		return endlessRequest{}
	}
	defer func() { _ = n.Close() }()
	began := time.Now()
	_ = n.SetWriteDeadline(began.Add(endlessTime))
	var total, unanswered atomic.Int64
	unanswered.Store(-1)
	answered := make(chan time.Time, 1)
	go func() {
		if _, err := io.ReadFull(n, make([]byte, 1)); err == nil {
			unanswered.Store(total.Load())
			answered <- time.Now()
			_ = n.SetWriteDeadline(time.Now().Add(endlessTime))
		}
		_, _ = io.Copy(io.Discard, n)
	}()
	data := bytes.Repeat([]byte(more), 64<<10/len(more))
	for _, err = io.WriteString(n, begin); err == nil; {
		var written int
		written, err = n.Write(data)
		total.Add(int64(written))
	}
	e := endlessRequest{sent: unanswered.Load(), took: time.Since(began)}
	e.lingered = e.took
	select {
	case at := <-answered:
		e.lingered = time.Since(at)
	default:
		e.sent = total.Load()
	}
	return e
}

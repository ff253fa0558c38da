package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// Ways in which a raw server ends a connection after its response.
const (
	closes = iota // orderly, after the whole request is read
	resets
	stays // open until the client closes
)

// rawServer sends fixed bytes in response to each request. It counts the connections that carry
// requests.
type rawServer struct {
	listener    net.Listener
	response    string
	endless     string // sent again and again after the response until the client closes
	ending      int
	connections atomic.Int32
}

// newRawServer starts a raw server that runs until the test ends.
func newRawServer(t *testing.T, response string, ending int) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &rawServer{listener: l, response: response, ending: ending}
}

func (s *rawServer) run() {
	for {
		n, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(n.(*net.TCPConn))
	}
}

func (s *rawServer) serve(n *net.TCPConn) {
	defer func() { _ = n.Close() }()
	in := bufio.NewReader(n)
	for first := true; ; first = false {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if first {
			s.connections.Add(1)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(n, s.response)
		for more := strings.Repeat(s.endless, 100); err == nil && more != ""; {
			_, err = io.WriteString(n, more)
		}
		switch s.ending {
		case closes:
			return
		case resets:
			time.Sleep(5 * time.Millisecond) // the client reads the response before the reset discards it
			_ = n.SetLinger(0)
			return
		}
	}
}

// announceRaw announces the server at a new Backend.
func announceRaw(t *testing.T, s *rawServer, opts ...Option) *Backend {
	t.Helper()
	b := New(append(opts, WithRenew(time.Minute))...)
	t.Cleanup(func() { _ = b.Close() })
	address := netip.MustParseAddrPort(s.listener.Addr().String())
	if f := b.Announce(Announcement{Service: "counter", Endpoint: "a", Address: address, Slots: 4, Connections: 4}); f != nil {
		t.Fatal(f)
	}
	return b
}

// result is what the caller of a Backend gets. A response that breaks off has err set, and its status if the head was read.
type result struct {
	status  int
	body    string
	trailer http.Header
	err     error
}

func do(ctx context.Context, b *Backend, r *http.Request) result {
	p, err := b.Do(ctx, testMeta("raw"), r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(p.Body)
	return result{status: p.StatusCode, body: string(body), trailer: p.Trailer, err: err}
}

var responseCases = []struct {
	name     string
	method   string // POST if empty
	response string
	ending   int
	status   int // 0 if the response must not count as complete
	body     string
	surplus  bool // more bytes than the response follow, so that the connection is not used again
}{
	// Valid responses, which stay accepted.
	{name: "length", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ending: stays, status: 200, body: "body"},
	{name: "length of zero", response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ending: stays, status: 200},
	{name: "length with blanks around", response: "HTTP/1.1 200 OK\r\nContent-Length: \t 4 \r\n\r\nbody", ending: stays, status: 200, body: "body"},
	{name: "length, whole body, reset", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ending: resets, status: 200, body: "body"},
	{name: "chunks", response: chunked + "4\r\nbody\r\n0\r\n\r\n", ending: stays, status: 200, body: "body"},
	{name: "chunks in upper case", response: "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n", ending: stays, status: 200, body: "0123456789"},
	{name: "chunk with an extension", response: chunked + "4;a=b\r\nbody\r\n0\r\n\r\n", ending: stays, status: 200, body: "body"},
	{name: "chunks and a trailer", response: chunked + "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", ending: stays, status: 200, body: "body"},
	{name: "no length, closed", response: "HTTP/1.1 200 OK\r\n\r\nbody", status: 200, body: "body"},
	{name: "no length, closed, no body", response: "HTTP/1.1 200 OK\r\n\r\n", status: 200},
	{name: "version 1.0", response: "HTTP/1.0 200 OK\r\n\r\nbody", status: 200, body: "body"},
	{name: "no reason", response: "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", ending: stays, status: 200},
	{name: "empty reason", response: "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", ending: stays, status: 200},
	{name: "status 599", response: "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", ending: stays, status: 599},
	{name: "status 204", response: "HTTP/1.1 204 No Content\r\n\r\n", ending: stays, status: 204},
	{name: "status 304 with a length", response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", ending: stays, status: 304},
	{name: "HEAD with a length", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ending: stays, status: 200},
	{name: "HEAD with chunks", method: "HEAD", response: chunked, ending: stays, status: 200},
	{name: "tab and other alphabets in a value", response: "HTTP/1.1 200 OK\r\nX-Odd: a\tb\xe9\xff\r\nContent-Length: 0\r\n\r\n", ending: stays, status: 200},
	{name: "empty value", response: "HTTP/1.1 200 OK\r\nX-Odd:\r\nContent-Length: 0\r\n\r\n", ending: stays, status: 200},
	{name: "all token characters in a name", response: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 0\r\n\r\n", ending: stays, status: 200},
	{name: "lines that end with LF alone", response: "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", ending: stays, status: 200, body: "body"},
	{name: "interim responses", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ending: stays, status: 200, body: "body"},

	// Valid responses with bytes behind them.
	{name: "a second response", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd", ending: stays, status: 200, body: "body", surplus: true},
	{name: "a second response behind chunks", response: chunked + "4\r\nbody\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd", ending: stays, status: 200, body: "body", surplus: true},
	{name: "status 204 with a body", response: "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody", ending: stays, status: 204, surplus: true},
	{name: "status 204 with a length alone", response: "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", ending: stays, status: 204, surplus: true},
	{name: "status 304 with a body", response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\nbody", ending: stays, status: 304, surplus: true},
	{name: "HEAD with a body", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ending: stays, status: 200, surplus: true},
	{name: "one byte more than the length", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody\n", ending: stays, status: 200, body: "body", surplus: true},

	// Status lines.
	{name: "status 000", response: "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 099", response: "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 600", response: "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 999", response: "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 1200", response: "HTTP/1.1 1200 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 20", response: "HTTP/1.1 20 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status +20", response: "HTTP/1.1 +20 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status -20", response: "HTTP/1.1 -20 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 2xx", response: "HTTP/1.1 2xx Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 200x", response: "HTTP/1.1 200x Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "status 0x1", response: "HTTP/1.1 0x1 Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "no status", response: "HTTP/1.1\r\nContent-Length: 0\r\n\r\n"},
	{name: "two blanks before the status", response: "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "control byte in the reason", response: "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n"},
	{name: "carriage return in the reason", response: "HTTP/1.1 200 O\rK\r\nContent-Length: 0\r\n\r\n"},
	{name: "version 2.0", response: "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "version 0.9", response: "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "another protocol", response: "RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "empty line first", response: "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "nothing", response: ""},

	// Field names and values.
	{name: "blank before the colon", response: "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "blank before the colon of a length", response: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody"},
	{name: "blank in a name", response: "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "tab before the colon", response: "HTTP/1.1 200 OK\r\nX-Odd\t: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "control byte in a name", response: "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "parenthesis in a name", response: "HTTP/1.1 200 OK\r\nX(Odd): 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "other alphabet in a name", response: "HTTP/1.1 200 OK\r\nX\xe9: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "empty name", response: "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "no colon", response: "HTTP/1.1 200 OK\r\nX-Odd\r\nContent-Length: 0\r\n\r\n"},
	{name: "blank before a name", response: "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "folded value", response: "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 4\r\n\r\nbody"},
	{name: "NUL in a value", response: "HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\nContent-Length: 0\r\n\r\n"},
	{name: "DEL in a value", response: "HTTP/1.1 200 OK\r\nX-Odd: a\x7fb\r\nContent-Length: 0\r\n\r\n"},
	{name: "carriage return in a value", response: "HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\nContent-Length: 0\r\n\r\n"},
	{name: "carriage return at the end of a value", response: "HTTP/1.1 200 OK\r\nX-Odd: a\r\r\nContent-Length: 0\r\n\r\n"},
	{name: "control byte at the start of a value", response: "HTTP/1.1 200 OK\r\nX-Odd:\x0b1\r\nContent-Length: 0\r\n\r\n"},

	// Framing.
	{name: "two lengths", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody5"},
	{name: "the same length twice", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody"},
	{name: "a list of lengths", response: "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody"},
	{name: "+4 as a length", response: "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"},
	{name: "-4 as a length", response: "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody"},
	{name: "4.0 as a length", response: "HTTP/1.1 200 OK\r\nContent-Length: 4.0\r\n\r\nbody"},
	{name: "0x4 as a length", response: "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nbody"},
	{name: "1_0 as a length", response: "HTTP/1.1 200 OK\r\nContent-Length: 1_0\r\n\r\n0123456789"},
	{name: "empty length", response: "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody"},
	{name: "length beyond 63 bits", response: "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\nbody"},
	{name: "length and chunks", response: "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{name: "chunks and a length", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{name: "chunks twice", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{name: "another encoding", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{name: "chunks in version 1.0", response: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{name: "two lengths in an interim response", response: "HTTP/1.1 100 Continue\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "two lengths for HEAD", method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"},
	{name: "two lengths in a 304", response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"},

	// Bodies that break off.
	{name: "head broken off", response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"},
	{name: "head broken off in a line", response: "HTTP/1.1 200 OK\r\nContent-Le"},
	{name: "length broken off", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody"},
	{name: "length broken off by a reset", response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", ending: resets},
	{name: "no length, reset", response: "HTTP/1.1 200 OK\r\n\r\nbody", ending: resets},
	{name: "no length and no body, reset", response: "HTTP/1.1 200 OK\r\n\r\n", ending: resets},
	{name: "version 1.0, reset", response: "HTTP/1.0 200 OK\r\n\r\nbody", ending: resets},
	{name: "chunk broken off", response: chunked + "4\r\nbo"},
	{name: "chunks without an end", response: chunked + "4\r\nbody\r\n"},
	{name: "chunks without a last line", response: chunked + "4\r\nbody\r\n0\r\n"},
	{name: "trailer broken off", response: chunked + "4\r\nbody\r\n0\r\nX-Sum: 1\r\n"},
	{name: "chunk longer than stated", response: chunked + "4\r\nbodyx\r\n0\r\n\r\n"},
	{name: "chunk size with a sign", response: chunked + "+4\r\nbody\r\n0\r\n\r\n"},
	{name: "chunk size with a prefix", response: chunked + "0x4\r\nbody\r\n0\r\n\r\n"},
	{name: "chunk size of 17 digits", response: chunked + "10000000000000004\r\nbody\r\n0\r\n\r\n"},
	{name: "empty chunk size", response: chunked + "\r\nbody\r\n0\r\n\r\n"},
	{name: "chunk lines that end with LF alone", response: chunked + "4\nbody\n0\n\n"},

	// Trailers.
	{name: "blank before the colon of a trailer", response: chunked + "4\r\nbody\r\n0\r\nX-Sum : 1\r\n\r\n", ending: stays},
	{name: "control byte in a trailer", response: chunked + "4\r\nbody\r\n0\r\nX-Sum: \x011\r\n\r\n", ending: stays},
	{name: "length as a trailer", response: chunked + "4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n", ending: stays},
	{name: "chunks as a trailer", response: chunked + "4\r\nbody\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", ending: stays},
	{name: "trailer that is no field", response: chunked + "4\r\nbody\r\n0\r\nodd bytes\r\n\r\n", ending: stays},
}

const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against an invalid or incomplete response that reaches a caller as a complete one, a connection that carries another request
// after such a response, and a valid response that is refused. Each case runs with and without buffered answers.
func TestResponses(t *testing.T) {
	for _, tt := range responseCases {
		for _, limit := range []int64{0, 1 << 10} {
			name := tt.name
			if limit > 0 {
				name += ", buffered"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := newRawServer(t, tt.response, tt.ending)
				go s.run()
				b := announceRaw(t, s, WithBufferedAnswers(limit))
				for range 2 {
					r := call("/")
					if tt.method != "" {
						r.Method = tt.method
					}
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					got := do(ctx, b, r)
					cancel()
					if tt.ending == resets {
						time.Sleep(20 * time.Millisecond) // the next request must not meet the reset
					}
					switch {
					case tt.status == 0 && got.err == nil:
						t.Errorf("got status %d and %q as complete, want a failure", got.status, got.body)
					case tt.status == 0:
						wantUnknown(t, got)
					case got.err != nil || got.status != tt.status || got.body != tt.body:
						t.Errorf("got status %d, %q, %v, want %d, %q", got.status, got.body, got.err, tt.status, tt.body)
					}
				}
				want := int32(2)
				if tt.status != 0 && tt.ending == stays && !tt.surplus {
					want = 1
				}
				if got := s.connections.Load(); got != want {
					t.Errorf("got %d connections for 2 requests, want %d", got, want)
				}
			})
		}
	}
}

// wantUnknown checks that a response failed at once and with an unknown outcome. A response whose head was passed on has only an error.
func wantUnknown(t *testing.T, got result) {
	t.Helper()
	if errors.Is(got.err, context.DeadlineExceeded) {
		t.Errorf("got %v, want a failure before the deadline", got.err)
	}
	var f *outcome.Failure
	if got.status == 0 && (!errors.As(got.err, &f) || f.Kind != outcome.Unknown || f.Status != http.StatusBadGateway) {
		t.Errorf("got %v, want an unknown outcome with status 502", got.err)
	}
}

// upload returns a request whose body is written until it fails.
func upload() *http.Request {
	r := call("/")
	r.Body, r.ContentLength = &endless{closed: make(chan struct{})}, -1
	return r
}

// respondEarly accepts connections, reads the first bytes of each request and then lets respond end the connection.
func respondEarly(l net.Listener, respond func(*net.TCPConn)) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = n.Close() }()
			if _, err := n.Read(make([]byte, 4<<10)); err == nil {
				respond(n.(*net.TCPConn))
			}
		}()
	}
}

// Guards against a response without a length that is taken as complete when the connection is reset while the request body is written.
// The error of the socket reaches the write or the read, and in the first case the read returns the end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const tries = 300
	body := strings.Repeat("x", 5000)
	for _, pause := range []time.Duration{0, 200 * time.Microsecond} {
		s := newRawServer(t, "", resets)
		go respondEarly(s.listener, func(n *net.TCPConn) {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\n\r\n"+body)
			time.Sleep(pause)
			_ = n.SetLinger(0)
		})
		b := announceRaw(t, s)
		for range tries {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			got := do(ctx, b, upload())
			cancel()
			if got.err == nil {
				t.Fatalf("pause %s: got status %d and %d bytes as complete, want a failure", pause, got.status, len(got.body))
			}
			wantUnknown(t, got)
		}
	}
}

// Guards against a response without a length that is refused though the backend server has closed the connection in order: it has
// responded before the end of the request and closes only its own direction.
func TestCloseDuringUpload(t *testing.T) {
	s := newRawServer(t, "", closes)
	go respondEarly(s.listener, func(n *net.TCPConn) {
		_, _ = io.WriteString(n, "HTTP/1.1 413 Too Large\r\n\r\nbody")
		_ = n.CloseWrite()
		_, _ = io.Copy(io.Discard, n)
	})
	b := announceRaw(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if got := do(ctx, b, upload()); got.err != nil || got.status != 413 || got.body != "body" {
		t.Errorf("got status %d, %q, %v, want 413, body", got.status, got.body, got.err)
	}
}

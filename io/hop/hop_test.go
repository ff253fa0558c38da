package hop

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"godwitspindle/core/outcome"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	l, a := listen(t)
	s := HTTPServer(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return a
}

func request(method, path, body string) *http.Request {
	u, _ := url.Parse(path)
	r := &http.Request{Method: method, URL: u, Host: "example.test", Header: http.Header{}}
	if body != "" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return r
}

func testMeta(call string) Meta {
	return Meta{Call: call, Service: "counter", Endpoint: "a", Remaining: time.Second, Depth: 1, Priority: 5}
}

// rawPeer is a server that writes HTTP/2 frames itself, so that it can refuse, reset and mix up streams. It calls answer for
// each HEADERS frame.
func rawPeer(t *testing.T, answer func(c net.Conn, f *http2.Framer, stream uint32, number int)) netip.AddrPort {
	t.Helper()
	l, a := listen(t)
	var mu sync.Mutex
	number := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
					return
				}
				f := http2.NewFramer(c, c)
				_ = f.WriteSettings()
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					if h, ok := frame.(*http2.HeadersFrame); ok {
						mu.Lock()
						number++
						n := number
						mu.Unlock()
						answer(c, f, h.StreamID, n)
					}
				}
			}()
		}
	}()
	return a
}

// writeHead sends response headers and, with end, ends the stream.
func writeHead(f *http2.Framer, stream uint32, end bool, fields ...string) {
	var b strings.Builder
	e := hpack.NewEncoder(&b)
	for i := 0; i < len(fields); i += 2 {
		_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte(b.String()), EndHeaders: true, EndStream: end})
}

// callFault is a peer's misbehaviour and the outcome that the call must report.
type callFault struct {
	name   string
	answer func(c net.Conn, f *http2.Framer, stream uint32, number int)
	kind   outcome.Kind
	code   outcome.Code
	body   bool // the response headers arrive and the body breaks off
}

func callFaults() []callFault {
	reset := func(c net.Conn, _ *http2.Framer, _ uint32, _ int) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return []callFault{
		{"dial failure", nil, outcome.NotRun, outcome.Unreachable, false},
		{"refused stream", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			_ = f.WriteRSTStream(n, http2.ErrCodeRefusedStream)
		}, outcome.NotRun, outcome.Refused, false},
		{"goaway before the stream", func(_ net.Conn, f *http2.Framer, n uint32, _ int) { _ = f.WriteGoAway(n-1, http2.ErrCodeNo, nil) }, outcome.NotRun, outcome.Refused, false},
		{"goaway after the stream", func(c net.Conn, f *http2.Framer, n uint32, _ int) {
			_ = f.WriteGoAway(n, http2.ErrCodeNo, nil)
			_ = c.Close()
		}, outcome.Unknown, outcome.Reset, false},
		{"reset before the head", reset, outcome.Unknown, outcome.Reset, false},
		{"stream reset by protocol error", func(_ net.Conn, f *http2.Framer, n uint32, _ int) { _ = f.WriteRSTStream(n, http2.ErrCodeProtocol) }, outcome.Unknown, outcome.Reset, false},
		{"stream cancelled by the peer", func(_ net.Conn, f *http2.Framer, n uint32, _ int) { _ = f.WriteRSTStream(n, http2.ErrCodeCancel) }, outcome.Unknown, outcome.Reset, false},
		{"stalled", func(net.Conn, *http2.Framer, uint32, int) {}, outcome.Unknown, outcome.DeadlineExceeded, false},
		{"answer of another call", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, true, ":status", "200", "mesh-call", "other")
		}, outcome.Unknown, outcome.Reset, false},
		{"answer of no call", func(_ net.Conn, f *http2.Framer, n uint32, _ int) { writeHead(f, n, true, ":status", "200") }, outcome.Unknown, outcome.Reset, false},
		{"refusal for another call", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, true, ":status", "503", "mesh-call", "other", "mesh-outcome", "notrun")
		}, outcome.Unknown, outcome.Reset, false},
		{"refusal", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, true, ":status", "503", "mesh-call", "c1", "mesh-outcome", "notrun", "mesh-code", "overload", "mesh-after", "250")
		}, outcome.NotRun, outcome.Overload, false},
		{"unknown kind of outcome", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, true, ":status", "503", "mesh-call", "c1", "mesh-outcome", "maybe", "mesh-code", "overload")
		}, outcome.Unknown, outcome.Overload, false},
		{"reset after the head", func(c net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, false, ":status", "200", "mesh-call", "c1")
			time.Sleep(20 * time.Millisecond)
			reset(c, f, n, 0)
		}, "", "", true},
		{"stream reset in the body", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, false, ":status", "200", "mesh-call", "c1")
			_ = f.WriteData(n, false, []byte("part"))
			_ = f.WriteRSTStream(n, http2.ErrCodeInternal)
		}, "", "", true},
		{"body shorter than stated", func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
			writeHead(f, n, false, ":status", "200", "mesh-call", "c1", "content-length", "10")
			_ = f.WriteData(n, true, []byte("part"))
		}, "", "", true},
	}
}

// TestCallFaults checks that only a provably unprocessed request is reported as notrun, and that an answer that is broken, late
// or for another call is never a success. It also detects changes of net/http's error texts.
func TestCallFaults(t *testing.T) {
	closed, refusing := listen(t)
	_ = closed.Close()
	for _, tt := range callFaults() {
		t.Run(tt.name, func(t *testing.T) {
			var heads atomic.Int64
			address := refusing
			if tt.answer != nil {
				address = rawPeer(t, func(c net.Conn, f *http2.Framer, n uint32, number int) {
					heads.Store(int64(number))
					tt.answer(c, f, n, number)
				})
			}
			c := New()
			defer func() { _ = c.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			p, err := c.Call(ctx, address, testMeta("c1"), request("GET", "/x", ""))
			if tt.body {
				if err != nil {
					t.Fatalf("got %v, want response headers", err)
				}
				if got, err := io.ReadAll(p.Body); err == nil {
					t.Fatalf("got complete body %q, want an error", got)
				}
				return
			}
			var f *outcome.Failure
			if !errors.As(err, &f) || f.Kind != tt.kind || f.Code != tt.code {
				t.Fatalf("got %v, want %s (%s)", err, tt.code, tt.kind)
			}
			if _ = c.Close(); heads.Load() > 1 {
				t.Errorf("got the request sent %d times, want at most 1", heads.Load())
			}
		})
	}
}

// TestServer guards the checks of the peer listener, the forwarding of bodies, trailers, deadline and cancellation, and the
// removal of metadata headers before the call is handled.
func TestServer(t *testing.T) {
	cancelled := make(chan error, 1)
	do := func(ctx context.Context, m Meta, r *http.Request) (*http.Response, error) {
		if d, ok := ctx.Deadline(); !ok || time.Until(d) > m.Remaining {
			return nil, &MetaError{Header: "deadline"}
		}
		var body []byte
		if r.Body != nil {
			body, _ = io.ReadAll(r.Body)
		}
		for k := range r.Header {
			if strings.HasPrefix(k, Prefix) {
				return nil, &MetaError{Header: k}
			}
		}
		switch r.URL.Path {
		case "/stall":
			<-ctx.Done()
			cancelled <- ctx.Err()
			return nil, failure(outcome.Canceled, outcome.Unknown, m.Call, "", nil)
		case "/full":
			f := failure(outcome.Overload, outcome.NotRun, "", "slots are full", nil)
			f.RetryAfter = 1500 * time.Millisecond
			return nil, f
		}
		text := fmt.Sprintf("%s %s %s %s", r.Method, r.Host, r.URL.RequestURI(), body)
		return &http.Response{
			StatusCode: 201, ContentLength: -1, Header: http.Header{"Mesh-Outcome": {"notrun"}, "X-Up": {"1"}},
			Trailer: http.Header{"X-Sum": {"7"}, "Mesh-Call": {"x"}}, Body: io.NopCloser(strings.NewReader(text)),
		}, nil
	}
	address := serve(t, NewServer(WithDo(do), WithServerKey("secret")))
	c := New(WithKey("secret"))
	defer func() { _ = c.Close() }()

	p, err := c.Call(context.Background(), address, testMeta("c1"), request("POST", "/a%2Fb?q=1", "hello"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(p.Body)
	if want := "POST example.test /a%2Fb?q=1 hello"; string(got) != want || err != nil {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
	if p.Trailer.Get("X-Sum") != "7" || p.Header.Get("X-Up") != "1" || p.Header.Get("Mesh-Outcome") != "" || p.StatusCode != 201 {
		t.Errorf("got status %d, header %v, trailer %v, want 201, X-Up 1 without Mesh-Outcome, X-Sum 7", p.StatusCode, p.Header, p.Trailer)
	}
	testRefusals(t, c, address, cancelled)
}

// testRefusals checks how failures that the peer reports arrive at the client.
func testRefusals(t *testing.T, c *Client, address netip.AddrPort, cancelled <-chan error) {
	var f *outcome.Failure
	_, err := c.Call(context.Background(), address, testMeta("c2"), request("GET", "/full", ""))
	if !errors.As(err, &f) || f.Kind != outcome.NotRun || f.Code != outcome.Overload || f.RetryAfter != 1500*time.Millisecond || f.Detail != "slots are full" || f.Call != "c2" {
		t.Errorf("got %#v, want overload (notrun) of call c2 after 1.5 s with its detail", f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = c.Call(ctx, address, testMeta("c3"), request("GET", "/stall", ""))
	if !errors.As(err, &f) || f.Code != outcome.Canceled || f.Kind != outcome.Unknown {
		t.Errorf("got %v, want canceled (unknown)", err)
	}
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the cancellation did not reach the peer within 500 ms")
	}
	wrong := New(WithKey("other"))
	defer func() { _ = wrong.Close() }()
	_, err = wrong.Call(context.Background(), address, testMeta("c4"), request("GET", "/", ""))
	if !errors.As(err, &f) || f.Kind != outcome.NotRun || f.Status != http.StatusUnauthorized {
		t.Errorf("got %v, want a refusal of the key", err)
	}
	bad := testMeta("c5")
	bad.Depth = outcome.MaxDepth + 1
	_, err = c.Call(context.Background(), address, bad, request("GET", "/", ""))
	if !errors.As(err, &f) || f.Kind != outcome.NotRun || f.Status != http.StatusBadRequest {
		t.Errorf("got %v, want a refusal of the depth", err)
	}
}

// Checks that with WithDialTLS the client uses HTTP/2 over TLS and refuses a peer with an untrusted certificate.
func TestTLS(t *testing.T) {
	proto := make(chan string, 1)
	s := httptest.NewUnstartedServer(nil)
	s.Config = HTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		proto <- r.Proto
		w.Header().Set(headerCall, r.Header.Get(headerCall))
	}))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	dial := func(config *tls.Config) Option {
		config.NextProtos = []string{"h2"}
		return WithDialTLS((&tls.Dialer{Config: config}).DialContext)
	}
	c := New(dial(s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()))
	defer func() { _ = c.Close() }()
	p, err := c.Call(context.Background(), address, testMeta("c"), request("GET", "/", ""))
	if err != nil || p.StatusCode != 200 || <-proto != "HTTP/2.0" {
		t.Fatalf("got %v, %v, want an answer over HTTP/2", p, err)
	}
	untrusting := New(dial(&tls.Config{MinVersion: tls.VersionTLS12}))
	defer func() { _ = untrusting.Close() }()
	var f *outcome.Failure
	if _, err := untrusting.Call(context.Background(), address, testMeta("c"), request("GET", "/", "")); !errors.As(err, &f) || f.Code != outcome.Unreachable {
		t.Errorf("got %v, want unreachable", err)
	}
}

// Guards the limits on connections and peers, and the eviction of an idle peer to make room for another.
func TestPool(t *testing.T) {
	do := func(ctx context.Context, _ Meta, _ *http.Request) (*http.Response, error) {
		time.Sleep(5 * time.Millisecond)
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: http.NoBody}, ctx.Err()
	}
	var addresses []netip.AddrPort
	for range 3 {
		addresses = append(addresses, serve(t, NewServer(WithDo(do))))
	}
	c := New(WithPeers(2))
	defer func() { _ = c.Close() }()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			p, err := c.Call(context.Background(), addresses[i%2], testMeta(fmt.Sprint("c", i)), request("GET", "/", ""))
			if err != nil {
				t.Error(err)
				return
			}
			_ = p.Body.Close()
		})
	}
	wg.Wait()
	if got := c.Stats(); got.Dialed > 4 || got.Peers != 2 {
		t.Errorf("got %d connections to %d peers, want at most 4 to 2", got.Dialed, got.Peers)
	}
	if _, err := c.Call(context.Background(), addresses[2], testMeta("c"), request("GET", "/", "")); err != nil {
		t.Error(err)
	}
	if got := c.Stats(); got.Evicted != 1 || got.Peers != 2 {
		t.Errorf("got %d evicted of %d peers, want 1 of 2", got.Evicted, got.Peers)
	}
}

// TestBrokenAnswer guards at the peer listener that an answer of unknown length that breaks off reaches the calling node as
// broken, not as a shorter complete answer.
func TestBrokenAnswer(t *testing.T) {
	a := serve(t, NewServer(WithDo(func(context.Context, Meta, *http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}, nil
	})))
	c := New()
	defer func() { _ = c.Close() }()
	p, err := c.Call(t.Context(), a, testMeta("c1"), request("GET", "/", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	if got, err := io.ReadAll(p.Body); err == nil {
		t.Errorf("got a complete answer %q, want an error", got)
	}
}

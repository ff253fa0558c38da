package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

// cutAnswers are whole answers; each of their proper prefixes is an answer that was cut.
var cutAnswers = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello",
	"closing":         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
	"empty":           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"no content":      "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
	"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
	"empty chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"trailers":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
	"interim":         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"interim, no end": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}

// Headers of a request that say which answer the endpoint begins and how it ends.
const (
	headerAnswer = "X-Answer"
	headerCut    = "X-Cut"   // bytes of the answer that are written
	headerReset  = "X-Reset" // 1 if the connection is reset, else it is closed
)

// cutEndpoint returns the address of an endpoint that stops within its answers.
func cutEndpoint(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go serveCut(n.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func serveCut(n *net.TCPConn) {
	defer func() { _ = n.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(n))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	cut, _ := strconv.Atoi(r.Header.Get(headerCut))
	_, _ = io.WriteString(n, cutAnswers[r.Header.Get(headerAnswer)][:cut])
	if r.Header.Get(headerReset) == "1" {
		time.Sleep(2 * time.Millisecond) // a reset discards bytes that the receiver has not read
		_ = n.SetLinger(0)
	}
}

// cutHandler returns the handler for callers of a node whose endpoint cuts its answers, directly beside it or behind another node.
func cutHandler(t *testing.T, behindNode bool, opts ...backend.Option) *Handler {
	t.Helper()
	b := backend.New(opts...)
	t.Cleanup(func() { _ = b.Close() })
	if f := b.Announce(backend.Announcement{Service: "counter", Endpoint: "e", Address: cutEndpoint(t), Slots: 50, Connections: 50}); f != nil {
		t.Fatal(f)
	}
	service := config.Service{Name: "counter", Endpoints: []config.Endpoint{{Service: "counter", Name: "e"}}}
	route := config.Route{Name: "r", Service: "counter", Deadline: 5 * time.Second}
	send := func(ctx context.Context, _ config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error) {
		return b.Do(ctx, m, r)
	}
	if behindNode {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peer := hop.HTTPServer(hop.NewServer(hop.WithDo(b.Do)))
		go func() { _ = peer.Serve(l) }()
		client := hop.New()
		t.Cleanup(func() { _, _ = client.Close(), peer.Close() })
		address := netip.MustParseAddrPort(l.Addr().String())
		send = func(ctx context.Context, _ config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error) {
			return client.Call(ctx, address, m, r)
		}
	}
	return New(
		WithMatch(func(_, _, _ string) (Match, *outcome.Failure) { return Match{Route: &route, Service: &service}, nil }),
		WithPick(func(PickRequest) (config.Endpoint, string, error) { return service.Endpoints[0], "only", nil }),
		WithSend(send),
		WithDecide(func(Attempt) Verdict { return Verdict{} }),
	)
}

// serveCallers serves a handler on the listener that a process has for callers, and returns its address.
func serveCallers(t *testing.T, h *Handler) string {
	t.Helper()
	s, err := process.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), h, process.WithPipelining(func(*http.Request) bool { return true }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.Address().String()
}

// pipelined sends the request behind one with a whole answer, so that it starts before its turn.
const pipelined = "HTTP/1.1 behind another request"

// cutRequest returns the text of a request for the first bytes of an answer.
func cutRequest(protocol, answer string, cut int, reset string) string {
	return fmt.Sprintf("GET /x %s\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n\r\n", protocol, headerAnswer, answer, headerCut, cut, headerReset, reset)
}

// callCut sends one request and returns the status and body of an answer that a caller takes for whole, or "broken".
func callCut(t *testing.T, address, protocol, answer string, cut int, reset string) string {
	t.Helper()
	n, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	in := bufio.NewReader(n)
	if protocol != pipelined {
		_, _ = io.WriteString(n, cutRequest(protocol, answer, cut, reset))
		return readCut(in)
	}
	_, _ = io.WriteString(n, cutRequest("HTTP/1.1", "closing", len(cutAnswers["closing"]), "")+cutRequest("HTTP/1.1", answer, cut, reset))
	if got := readCut(in); got != "200 hello" {
		t.Errorf("first of two requests: got %q, want 200 hello", got)
	}
	return readCut(in)
}

func readCut(in *bufio.Reader) string {
	p, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if err != nil {
		return "broken"
	}
	body, err := io.ReadAll(p.Body)
	if err != nil {
		return "broken"
	}
	return fmt.Sprintf("%d %s", p.StatusCode, body)
}

// Guards against an answer that the endpoint stopped at any byte of its head, of an interim head, of its body, chunk sizes or trailers,
// by a close or a reset, and that the caller gets as a whole success: beside the endpoint's node and through another one, streamed
// and read ahead, for callers of both versions of HTTP/1 and for requests that start before their turn.
func TestCutAnswers(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0", pipelined} {
		for _, way := range []struct {
			name       string
			behindNode bool
			opts       []backend.Option
		}{
			{"beside", false, nil},
			{"behind a node", true, nil},
			{"beside, read ahead", false, []backend.Option{backend.WithBufferedAnswers(3)}},
			{"behind a node, read ahead", true, []backend.Option{backend.WithBufferedAnswers(1 << 10)}},
		} {
			for name, whole := range cutAnswers {
				for _, reset := range []string{"", "1"} {
					t.Run(fmt.Sprintf("%s/%s/%s/reset %q", protocol, way.name, name, reset), func(t *testing.T) {
						t.Parallel()
						address := serveCallers(t, cutHandler(t, way.behindNode, way.opts...))
						step := 1 // every byte on the shortest way, else some
						if protocol != "HTTP/1.1" || way.behindNode || reset != "" || testing.Short() {
							step = 7
						}
						for cut := len(whole) - 1; cut >= 0; cut -= step {
							if got := callCut(t, address, protocol, name, cut, reset); got != "broken" && !strings.HasPrefix(got, "502") {
								t.Errorf("cut after %q: got %q, want a failure or a broken answer", whole[:cut], got)
							}
						}
						if got := callCut(t, address, protocol, name, len(whole), ""); !strings.HasPrefix(got, "20") || strings.Contains(whole, "hel") != strings.HasSuffix(got, "hello") {
							t.Errorf("whole: got %q, want the answer", got)
						}
					})
				}
			}
		}
	}
}

// Guards against a cut answer that a caller of HTTP/1.0 over TLS takes for whole, because the end of the connection is announced as a
// regular one.
func TestCutAnswerOverTLS(t *testing.T) {
	s := httptest.NewUnstartedServer(nil)
	s.Config = HTTPServer(cutHandler(t, false))
	s.StartTLS()
	defer s.Close()
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	whole := cutAnswers["chunked"]
	for _, cut := range []int{strings.Index(whole, "3"), strings.Index(whole, "2\r\nlo"), len(whole) - 3, len(whole)} {
		n, err := tls.Dial("tcp", s.Listener.Addr().String(), &tls.Config{RootCAs: roots, ServerName: "example.com"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(n, cutRequest("HTTP/1.0", "chunked", cut, ""))
		got := readCut(bufio.NewReader(n))
		if (got == "200 hello") != (cut == len(whole)) || got != "200 hello" && got != "broken" {
			t.Errorf("cut after %q: got %q, want it broken unless whole", whole[:cut], got)
		}
		_ = n.Close()
	}
}

// Guards against a connection with a cut answer that stays open during a planned stop, so that the stop waits for its end.
func TestCutAnswerWhileStopping(t *testing.T) {
	stopped := make(chan error, 1)
	var s *process.Server
	h := cutHandler(t, false)
	s, err := process.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		go func() { stopped <- s.Shutdown(context.Background(), time.Time{}) }()
		time.Sleep(50 * time.Millisecond)
		h.ServeHTTP(w, r)
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if got := callCut(t, s.Address().String(), "HTTP/1.0", "chunked", len(cutAnswers["chunked"])-3, ""); got != "broken" {
		t.Errorf("got %q, want it broken", got)
	}
	select {
	case err := <-stopped:
		if err != nil || s.Open() != 0 {
			t.Errorf("stop: got %v with %d connections, want none", err, s.Open())
		}
	case <-time.After(10 * time.Second):
		t.Error("stop: got no end within 10 s")
	}
}

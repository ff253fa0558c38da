package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

const headerNotRun = "Not-Run"

// refusalText returns a refusal that names a request, or none if id is empty.
func refusalText(id string) string {
	name := ""
	if id != "" {
		name = headerAttempt + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nRetry-After: 1\r\n" + name + "Content-Length: 4\r\n\r\nfull"
}

// Times at which the faulty server writes its extra bytes.
const (
	whileIdle    = "while idle"
	beforeBody   = "before the body"
	afterRequest = "just after the request"
	withAnswer   = "together with the answer"
	inTwoParts   = "in two parts"
)

// repeater is a faulty backend server: it answers the first request, and on the connection of that request it writes extra bytes at
// some time beside the answer to the second one. Every request but a refused one runs.
type repeater struct {
	first, extra, when string
	begun              chan struct{} // receives a value when the second request's body is first read
	ran                atomic.Int32  // runs of the second request
	served             atomic.Int32
}

func (s *repeater) accept(l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(n)
	}
}

func (s *repeater) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	in := bufio.NewReader(n)
	kept := false // the first request came on this connection
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if s.served.Add(1) == 1 {
			kept = true
			_, _ = io.WriteString(n, s.first)
			go s.writeEarly(n)
			continue
		}
		s.ran.Add(1)
		own := answerText(r.Header.Get(headerAttempt), "second")
		if kept {
			s.writeBeside(n, own)
		} else {
			_, _ = io.WriteString(n, own)
		}
	}
}

func (s *repeater) writeEarly(n net.Conn) {
	switch s.when {
	case whileIdle:
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(n, s.extra)
	case beforeBody:
		<-s.begun
		_, _ = io.WriteString(n, s.extra)
	}
}

func (s *repeater) writeBeside(n net.Conn, own string) {
	switch s.when {
	case afterRequest:
		_, _ = io.WriteString(n, s.extra)
		time.Sleep(10 * time.Millisecond)
	case withAnswer:
		own = s.extra + own
	case inTwoParts:
		_, _ = io.WriteString(n, s.extra[:20])
		time.Sleep(10 * time.Millisecond)
		own = s.extra[20:] + own
	}
	_, _ = io.WriteString(n, own)
}

// signalBody is a body of one byte whose first read, after the head is written, lets the server write and waits until that has arrived.
type signalBody struct {
	begun chan struct{}
	once  sync.Once
	rest  strings.Reader
}

func (b *signalBody) Read(p []byte) (int, error) {
	b.once.Do(func() {
		close(b.begun)
		time.Sleep(20 * time.Millisecond)
	})
	return b.rest.Read(p)
}

func (b *signalBody) Close() error { return nil }

// platformOptions are those of an interface whose backend servers name the request in their answers.
func platformOptions() []Option {
	return []Option{
		WithForeign(func(r *http.Request, p *http.Response) bool {
			got := p.Header.Get(headerAttempt)
			return got != "" && got != r.Header.Get(headerAttempt)
		}),
		WithEcho(func(r *http.Request, p *http.Response) bool {
			return p.Header.Get(headerAttempt) == r.Header.Get(headerAttempt)
		}),
		WithAnswerCheck(func(p *http.Response) *outcome.Failure {
			if p.Header.Get(headerNotRun) == "" {
				return nil
			}
			return &outcome.Failure{Code: outcome.Overload, Kind: outcome.NotRun, Status: 503}
		}),
		WithBufferedAnswers(1 << 10),
	}
}

// Guards against a request that runs while its caller is told "not run, try again": a backend server writes an earlier refusal once
// more on a kept connection. The extra refusal names the earlier request, the same one (which is sent again) or none.
func TestRepeatedRefusal(t *testing.T) {
	interim := strings.Replace(refusalText("1"), "503 Service Unavailable", "103 Early Hints", 1)
	interim = strings.Replace(interim, "Content-Length: 4\r\n\r\nfull", "\r\n", 1)
	switching := strings.Replace(interim, "103 Early Hints", "101 Switching Protocols", 1)
	unnamed := strings.Replace(switching, headerAttempt+": 1\r\n", "", 1)
	for _, when := range []string{whileIdle, beforeBody, afterRequest, withAnswer, inTwoParts} {
		for _, c := range []struct{ name, first, extra, second, on string }{
			{"refused, earlier id", refusalText("1"), refusalText("1"), "2", "platform"},
			{"refused, no id", refusalText("1"), refusalText(""), "2", "platform"},
			{"refused, same id", refusalText("1"), refusalText("1"), "1", "platform"},
			{"answered, earlier id", answerText("1", "first"), refusalText("1"), "2", "platform"},
			{"answered, no id", answerText("1", "first"), refusalText(""), "2", "platform"},
			{"answered, interim answer", answerText("1", "first"), interim, "2", "platform"},
			{"answered, other protocol", answerText("1", "first"), switching, "2", "platform"},
			{"answered, other protocol, no id", answerText("1", "first"), unnamed, "2", "platform"},
			{"refused", refusalText(""), refusalText(""), "2", "product"},
			{"refused, interim answer", refusalText(""), interim, "2", "product"},
		} {
			t.Run(c.on+"/"+c.name+"/"+when, func(t *testing.T) { checkRepeated(t, when, c.first, c.extra, c.second, c.on == "platform") })
		}
	}
}

func checkRepeated(t *testing.T, when, first, extra, second string, platform bool) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s := &repeater{first: first, extra: extra, when: when, begun: make(chan struct{})}
	go s.accept(l)
	var opts []Option
	if platform {
		opts = platformOptions()
	}
	b := New(opts...)
	defer func() { _ = b.Close() }()
	a := Announcement{Service: "counter", Endpoint: "a", Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 2, Connections: 1}
	if f := b.Announce(a); f != nil {
		t.Fatal(f)
	}
	_ = describeCall(b, t, call("/x", headerAttempt, "1"))
	time.Sleep(15 * time.Millisecond) // the connection is idle
	r := call("/x", headerAttempt, second)
	r.Body, r.ContentLength = &signalBody{begun: s.begun, rest: *strings.NewReader("b")}, 1
	got := describeCall(b, t, r)
	if s.ran.Load() > 0 && (strings.HasPrefix(got, "notrun") || strings.HasPrefix(got, "503")) {
		t.Errorf("got %q for a request that ran, want its answer or an unknown outcome", got)
	}
	if got != "200 second" && !strings.HasPrefix(got, "unknown") && !strings.HasPrefix(got, "notrun") {
		t.Errorf("got %q, want the answer to the request or a failure", got)
	}
}

// describeCall sends a call and returns the kind of its failure, or the status and body of its answer.
func describeCall(b *Backend, t *testing.T, r *http.Request) string {
	p, err := b.Do(t.Context(), testMeta("c"), r)
	var f *outcome.Failure
	if errors.As(err, &f) {
		return string(f.Kind)
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(p.Body)
	if err != nil {
		return string(outcome.Unknown) + ", broken"
	}
	return fmt.Sprintf("%d %s", p.StatusCode, body)
}

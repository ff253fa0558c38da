package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/io/hop"
)

// Guards against a request that is cut at the end of a stop without a line that says what it was waiting for, and against
// requests that stay in the set after their end.
func TestInFlight(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
	tests := []struct {
		name, request, reason string
		body, sent            bool // times that are known
	}{
		{"incomplete body", head + "5\r\n\r\nhel", CutBody, false, false},
		{"claim", head + "5\r\nIdempotency-Key: k\r\n\r\nhello", CutUnsent, true, false},
		{"endpoint at work", head + "0\r\n\r\n", CutRunning, true, true},
		{"answer begun", head + "5\r\n\r\nhello", CutAnswer, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ready, release := make(chan struct{}), make(chan struct{})
			wait := func(reason string) {
				if reason == tt.reason {
					close(ready)
					<-release
				}
			}
			m := newMesh(t, 1, config.Route{Name: "r", Service: "counter", Deadline: 5 * time.Second},
				WithPick(func(PickRequest) (config.Endpoint, string, error) {
					return config.Endpoint{Service: "counter", Name: "e0", Node: "upper-1"}, "next", nil
				}),
				WithSend(func(context.Context, config.Endpoint, hop.Meta, *http.Request) (*http.Response, error) {
					wait(CutRunning)
					body := &blockedBody{Reader: strings.NewReader("x"), wait: func() { wait(CutAnswer) }}
					return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: -1}, nil
				}),
				WithClaim(func(context.Context, Claim) (ClaimAnswer, error) {
					wait(CutUnsent)
					return ClaimAnswer{}, storeError{}
				}, nil, func(context.Context, Claim) error { return nil }))
			n, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = n.Close() }()
			if _, err = io.WriteString(n, tt.request); err != nil {
				t.Fatal(err)
			}
			if tt.reason != CutBody {
				<-ready
			}
			awaitInFlight(t, m.handler, func(p []*Request) bool { return len(p) == 1 && p[0].route() == "r" })
			got := m.handler.inFlight.Cut()
			if len(got) != 1 || got[0].Reason() != tt.reason || got[0].Body.IsZero() == tt.body || got[0].Sent.IsZero() == tt.sent {
				t.Errorf("got %+v, want one request, reason %s, body known %v, sent %v", got, tt.reason, tt.body, tt.sent)
			}
			if tt.sent && (got[0].Endpoint != "counter/e0" || got[0].Host != "upper-1" || got[0].Attempts != 1) {
				t.Errorf("got %+v, want one attempt at endpoint counter/e0 on host upper-1", got[0])
			}
			close(release)
			_ = n.Close()
			awaitInFlight(t, m.handler, func(p []*Request) bool { return len(p) == 0 })
		})
	}
}

// blockedBody waits before it is read.
type blockedBody struct {
	io.Reader
	wait func()
}

// Read waits once and reads.
func (b *blockedBody) Read(p []byte) (int, error) {
	if b.wait != nil {
		b.wait()
		b.wait = nil
	}
	return b.Reader.Read(p)
}

// Close does nothing.
func (b *blockedBody) Close() error { return nil }

func (r *Request) route() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.Route
}

func awaitInFlight(t *testing.T, h *Handler, ok func([]*Request) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var all []*Request
		h.inFlight.visit(func(r *Request) { all = append(all, r) })
		if ok(all) {
			return
		}
	}
	t.Fatal("the set did not get the expected requests in flight")
}

// Guards against a request that is counted as answered and, since it ended while the stop was cut, once more as cut.
func TestInFlightEnded(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprint(ended), func(t *testing.T) {
			var f InFlight
			var r Request
			f.Add(&r, Progress{Call: "c"})
			if ended && r.end() {
				t.Error("the request ended as cut, want it not cut")
			}
			want := 1
			if ended {
				want = 0
			}
			if got := len(f.Cut()); got != want {
				t.Errorf("cut: got %d requests, want %d", got, want)
			}
			if got := r.end(); got == ended {
				t.Errorf("cut before its end: got %v, want %v", got, !ended)
			}
		})
	}
}

// BenchmarkInFlight measures what the set adds to a request: Add, the four changes of a usual request, the end and Remove.
func BenchmarkInFlight(b *testing.B) {
	var f InFlight
	now := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		r := new(Request)
		for pb.Next() {
			f.Add(r, Progress{Call: "c", Began: now})
			r.Update(func(p *Progress) { p.Route, p.Deadline = "r", now })
			r.Update(func(p *Progress) { p.Body = now })
			r.Update(func(p *Progress) { p.Endpoint, p.Host, p.Sent = "e", "h", now })
			r.Update(func(p *Progress) { p.Answered = true })
			r.end()
			r.Remove()
		}
	})
}

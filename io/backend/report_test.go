package backend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"godwitspindle/core/capacity"
	"godwitspindle/core/outcome"
)

// Guards against a load report that is not passed on because its answer is a refusal, or that is passed on for a process that has
// meanwhile been replaced.
func TestLoadReport(t *testing.T) {
	var mu sync.Mutex
	var got []string
	var b *Backend
	var address netip.AddrPort
	announce := func(incarnation uint64) {
		if f := b.Announce(Announcement{Service: "counter", Endpoint: "a", Address: address, Slots: 4, Connections: 4, Incarnation: incarnation}); f != nil {
			t.Fatal(f)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[headerLoad] = r.Header["X-Load"]
		switch r.URL.Path {
		case "/refused":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/replaced":
			announce(2)
		}
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	address = netip.MustParseAddrPort(server.Listener.Addr().String())
	b = New(
		WithLoadReported(func(a Announcement, r capacity.Report) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, fmt.Sprint(a.Incarnation, r))
		}),
		WithBufferedAnswers(1<<10),
		WithAnswerCheck(func(p *http.Response) *outcome.Failure {
			if p.StatusCode == http.StatusServiceUnavailable {
				return &outcome.Failure{Code: outcome.Overload, Kind: outcome.NotRun, Status: p.StatusCode}
			}
			return nil
		}),
	)
	defer func() { _ = b.Close() }()
	announce(1)
	for i, c := range []struct{ path, load, want string }{
		{"/x", "1,0,4,100", "[1 {1 0 4 100 false}]"},
		{"/x", "1,0,4", "[1 {1 0 4 0 false}]"},
		{"/x", "1,0,-4,100", "[1 {0 0 0 0 true}]"},
		{"/x", "", "[]"},
		{"/refused", "4,2,4,250", "[1 {4 2 4 250 false}]"},
		{"/replaced", "1,0,4,100", "[]"},
	} {
		r := call(c.path, "X-Load", c.load)
		if c.load == "" {
			r.Header.Del("X-Load")
		}
		p, err := b.Do(t.Context(), testMeta(fmt.Sprint(i)), r)
		if err == nil {
			_, _ = io.Copy(io.Discard, p.Body)
			_ = p.Body.Close()
			if p.Header.Get(headerLoad) != "" {
				t.Errorf("%s %q: got %q for the caller, want no load report", c.path, c.load, p.Header.Get(headerLoad))
			}
		}
		mu.Lock()
		if s := fmt.Sprint(got); s != c.want {
			t.Errorf("%s %q: got %s, want %s", c.path, c.load, s, c.want)
		}
		got = nil
		mu.Unlock()
	}
}

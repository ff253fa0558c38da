package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stop that reports its listener as closed while connections are still accepted, or that reports requests as cut
// only after their connections were closed, when they no longer count as running.
func TestShutdownReported(t *testing.T) {
	for name, c := range map[string]struct {
		grace time.Duration
		cuts  int32
	}{
		"request ends in time": {5 * time.Second, 0},
		"request is cut":       {50 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var address atomic.Value
			var running, cuts, closes atomic.Int32
			started, release := make(chan struct{}), make(chan struct{})
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				defer running.Add(-1)
				close(started)
				select {
				case <-release:
				case <-r.Context().Done():
				}
			})
			s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), handler, WithShutdown(func(connections int) {
				closes.Add(1)
				if connections != 1 {
					t.Errorf("open connections at the close: got %d, want 1", connections)
				}
				if n, err := net.DialTimeout("tcp", address.Load().(string), time.Second); err == nil {
					_ = n.Close()
					t.Error("a connection was accepted after the listener was reported as closed")
				}
			}, func() {
				cuts.Add(1)
				if got := running.Load(); got != 1 {
					t.Errorf("requests running before the cut: got %d, want 1", got)
				}
			}))
			if err != nil {
				t.Fatal(err)
			}
			address.Store(s.Address().String())
			n, err := net.Dial("tcp", s.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = n.Close() }()
			_, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			<-started
			ctx, cancel := context.WithTimeout(context.Background(), c.grace)
			defer cancel()
			if c.cuts == 0 {
				time.AfterFunc(100*time.Millisecond, func() { close(release) })
			}
			_ = s.Shutdown(ctx, time.Time{})
			if got := closes.Load(); got != 1 {
				t.Errorf("reports of the close: got %d, want 1", got)
			}
			if got := cuts.Load(); got != c.cuts {
				t.Errorf("reports of the cut: got %d, want %d", got, c.cuts)
			}
		})
	}
}

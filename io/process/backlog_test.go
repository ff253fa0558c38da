package process

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against a planned stop that resets connections in the backlog of a listener or drops a request that was read late. A
// request that was sent before the stop must get its whole answer or a refused connection.
func TestShutdownBacklog(t *testing.T) {
	limits := DefaultLimits()
	limits.Connections = 1 << 20
	var wait sync.WaitGroup // for the clients of all servers, since those that connect late learn of the close only after a second
	for range 10 {
		s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
		}), WithLimits(limits))
		if err != nil {
			t.Fatal(err)
		}
		var stopped atomic.Bool
		for range 16 {
			wait.Go(func() {
				c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
				for {
					late := stopped.Load()
					p, err := c.Get("http://" + s.Address().String())
					if err != nil && (late || errors.Is(err, syscall.ECONNREFUSED)) {
						return
					}
					if err != nil {
						t.Errorf("call before the shutdown: got %v, want an answer", err)
						return
					}
					_, _ = io.Copy(io.Discard, p.Body)
					_ = p.Body.Close()
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		stopped.Store(true)
		if err := s.Shutdown(context.Background(), time.Time{}); err != nil {
			t.Errorf("shutdown: got %v, want none", err)
		}
	}
	wait.Wait()
}

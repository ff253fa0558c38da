package process

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// flood connects again and again until the end and returns how many established connections got no answer, and the time at which the
// last one was asked for.
func flood(address string, end time.Time) (unanswered int, last time.Time) {
	for time.Now().Before(end) {
		asked := time.Now()
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			continue
		}
		last = asked
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if got, err := io.ReadAll(c); err != nil || len(got) == 0 {
			unanswered++
		}
		_ = c.Close()
	}
	return unanswered, last
}

// Guards against a listener that stays open during a planned stop because clients connect without a pause, and against established
// connections that its close resets before their request was read.
func TestFloodWhileStopping(t *testing.T) {
	tests := []struct {
		name    string
		keepOut func(net.Listener) error
		want    int64 // connections without an answer; negative for any number
	}{
		{"handshakes kept out", dropHandshakes, 0},
		{"handshakes not kept out", func(net.Listener) error { return errors.ErrUnsupported }, -1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for range 3 {
				stopInFlood(t, c.keepOut, c.want)
			}
		})
	}
}

func stopInFlood(t *testing.T, keepOut func(net.Listener) error, want int64) {
	t.Helper()
	const clients = 16
	entered, release := make(chan struct{}), make(chan struct{})
	var closed, bound atomic.Value // the time of the close, and the time of a timer that begins with the stop
	limits := DefaultLimits()
	limits.Connections = 1 << 20
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(entered)
			<-release
		}
		_, _ = io.WriteString(w, "whole")
	}), WithLimits(limits), WithShutdown(func(int) { closed.Store(time.Now()) }, func() {}))
	if err != nil {
		t.Fatal(err)
	}
	var kept error
	var begun time.Time // the machine may be busy, so that the stop begins later than it is asked for
	s.listener.keepOut = func(l net.Listener) error {
		begun = time.Now()
		kept = keepOut(l)
		return kept
	}
	held := make(chan string)
	go func() { held <- exchange(t, s, "GET /held HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") }()
	<-entered
	start := time.Now().Add(20 * time.Millisecond)
	var wait sync.WaitGroup
	var unanswered, latest atomic.Int64
	for range clients {
		wait.Go(func() {
			lost, last := flood(s.Address().String(), start.Add(5*maxBacklogTime))
			unanswered.Add(int64(lost))
			for late := last.UnixNano(); ; {
				if old := latest.Load(); late <= old || latest.CompareAndSwap(old, late) {
					return
				}
			}
		})
	}
	time.Sleep(time.Until(start))
	stopped := make(chan error, 1)
	go func() {
		time.AfterFunc(maxBacklogTime, func() { bound.Store(time.Now()) })
		stopped <- s.Shutdown(t.Context(), time.Time{})
	}()
	wait.Wait()
	close(release)
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: got %v, want none", err)
	}
	if got := <-held; got == "" {
		t.Error("running request: got no answer, want one")
	}
	last := time.Unix(0, latest.Load())
	checkClose(t, begun, closed.Load().(time.Time), bound.Load().(time.Time), last)
	if got := unanswered.Load(); want >= 0 && got > want {
		t.Errorf("established connections without an answer: got %d, want %d", got, want)
	}
	if want >= 0 && kept != nil {
		t.Errorf("handshakes: got %v, want them kept out", kept)
	}
	t.Logf("last connection after %v, %d without an answer", last.Sub(begun), unanswered.Load())
}

// checkClose checks the time of a listener's close against a timer that fired at bound, and the time at which the last established
// connection was asked for.
func checkClose(t *testing.T, begun, closed, bound, last time.Time) {
	t.Helper()
	const slack = 150 * time.Millisecond
	if atMost := bound.Add(slack); closed.After(atMost) {
		t.Errorf("listener closed: got %v after the stop began, want at most %v", closed.Sub(begun), atMost.Sub(begun))
	}
	if last.After(closed) {
		t.Errorf("last connection: got one that was asked for %v after the listener closed, want none", last.Sub(closed))
	}
}

package backend

import (
	"context"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"
	"godwitspindle/io/standin"
)

// Guards against a call that waits for a connection to its backend server and is sent although a stopping node has withdrawn it, or
// although the stop of this node leaves too little time for it meanwhile; and against a connection that stays taken after the refusal.
func TestWaitForConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		while func(b *Backend, stop *shutdown.Stop) // what happens while the call waits
		runs  bool
	}{
		{"nothing", func(*Backend, *shutdown.Stop) {}, true},
		{"withdrawn", func(b *Backend, _ *shutdown.Stop) {
			if b.Withdraw(hop.Withdrawn{Endpoint: "counter/a", Call: "first"}) {
				t.Error("got the call that runs withdrawn, want it unchanged")
			}
			if !b.Withdraw(hop.Withdrawn{Endpoint: "counter/a", Call: "second"}) {
				t.Error("got no call withdrawn, want the one that waits")
			}
		}, false},
		{"notice has ended", func(_ *Backend, stop *shutdown.Stop) { stop.Begin(time.Now()) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			stop := shutdown.New(shutdown.WithNotice(0), shutdown.WithGrace(3*time.Second))
			b, s := start(t, []Option{WithStop(func(_ context.Context, now time.Time, w shutdown.Work) shutdown.Decision { return stop.Decide(now, w) })}, standin.WithSlots(1, 1), standin.WithLatency(200*time.Millisecond))
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			do := func(id string) chan error {
				ended := make(chan error, 1)
				go func() {
					p, err := b.Do(ctx, testMeta(id), call("/passes"))
					if err == nil {
						_ = p.Body.Close()
					}
					ended <- err
				}()
				return ended
			}
			first := do("first")
			waitUntil(t, "the first call runs", func() bool { return s.Served() == 1 })
			second := do("second")
			waitUntil(t, "the second call waits", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return len(b.connecting) == 1
			})
			c.while(b, stop)
			err, runs := <-second, uint64(1)
			if c.runs {
				runs = 2
			}
			if c.runs && err != nil {
				t.Errorf("got %v, want an answer", err)
			}
			if !c.runs {
				wantFailure(t, err, outcome.Draining, outcome.NotRun)
			}
			if err := <-first; err != nil {
				t.Errorf("running call: got %v, want its answer", err)
			}
			e := b.endpoints["counter/a"]
			if s.Served() != runs || len(b.connecting) != 0 || len(e.pool.tokens) != 0 || b.running != 0 {
				t.Errorf("got %d runs, %d calls waiting, %d connections taken, %d calls in flight, want %d, 0, 0, 0",
					s.Served(), len(b.connecting), len(e.pool.tokens), b.running, runs)
			}
		})
	}
}

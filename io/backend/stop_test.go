package backend

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"
)

// Guards against a call of another node, or of a local backend server, that begins so late in a planned stop that it is cut, also if
// the time passes in the admission queue; and against a slot that stays taken after the refusal.
func TestStop(t *testing.T) {
	tests := []struct {
		name      string
		arrives   time.Duration // after the beginning of the stop
		queued    time.Duration // in the admission queue
		deadline  time.Duration // after the arrival
		objective time.Duration
		runs      uint64
	}{
		{"notice", time.Second, 0, 8 * time.Second, 500 * time.Millisecond, 1},
		{"objective has passed", time.Second, 0, 8 * time.Second, -time.Second, 1},
		{"objective after the end", time.Second, 0, 8 * time.Second, 5 * time.Second, 0},
		{"after the notice", 3 * time.Second, 0, 8 * time.Second, 0, 0},
		{"after the notice, deadline fits", 3 * time.Second, 0, 2 * time.Second, 0, 1},
		{"queued over the end of the notice", 2 * time.Second, time.Second, 8 * time.Second, 0, 0},
		{"queued over the end of the notice, deadline fits", 2 * time.Second, time.Second, 3 * time.Second, 0, 1},
		{"queued in the notice", time.Second, time.Second, 8 * time.Second, 0, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			stop := shutdown.New(shutdown.WithNotice(2500*time.Millisecond), shutdown.WithGrace(3*time.Second))
			begin, slots := time.Now(), 0
			var passed atomic.Int64
			b, s := start(t, []Option{
				WithStop(func(_ context.Context, now time.Time, w shutdown.Work) shutdown.Decision { return stop.Decide(now, w) }),
				WithNow(func() time.Time { return begin.Add(time.Duration(passed.Load())) }),
				WithAdmit(func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure) {
					passed.Add(int64(c.queued))
					slots++
					return func(Result) { slots-- }, nil
				}),
			})
			stop.Begin(begin)
			passed.Store(int64(c.arrives))
			m := testMeta("a")
			m.Objective = c.objective
			ctx, cancel := context.WithDeadline(t.Context(), begin.Add(c.arrives+c.deadline))
			defer cancel()
			p, err := b.Do(ctx, m, call("/passes"))
			if c.runs == 0 {
				wantFailure(t, err, outcome.Draining, outcome.NotRun)
			} else if err != nil {
				t.Fatalf("got %v, want an answer", err)
			} else {
				_ = p.Body.Close()
			}
			if s.Served() != c.runs || slots != 0 {
				t.Errorf("got %d runs and %d slots in use, want %d and none", s.Served(), slots, c.runs)
			}
		})
	}
}

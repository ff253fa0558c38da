package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
)

// Guards against a leader whose clock is far ahead and that expires all claims and change ids, at once or gradually over many
// commands, and against state time that cannot advance after a long outage.
func TestStamp(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name            string
		observed, clock time.Duration // observed state time and own clock, as time after start
		majority        time.Duration // time that a majority of the clocks has reached, as time after start; negative if not known
		want            time.Duration // stamp, as time after start
	}{
		{"clocks agree", 0, time.Minute, time.Minute, time.Minute},
		{"own clock ahead, majority not known", 0, 100 * time.Hour, -1, maxAhead},
		{"own clock ahead of the majority", 0, 100 * time.Hour, 0, maxAhead},
		{"long outage, majority agrees", 0, 100 * time.Hour, 99 * time.Hour, 99 * time.Hour},
		{"own clock behind", time.Hour, time.Minute, time.Hour, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s stamper
			now, clock := time.Unix(5, 0), start.Add(tt.clock)
			s.observe(now, start.Add(tt.observed))
			majority := time.Time{}
			if tt.majority >= 0 {
				majority = start.Add(tt.majority)
			}
			for range 100 {
				if got := s.stamp(now, clock, majority).Sub(start); got != tt.want {
					t.Fatalf("stamp: got start + %s, want start + %s", got, tt.want)
				}
			}
			if tt.majority >= 0 {
				return
			}
			if got, want := s.stamp(now.Add(time.Hour), clock, majority).Sub(start), tt.want+time.Hour; got != want {
				t.Errorf("stamp an hour later: got start + %s, want start + %s", got, want)
			}
		})
	}
}

// Guards against state time that jumps with a leader's clock, in a group of three with real elections; the leader's own
// commands must not extend its limit.
func TestWrongClock(t *testing.T) {
	var ahead, others, newest atomic.Int64 // offsets of the wrong clock and of the others, in ns; latest time of a command, in ms
	var wrong atomic.Pointer[string]       // name of the replica with the wrong clock
	g := newGroup(t, threeNames, WithPeerClock(func(string) (time.Time, bool) { return time.Now().Add(time.Duration(others.Load())), true }))
	for _, n := range threeNames {
		_ = g.members[n].Close()
	}
	base := g.opts
	for _, n := range threeNames {
		g.opts = append(base[:len(base):len(base)], WithWallClock(func() time.Time {
			if w := wrong.Load(); w != nil && *w == n {
				return time.Now().Add(time.Duration(ahead.Load()))
			}
			return time.Now()
		}), WithApply(func(_ uint64, c *wire.Command) *wire.Result {
			newest.Store(max(newest.Load(), c.GetTime()))
			return &wire.Result{}
		}), WithVersion(nil))
		g.start(n, t.TempDir())
	}
	l := g.leader()
	g.propose(l, 3)
	name := agreement.Name(l.ID())
	ahead.Store(int64(100 * time.Hour))
	wrong.Store(&name)
	g.propose(l, 50)
	if got := time.Until(time.UnixMilli(newest.Load())); got > maxAhead+time.Second {
		t.Errorf("state time with one clock 100 h ahead: got %s ahead, want at most %s", got, maxAhead)
	}
	others.Store(int64(99 * time.Hour))
	g.propose(l, 1)
	if got := time.Until(time.UnixMilli(newest.Load())); got < 98*time.Hour {
		t.Errorf("state time when a majority of clocks moved on: got %s ahead, want 99 h", got)
	}
}

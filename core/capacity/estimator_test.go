package capacity

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

type ending struct {
	at, took time.Duration
	begun    Start
	kind     string
}

type endings []ending

func (v endings) Len() int           { return len(v) }
func (v endings) Less(i, j int) bool { return v[i].at < v[j].at }
func (v endings) Swap(i, j int)      { v[i], v[j] = v[j], v[i] }
func (v *endings) Push(x any)        { *v = append(*v, x.(ending)) }
func (v *endings) Pop() any {
	last := (*v)[len(*v)-1]
	*v = (*v)[:len(*v)-1]
	return last
}

// endpoint is a simulated endpoint of 12 slots that calls arrive at in waves. A call that finds as many calls as the estimator's limit is
// dropped.
type endpoint struct {
	estimator *Estimator
	random    *rand.Rand
	rate      float64                             // calls per second in the mean
	slowdown  func(at time.Duration) float64      // by which work takes longer than usual
	pace      func(at time.Duration) int          // as reported, 0 for no report
	crowded   func(running int) float64           // by which work takes longer because of other calls
	watch     func(at time.Duration, running int) // called after each call that has ended; may be nil
}

func newEndpoint(seed uint64) *endpoint {
	e := &endpoint{
		estimator: New(12), random: rand.New(rand.NewPCG(seed, 3)), rate: 35,
		slowdown: func(time.Duration) float64 { return 1 },
		crowded:  func(int) float64 { return 1 },
	}
	e.pace = func(at time.Duration) int { return int(100 * e.slowdown(at)) }
	return e
}

func (e *endpoint) run(from, until time.Duration) {
	var running endings
	for at := from; at < until; {
		at += time.Duration(e.random.ExpFloat64() / (1.55 * e.rate) * float64(time.Second))
		for len(running) > 0 && running[0].at <= at {
			n := heap.Pop(&running).(ending)
			now := start.Add(n.at)
			if p := e.pace(n.at); p > 0 {
				e.estimator.Report(now, Report{Running: len(running), Slots: 12, Pace: p})
			}
			e.estimator.Observe(now, n.kind, n.took, n.begun, len(running)+1)
			if e.watch != nil {
				e.watch(n.at, len(running)+1)
			}
		}
		e.estimator.Advance(start.Add(at))
		if e.random.Float64()*1.55 > 1+0.55*math.Sin(2*math.Pi*at.Seconds()/13) || len(running) >= e.estimator.Limit() {
			continue
		}
		work, kind := 190*time.Millisecond, "read"
		if e.random.IntN(3) == 0 {
			work, kind = 55*time.Millisecond, "nested"
		}
		took := float64(work) * math.Exp(0.4*e.random.NormFloat64()) * e.slowdown(at) * e.crowded(len(running)+1)
		if e.random.Float64() < 0.03 {
			took *= 7
		}
		heap.Push(&running, ending{at + time.Duration(took), time.Duration(took), e.estimator.Start(len(running) + 1), kind})
	}
}

// spells returns the slowdown of an endpoint that takes 2.5 times as long for 600 ms of each 4 s.
func spells(at time.Duration) float64 {
	if at%(4*time.Second) >= 3400*time.Millisecond {
		return 2.5
	}
	return 1
}

// step returns the slowdown of an endpoint that takes factor times as long from one time to another.
func step(from, until time.Duration, factor float64) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor
		}
		return 1
	}
}

// Load pattern: demand in waves, an endpoint that slows down and recovers. Guards against an estimate that follows neither within
// seconds, that believes a report which contradicts what is observed, and that changes without a cause.
func TestSlowdown(t *testing.T) {
	type bounds struct {
		at        time.Duration
		low, high float64
	}
	usual := func(time.Duration) int { return 100 }
	tests := []struct {
		name     string
		slowdown func(at time.Duration) float64
		pace     func(at time.Duration) int // nil if it is the slowdown
		want     []bounds                   // of Slowdown
	}{
		{"reported", step(10*time.Second, 11*time.Second, 2.5), nil, []bounds{{9900 * time.Millisecond, 0.7, 1.4}, {10800 * time.Millisecond, 1.6, 4}, {13 * time.Second, 0.6, 1.4}}},
		{"not reported", step(10*time.Second, 14*time.Second, 2.5), usual, []bounds{{9900 * time.Millisecond, 0.7, 1.4}, {11500 * time.Millisecond, 1.4, 4}, {17 * time.Second, 0.5, 1.4}}},
		{"cold start", step(0, 3*time.Second, 2), usual, []bounds{{8 * time.Second, 0.4, 1.4}}},
		{"reported slow, as usual", step(0, 0, 1), func(at time.Duration) int {
			if at%(2*time.Second) < time.Second {
				return 1000
			}
			return 100
		}, []bounds{{20500 * time.Millisecond, 0.6, 1.6}, {30500 * time.Millisecond, 0.6, 1.6}}},
		{"reported fast, as usual", step(0, 0, 1), func(at time.Duration) int {
			if at%(2*time.Second) < time.Second {
				return 10
			}
			return 100
		}, []bounds{{20500 * time.Millisecond, 0.6, 1.6}, {30500 * time.Millisecond, 0.6, 1.6}}},
		{"report lost in a spell", step(10*time.Second, 10500*time.Millisecond, 2.5), func(at time.Duration) int {
			if at > 10500*time.Millisecond {
				return 0
			}
			return int(100 * step(10*time.Second, 11*time.Second, 2.5)(at))
		}, []bounds{{15 * time.Second, 0.6, 1.4}}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				e := newEndpoint(seed)
				e.rate, e.slowdown = 60, c.slowdown
				if c.pace != nil {
					e.pace = c.pace
				}
				from := time.Duration(0)
				for _, b := range c.want {
					e.run(from, b.at)
					from = b.at
					if got := e.estimator.Slowdown(1); got < b.low || got > b.high {
						t.Errorf("seed %d, at %s: slowdown: got %.2f, want %.2f to %.2f", seed, b.at, got, b.low, b.high)
					}
				}
			}
		})
	}
}

// Guards against a reported pace that counts for long after reports have ended, for example because the endpoint gets no calls.
func TestReportDecays(t *testing.T) {
	e := New(12)
	for i := range 400 {
		e.Report(start.Add(time.Duration(i)*10*time.Millisecond), Report{Slots: 12, Pace: 100})
	}
	last := start.Add(4 * time.Second)
	e.Report(last, Report{Slots: 12, Pace: 250})
	for _, c := range []struct {
		after     time.Duration
		low, high float64
	}{{0, 2.2, 2.6}, {400 * time.Millisecond, 2.2, 2.6}, {3 * time.Second, 1, 1.1}} {
		e.Advance(last.Add(c.after))
		if got := e.Slowdown(1); got < c.low || got > c.high {
			t.Errorf("%s after the last report: slowdown: got %.2f, want %.1f to %.1f", c.after, got, c.low, c.high)
		}
	}
}

// Load pattern: waves at half of, near and far above the capacity of endpoints that slow down from half of their slots on, or only when
// they are full. Guards against a limit that overloads the former, and against one that wastes the latter because calls that run long
// run beside many others.
func TestLimit(t *testing.T) {
	tests := []struct {
		knee, rate, low, high float64 // bounds on the mean limit after 10 s
	}{
		{12, 30, 11.5, 12},
		{12, 60, 11.3, 12},
		{12, 150, 11.3, 12},
		{6, 50, 6, 10.5},
		{6, 75, 6, 9.5},
		{6, 150, 6, 9},
	}
	for _, c := range tests {
		t.Run(fmt.Sprintf("knee %v rate %v", c.knee, c.rate), func(t *testing.T) {
			const seeds = 8
			sum := 0.0
			for seed := range uint64(seeds) {
				e := newEndpoint(seed)
				e.rate, e.slowdown = c.rate, spells
				e.crowded = func(n int) float64 { return max(1, float64(n)/c.knee) }
				total, n := 0, 0
				e.watch = func(at time.Duration, _ int) {
					if at > 10*time.Second {
						total, n = total+e.estimator.Limit(), n+1
					}
				}
				e.run(0, 40*time.Second)
				sum += float64(total) / float64(n)
			}
			if got := sum / seeds; got < c.low || got > c.high {
				t.Errorf("mean limit: got %.1f, want %v to %v", got, c.low, c.high)
			}
		})
	}
}

// Guards against a fault of the backend server that is taken for a lack of capacity, which would refuse calls that it serves, and against
// calls that a full backend server refuses or resets again and again.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		refused func(running, n int) bool // whether the n-th call is refused with so many calls running
		reset   bool
		running func(n int) int // calls that run beside it, 0 for the limit
		low     int             // bounds on the limit after 400 calls
		high    int
	}{
		{"refuses half of its requests whatever the load", func(_, n int) bool { return n%2 == 0 }, false, func(n int) int { return n % 13 }, 11, 12},
		{"refuses half of its requests, always full", func(_, n int) bool { return n%2 == 0 }, false, func(int) int { return 0 }, 9, 12},
		{"refuses above nine", func(running, _ int) bool { return running > 9 }, false, func(int) int { return 0 }, 9, 10},
		{"resets above eight", func(running, _ int) bool { return running > 8 }, true, func(int) int { return 0 }, 6, 9},
		{"resets when idle", func(running, _ int) bool { return running < 4 }, true, func(n int) int { return n % 13 }, 12, 12},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			e := New(12)
			now := start
			for n := range 400 {
				now = now.Add(20 * time.Millisecond)
				e.Report(now, Report{Slots: 12, Pace: 100})
				running := c.running(n)
				if running == 0 || running > e.Limit() {
					running = e.Limit()
				}
				switch {
				case !c.refused(running, n):
					e.Observe(now, "read", 190*time.Millisecond, e.Start(running), running)
				case c.reset:
					e.Reset(now, running)
				default:
					e.Refused(now, running)
				}
			}
			if got := e.Capacity(); got < c.low || got > c.high {
				t.Errorf("limit: got %d, want %d to %d", got, c.low, c.high)
			}
		})
	}
}

// Guards against a limit of zero, or one that a false report alone brings down.
func TestFalseReports(t *testing.T) {
	e := New(12)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		e.Report(now, Report{Running: 1, Waiting: 1 << 20, Slots: 1, Pace: maxPace})
		e.Reset(now, 12)
		if got := e.Limit(); got < 6 {
			t.Fatalf("limit after %d reports: got %d, want at least half of the slots", i, got)
		}
	}
	e.Resize(1)
	e.Reset(start.Add(time.Minute), 1)
	if got := e.Limit(); got != 1 {
		t.Errorf("limit with one slot: got %d, want 1", got)
	}
}

// Measures the cost that the estimate adds to a call.
func BenchmarkCall(b *testing.B) {
	e := New(18)
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		s := e.Start(9)
		e.Report(now, Report{Running: 9, Slots: 18, Pace: 120})
		e.Observe(now, "read", 190*time.Millisecond, s, 9)
		_, _ = e.Expected("read", 9)
	}
}

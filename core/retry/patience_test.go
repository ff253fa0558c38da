package retry

import (
	"testing"
	"time"
)

// Guards against a request that comes again and is taken for a new one, which would be refused twice, and the reverse.
func TestPatience(t *testing.T) {
	tests := []struct {
		name    string
		route   string
		left    time.Duration
		elapsed time.Duration
		again   bool
	}{
		{"first of a route", "a", time.Second, 0, false},
		{"a moment on the way", "a", 990 * time.Millisecond, 10 * time.Millisecond, false},
		{"comes again", "a", 700 * time.Millisecond, 300 * time.Millisecond, true},
		{"callers who wait longer", "a", 2 * time.Second, 0, false},
		{"measured by them", "a", time.Second, time.Second, true},
		{"another route", "b", 700 * time.Millisecond, 0, false},
	}
	p := NewPatience()
	for _, c := range tests {
		elapsed, again := p.Elapsed(c.route, c.left)
		if elapsed != c.elapsed || again != c.again {
			t.Errorf("%s: got %v %v, want %v %v", c.name, elapsed, again, c.elapsed, c.again)
		}
	}
}

// Guards against retries of all nodes together above what the services bear: 17 nodes, each with its own budget.
func TestSharedBudget(t *testing.T) {
	const nodes, slack, ratio = 17, 62, 0.2
	for _, calls := range []int{0, 5, 40} { // of each node and second
		granted, requests := 0, 0
		for range nodes {
			b := NewBudgets(WithPercent(10), WithLeast(func() int64 { return Share(slack, nodes) })).Of("archive")
			for s := range 10 {
				now := start.Add(time.Duration(s) * time.Second)
				for range calls {
					b.Count(now)
					requests++
				}
				for range 50 {
					if b.Take(now) {
						granted++
					}
				}
			}
		}
		if want := int(ratio*float64(requests)) + slack; granted > want || granted == 0 {
			t.Errorf("%d calls a second: got %d retries for %d requests, want 1 to %d", calls, granted, requests, want)
		}
	}
}

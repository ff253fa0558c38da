package retry

import (
	"testing"
	"time"
)

// Guards against mistaking a resent request for a new one, which would be refused twice, and a new request for a resent one.
func TestElapsed(t *testing.T) {
	tests := []struct {
		name      string
		route     string
		remaining time.Duration
		elapsed   time.Duration
		resent    bool
	}{
		{"first of a route", "a", time.Second, 0, false},
		{"short network delay", "a", 990 * time.Millisecond, 10 * time.Millisecond, false},
		{"sent again", "a", 700 * time.Millisecond, 300 * time.Millisecond, true},
		{"callers who wait longer", "a", 2 * time.Second, 0, false},
		{"compared with the longer wait", "a", time.Second, time.Second, true},
		{"another route", "b", 700 * time.Millisecond, 0, false},
	}
	p := NewCallerWaits()
	for _, c := range tests {
		elapsed, resent := p.Elapsed(c.route, c.remaining)
		if elapsed != c.elapsed || resent != c.resent {
			t.Errorf("%s: got %v %v, want %v %v", c.name, elapsed, resent, c.elapsed, c.resent)
		}
	}
}

// Guards against refusing calls of backend servers as if the calls would be sent again, which fails the request that they are
// made for, and against taking callers that send refused requests again for callers that do not.
func TestReturns(t *testing.T) {
	tests := []struct {
		name         string
		resentPerTen int // number of resent requests for each ten that were refused
		want         bool
	}{
		{"nobody returns", 0, false},
		{"few return", 1, false},
		{"most return", 9, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := NewCallerWaits()
			p.Elapsed("a", time.Second)
			if !p.CallersReturn("a") {
				t.Error("before any refusal: got false, want true")
			}
			for i := range 500 {
				p.Refused("a")
				if i%10 < c.resentPerTen {
					p.Elapsed("a", 500*time.Millisecond)
				}
			}
			if got := p.CallersReturn("a"); got != c.want {
				t.Errorf("after 500 refusals: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a total of retries above the settings when 17 nodes each have their own budget.
func TestSharedBudget(t *testing.T) {
	const nodes, slack, ratio = 17, 62, 0.2
	for _, calls := range []int{0, 5, 40} { // number of calls per node and second
		granted, requests := 0, 0
		for range nodes {
			b := NewBudgets(WithPercent(10), WithMinimum(func() int64 { return SlackPerNode(slack, nodes) })).Of("archive")
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

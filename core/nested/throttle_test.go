package nested_test

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/nested"
)

const service = "store"

// clock drives a Throttle with one parent after another.
type clock struct {
	*nested.Throttle
	now time.Time
	n   int
}

func newClock() *clock { return &clock{Throttle: nested.New(), now: start} }

// run asks for a parent after a pause and, if it is admitted, runs it with calls of the given results.
func (c *clock) run(kind string, pause time.Duration, ok bool, results ...nested.Result) nested.Decision {
	c.now = c.now.Add(pause)
	d := c.Decide(c.now, kind)
	if !d.Admit {
		return d
	}
	c.n++
	id := fmt.Sprint(c.n)
	c.Start(c.now, id, kind)
	for _, r := range results {
		c.Observe(nested.Call{Parent: id, Service: service, Result: r})
	}
	c.End(c.now.Add(time.Millisecond), id, ok)
	return d
}

// admitted returns how many of n parents are admitted.
func (c *clock) admitted(n int, kind string, pause time.Duration, ok bool, results ...nested.Result) int {
	count := 0
	for range n {
		if c.run(kind, pause, ok, results...).Admit {
			count++
		}
	}
	return count
}

const pause = 20 * time.Millisecond

// Load pattern: 50 parents a second whose calls are refused or late for a while. Guards against parents that go on to run, against
// refusals without a time to return, and against parents that are refused more than a second after the recovery.
func TestRefusedCalls(t *testing.T) {
	for _, r := range []nested.Result{nested.Refused, nested.Late} {
		t.Run(r.String(), func(t *testing.T) {
			c := newClock()
			if got := c.admitted(100, "order", pause, true, nested.Served, nested.Served); got != 100 {
				t.Fatalf("admitted while all calls are served: got %d, want 100", got)
			}
			c.admitted(25, "order", pause, false, r)
			if got := c.admitted(100, "order", pause, false, r); got < 5 || got > 20 {
				t.Errorf("admitted of 100 while calls are not served: got %d, want 5 to 20", got)
			}
			d := c.run("order", pause, false, r)
			if d.Admit {
				d = c.run("order", pause, false, r) // at most one in ten is admitted, so not two in a row
			}
			if d.Admit || d.Service != service || d.RetryAfter < 100*time.Millisecond || d.RetryAfter > 2*time.Second {
				t.Errorf("refusal: got %+v, want service %s and a wait of 0.1 s to 2 s", d, service)
			}
			c.admitted(50, "order", pause, true, nested.Served, nested.Served)
			if got := c.admitted(50, "order", pause, true, nested.Served, nested.Served); got != 50 {
				t.Errorf("admitted of 50 from one second after the recovery: got %d, want 50", got)
			}
		})
	}
}

// Load pattern: calls fail for reasons of the endpoint, or a few are refused. Guards against throttling parents for failures that a
// lower load does not prevent, and for so few refusals that more parents would be refused than break.
func TestFewFailures(t *testing.T) {
	tests := []struct {
		name   string
		result nested.Result
		each   int // one run in each that many has the result
		ok     bool
	}{
		{"own failures of 0.4%", nested.Failed, 250, false},
		{"own failures of all", nested.Failed, 1, false},
		{"one in ten refused", nested.Refused, 10, false},
		{"one in 250 refused", nested.Refused, 250, false},
		{"all refused, but the runs do without the calls", nested.Refused, 1, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := newClock()
			for i := range 1000 {
				ok, r := true, nested.Served
				if i%v.each == 0 {
					ok, r = v.ok, v.result
				}
				if d := c.run("order", pause, ok, r); !d.Admit {
					t.Fatalf("parent %d: got %+v, want it admitted", i, d)
				}
			}
		})
	}
}

// Load pattern: eight parents a second. Guards against a throttle that does not notice refused calls at a low rate, and against one that
// admits so few parents that it does not notice the recovery.
func TestLowRate(t *testing.T) {
	const slow = 125 * time.Millisecond
	c := newClock()
	c.admitted(20, "order", slow, false, nested.Refused)
	if got := c.admitted(20, "order", slow, false, nested.Refused); got < 8 || got > 14 {
		t.Errorf("admitted of 20 while calls are refused: got %d, want 8 to 14, about one in 250 ms", got)
	}
	c.admitted(12, "order", slow, true, nested.Served)
	if got := c.admitted(20, "order", slow, true, nested.Served); got != 20 {
		t.Errorf("admitted of 20 after the recovery: got %d, want 20", got)
	}
}

// Failure: the node restarts while the downstream is overloaded. Guards against a new throttle that does not learn the shortage again.
func TestRestart(t *testing.T) {
	c := newClock()
	if got := c.admitted(50, "order", pause, false, nested.Refused); got < 4 || got > 25 {
		t.Errorf("admitted of the first 50: got %d, want 4 to 25", got)
	}
}

// Load pattern: silence after an overload. Guards against refusing the first parents for what was seen long ago.
func TestSilence(t *testing.T) {
	c := newClock()
	c.admitted(500, "order", pause/10, true, nested.Served) // so many that the kind is still known after the silence
	c.admitted(100, "order", pause, false, nested.Refused)
	c.now = c.now.Add(5 * time.Second)
	if got := c.admitted(4, "order", time.Millisecond, true, nested.Served); got != 4 {
		t.Errorf("admitted of 4 after 5 s of silence: got %d, want 4", got)
	}
}

// Guards against a run whose last call is not counted: the call ends for its node only after its last byte was written, and the run may
// end before that. Guards against counting calls of runs that are not known, or twice.
func TestCallEndsAfterRun(t *testing.T) {
	c := nested.New()
	c.Start(start, "a", "order")
	c.End(start, "a", true)
	c.Observe(nested.Call{Parent: "a", Service: service})
	c.Observe(nested.Call{Parent: "unknown", Service: service})
	c.End(start, "a", true)
	now := start.Add(100 * time.Millisecond)
	c.Decide(now, "order")
	if got := c.Usage(now, "order", service); got.Runs != 1 || got.Calling != 1 || got.Calls[nested.Served] != 1 {
		t.Errorf("usage: got %+v, want one run with one served call", got)
	}
}

// Guards against runs that count as broken, so that their time is not learned, although they succeed, fail for a reason of their own or
// got the refused call served by another try.
func TestBrokenRuns(t *testing.T) {
	tests := []struct {
		name    string
		ok      bool
		results []nested.Result
		want    bool
	}{
		{"success without the call", true, []nested.Result{nested.Refused}, false},
		{"call refused", false, []nested.Result{nested.Served, nested.Refused}, true},
		{"call late", false, []nested.Result{nested.Late}, true},
		{"served by another try", false, []nested.Result{nested.Refused, nested.Served}, false},
		{"call failed", false, []nested.Result{nested.Failed}, false},
		{"no call", false, nil, false},
	}
	for _, v := range tests {
		c := nested.New()
		c.Start(start, "a", "order")
		for _, r := range v.results {
			c.Observe(nested.Call{Parent: "a", Service: service, Result: r})
		}
		if got := c.End(start, "a", v.ok); got != v.want {
			t.Errorf("%s: got %v, want %v", v.name, got, v.want)
		}
	}
}

// Guards against memory that grows with the number of routes, services or runs that never end.
func TestBounds(t *testing.T) {
	c := nested.New()
	for i := range 20_000 {
		id := fmt.Sprint(i)
		c.Start(start, id, id)
		for j := range 100 {
			c.Observe(nested.Call{Parent: id, Service: fmt.Sprint(j), Result: nested.Refused})
		}
		if i%2 == 0 {
			c.End(start, id, false)
		}
	}
	kinds, services, runs := c.Sizes()
	if kinds > 256 || services > 256 || runs > 2048 {
		t.Errorf("got %d kinds, %d services and %d runs, want at most 256, 256 and 2048", kinds, services, runs)
	}
}

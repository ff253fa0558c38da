package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// onTime returns the share of the requests of a kind that got a response within their objective.
func onTime(r map[string]*tally, kind string) float64 {
	return float64(r[kind].onTime) / float64(r[kind].asked)
}

// Load pattern: most endpoints of a service are gone, so that each priority alone nearly fills the remaining capacity. Guards
// against starving the lower priority, and against serving it more often than the higher one.
func TestNoKindStarves(t *testing.T) {
	const (
		minShare       = 0.5  // minimum on-time share of the lower priority, as a fraction of the on-time share of all requests
		minUtilization = 0.75 // minimum share of the capacity spent on on-time responses
		maxInversion   = 0.05 // maximum excess of the on-time share of the lower priority over that of the higher one
	)
	for _, load := range []float64{1.5, 2, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			for seed := range uint64(5) {
				const length = 20 * time.Second
				r := simulateOverload(12, arrivals(seed, load, length), WithShares())
				high, low := onTime(r, "purchase"), onTime(r, "history")
				all := float64(r["purchase"].onTime+r["history"].onTime) / float64(r["purchase"].asked+r["history"].asked)
				if low < minShare*all {
					t.Errorf("seed %d: lower priority on time: got %.2f with %.2f of all requests, want at least half of that", seed, low, all)
				}
				if low > high+maxInversion {
					t.Errorf("seed %d: got %.2f of the lower priority on time and %.2f of the higher, want at most 0.05 more of the lower", seed, low, high)
				}
				work := r["purchase"].onTime*150 + r["history"].onTime*220 // milliseconds
				if got := float64(work) / float64(12*length.Milliseconds()); got < minUtilization {
					t.Errorf("seed %d: useful share of the capacity: got %.2f, want %.2f (%+v %+v)", seed, got, minUtilization, *r["purchase"], *r["history"])
				}
			}
		})
	}
}

// Guards against shares that reduce the on-time share of the higher priority although the capacity suffices for all requests.
func TestSharesWithRoom(t *testing.T) {
	for seed := range uint64(5) {
		r := simulateOverload(12, arrivals(seed, 0.7, 20*time.Second), WithShares())
		if got := onTime(r, "purchase"); got < 0.97 {
			t.Errorf("seed %d: higher priority on time: got %.2f, want 0.97 (%+v)", seed, got, *r["purchase"])
		}
	}
}

// Load pattern: running requests of other services call a service that its own callers overload. Guards against refusing or
// delaying these calls, which loses the work of the running requests.
func TestCallsUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 3))
		list := arrivals(seed, 2, 20*time.Second)
		for at := time.Duration(0); at < 20*time.Second; {
			at += time.Duration(random.ExpFloat64() / 60 * float64(time.Second))
			list = append(list, simRequest{
				at: at, first: at, kind: "check", priority: 7, work: 55 * time.Millisecond,
				objective: 200 * time.Millisecond, callerWait: 600 * time.Millisecond, nested: true,
			})
		}
		r := simulateOverload(12, list, WithShares())
		if got := onTime(r, "check"); got < 0.97 {
			t.Errorf("seed %d: calls on time: got %.2f, want 0.97 (%+v)", seed, got, *r["check"])
		}
	}
}

// Load pattern: the queue is full of resent requests that have missed their objective. Guards against refusing new requests
// that can meet theirs, and against refusing calls made for running requests.
func TestQueueOfReturningCallers(t *testing.T) {
	tests := []struct {
		name string
		r    Request
		want Action
	}{
		{"new request", Request{Call: "n", Priority: 7, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}, Queue},
		{"returning caller", Request{Call: "n", Priority: 7, Resent: true, Objective: start, Deadline: start.Add(2 * time.Second)}, Refuse},
		{"call made for a running request", Request{Call: "n", Priority: 5, Nested: true, LastAttempt: true, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}, Queue},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(1), WithQueue(4), WithFixedLimit(), WithShares())
			g.Decide(start, Request{Call: "first"})
			g.Done(start.Add(100*time.Millisecond), "first", 100*time.Millisecond, true)
			g.Decide(start, Request{Call: "running"})
			for i := range 4 {
				g.Decide(start, Request{Call: fmt.Sprint(i), Priority: 7, Resent: true, Objective: start, Deadline: start.Add(2 * time.Second)})
			}
			d := g.Decide(start, c.r)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Queue && (d.Displaced == nil || d.Displaced.Failure == nil) {
				t.Error("got no displaced call, want one of the returning callers")
			}
		})
	}
}

// Guards against routes that are all alike once the priorities of customers replace theirs, and against a route that outweighs them.
func TestRouteOffset(t *testing.T) {
	plain := func(priority int) Request { return Request{Priority: priority} }
	of := func(customer, route int) Request { return Request{Priority: customer, RouteOffset: route - customer} }
	for _, c := range []struct {
		name       string
		high, low  Request
		wantHigher bool
	}{
		{"routes without customers", plain(9), plain(8), true},
		{"routes of customers of one priority", of(8, 9), of(8, 8), true},
		{"customers on one route", of(9, 8), of(8, 8), true},
		{"a customer's step and a route's step", of(9, 8), of(8, 9), true},
		{"same priorities", of(8, 8), plain(8), false},
		{"beyond the highest", of(9, 9), plain(9), false},
		{"beyond the lowest", of(0, 0), plain(0), false},
	} {
		if got := c.high.rank() > c.low.rank(); got != c.wantHigher {
			t.Errorf("%s: got higher rank %v (%d and %d), want %v", c.name, got, c.high.rank(), c.low.rank(), c.wantHigher)
		}
	}
}

package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// onTime returns the share of the requests of a kind that were answered within their objective.
func onTime(r map[string]*tally, kind string) float64 {
	return float64(r[kind].onTime) / float64(r[kind].asked)
}

// Load pattern: most endpoints of a service are gone, so that the demand of each priority alone would nearly fill the rest.
// Guards against a less urgent kind of request that is hardly served, and against one that is served more often than a more
// urgent one.
func TestNoKindStarves(t *testing.T) {
	const (
		least    = 0.5  // of the share of all requests that is answered on time
		useful   = 0.75 // of the capacity
		inverted = 0.05 // by which the less urgent kind may be served more often
	)
	for _, load := range []float64{1.5, 2, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			for seed := range uint64(5) {
				const length = 20 * time.Second
				r := overload(12, arrivals(seed, load, length), WithShares())
				urgent, other := onTime(r, "purchase"), onTime(r, "history")
				all := float64(r["purchase"].onTime+r["history"].onTime) / float64(r["purchase"].asked+r["history"].asked)
				if other < least*all {
					t.Errorf("seed %d: less urgent: got %.2f on time of all %.2f, want at least half", seed, other, all)
				}
				if other > urgent+inverted {
					t.Errorf("seed %d: got %.2f of the less urgent on time and %.2f of the urgent, want the urgent first", seed, other, urgent)
				}
				work := r["purchase"].onTime*150 + r["history"].onTime*220 // milliseconds
				if got := float64(work) / float64(12*length.Milliseconds()); got < useful {
					t.Errorf("seed %d: useful share of the capacity: got %.2f, want %.2f (%+v %+v)", seed, got, useful, *r["purchase"], *r["history"])
				}
			}
		})
	}
}

// Guards against shares that take from urgent requests although there is room for all.
func TestSharesWithRoom(t *testing.T) {
	for seed := range uint64(5) {
		r := overload(12, arrivals(seed, 0.7, 20*time.Second), WithShares())
		if got := onTime(r, "purchase"); got < 0.97 {
			t.Errorf("seed %d: urgent requests on time: got %.2f, want 0.97 (%+v)", seed, got, *r["purchase"])
		}
	}
}

// Load pattern: requests that run elsewhere call a service whose own callers overload it. Guards against calls of running
// requests that are refused or wait long, since the work of the request is lost with them.
func TestCallsUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 3))
		list := arrivals(seed, 2, 20*time.Second)
		for at := time.Duration(0); at < 20*time.Second; {
			at += time.Duration(random.ExpFloat64() / 60 * float64(time.Second))
			list = append(list, visitor{
				at: at, first: at, kind: "check", priority: 7, work: 55 * time.Millisecond,
				objective: 200 * time.Millisecond, patience: 600 * time.Millisecond, inner: true,
			})
		}
		r := overload(12, list, WithShares())
		if got := onTime(r, "check"); got < 0.97 {
			t.Errorf("seed %d: calls on time: got %.2f, want 0.97 (%+v)", seed, got, *r["check"])
		}
	}
}

// Load pattern: a queue that is full of callers who return and have missed their objective. Guards against new requests that
// are refused although they can be answered within theirs, and against calls of running requests that are refused.
func TestQueueOfReturningCallers(t *testing.T) {
	tests := []struct {
		name string
		r    Request
		want Action
	}{
		{"new request", Request{Call: "n", Priority: 7, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}, Queue},
		{"returns as well", Request{Call: "n", Priority: 7, Again: true, Objective: start, Deadline: start.Add(2 * time.Second)}, Refuse},
		{"call of a running request", Request{Call: "n", Priority: 5, Inner: true, Final: true, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}, Queue},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(1), WithQueue(4), WithFixed(), WithShares())
			g.Decide(start, Request{Call: "first"})
			g.Done(start.Add(100*time.Millisecond), "first", 100*time.Millisecond, true)
			g.Decide(start, Request{Call: "running"})
			for i := range 4 {
				g.Decide(start, Request{Call: fmt.Sprint(i), Priority: 7, Again: true, Objective: start, Deadline: start.Add(2 * time.Second)})
			}
			d := g.Decide(start, c.r)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Queue && (d.Displaced == nil || d.Displaced.Failure == nil) {
				t.Error("got nothing displaced, want one of the returning calls")
			}
		})
	}
}

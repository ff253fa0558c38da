package admission

import (
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// Load pattern: all slots of an endpoint run slow work. Guards against nested calls that wait to their deadline, or are refused for it,
// while other endpoints have room, and against calls that move although they could start here soon, or have nowhere to go.
func TestMovableCalls(t *testing.T) {
	const work = 100 * ms
	tests := []struct {
		name     string
		movable  bool
		queued   int           // calls of the same rank that wait already
		deadline time.Duration // of the call
		want     Action
		code     outcome.Code // of a refusal
	}{
		{"starts soon", true, 0, 700 * ms, Queue, ""},
		{"waits for more than a third of its time", true, 2, 700 * ms, Refuse, outcome.Busy},
		{"has nowhere to go", false, 2, 700 * ms, Queue, ""},
		{"is too slow here", true, 0, 50 * ms, Refuse, outcome.Busy},
		{"is too slow here and has nowhere to go", false, 0, 50 * ms, Refuse, outcome.DeadlineExceeded},
		{"without a deadline", true, 2, 0, Queue, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(1), WithQueue(8), WithFixedLimit(), WithShares())
			ask := func(call string, movable bool, deadline time.Duration) Decision {
				r := Request{Call: call, Nested: true, LastAttempt: true, Movable: movable}
				if deadline > 0 {
					r.Deadline, r.Objective = start.Add(deadline), start.Add(deadline)
				}
				return g.Decide(start, r)
			}
			ask("first", false, time.Second)
			g.Done(start, "first", work, true) // sets the service time
			ask("running", false, time.Second)
			for i := range c.queued {
				ask(string(rune('a'+i)), false, time.Second/2)
			}
			d := ask("call", c.movable, c.deadline)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Refuse && d.Failure.Code != c.code {
				t.Errorf("code: got %s, want %s", d.Failure.Code, c.code)
			}
		})
	}
}

// Load pattern: an endpoint becomes slow after a call was queued. Guards against a movable call that stays until no time is left for
// another endpoint.
func TestMovableCallLeavesQueue(t *testing.T) {
	g := New(WithSlots(1), WithFixedLimit(), WithShares())
	g.Decide(start, Request{Call: "running"})
	g.Decide(start, Request{Call: "call", Nested: true, LastAttempt: true, Movable: true, Deadline: start.Add(600 * ms), Objective: start.Add(600 * ms)})
	g.Decide(start, Request{Call: "stays", Nested: true, LastAttempt: true, Deadline: start.Add(600 * ms), Objective: start.Add(600 * ms)})
	next := g.Next(start)
	if want := start.Add(200 * ms); !next.Equal(want) {
		t.Fatalf("Next: got %s after the start, want 200ms", next.Sub(start))
	}
	if got := g.Tick(next.Add(-ms)); len(got) != 0 {
		t.Errorf("decisions before a third of the time: got %+v, want none", got)
	}
	got := g.Tick(next)
	if len(got) != 1 || got[0].Call != "call" || got[0].Action != Refuse || got[0].Failure.Code != outcome.Busy {
		t.Errorf("decisions after a third of the time: got %+v, want a busy refusal of the movable call", got)
	}
}

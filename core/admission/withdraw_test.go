package admission

import (
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// Guards against a withdrawn call that runs later, a running call whose slot is given away while it runs, and places in the queue or
// in the share of a caller that stay taken after a withdrawal.
func TestWithdraw(t *testing.T) {
	ask := func(call, caller string) Request {
		return Request{Call: call, Caller: caller, Deadline: start.Add(5 * time.Second)}
	}
	tests := []struct {
		name, call string
		withdrawn  bool
		queued     int
		next       []string // calls admitted one after another as each running one ends
	}{
		{"queued", "b", true, 1, []string{"c"}},
		{"last in the queue", "c", true, 1, []string{"b"}},
		{"running", "a", false, 2, []string{"b", "c"}},
		{"unknown", "x", false, 2, []string{"b", "c"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithFixedLimit())
			for _, r := range []Request{ask("a", "one"), ask("b", "two"), ask("c", "two")} {
				g.Decide(start, r)
			}
			d, withdrawn := g.Withdraw(start, c.call)
			if withdrawn != c.withdrawn {
				t.Fatalf("got withdrawn %t, want %t", withdrawn, c.withdrawn)
			}
			if withdrawn && (d.Call != c.call || d.Action != Refuse || d.Failure.Code != outcome.Draining || d.Failure.Kind != outcome.NotRun) {
				t.Errorf("got decision %+v, want %s refused as draining, notrun", d, c.call)
			}
			if s := g.Stats(); s.Running != 1 || s.Queued != c.queued {
				t.Errorf("got %d running and %d queued, want 1 and %d", s.Running, s.Queued, c.queued)
			}
			if _, again := g.Withdraw(start, c.call); again {
				t.Error("a second withdrawal of the call: got one more decision, want none")
			}
			running := "a"
			for _, want := range c.next {
				list := g.Done(start, running, ms, true)
				if len(list) != 1 || list[0].Call != want || list[0].Action != Admit {
					t.Fatalf("after the end of %s: got %+v, want %s admitted", running, list, want)
				}
				running = want
			}
			if list := g.Done(start, running, ms, true); len(list) != 0 {
				t.Errorf("after the last call: got %+v, want no decision", list)
			}
			if !g.Idle() || len(g.callers) != 0 {
				t.Errorf("got callers %v in use, want an idle gate", g.callers)
			}
			if d := g.Decide(start, ask(c.call, "two")); d.Action != Admit {
				t.Errorf("the same call again: got %+v, want it admitted", d)
			}
		})
	}
}

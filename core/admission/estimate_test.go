package admission

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/capacity"
	"godwitspindle/core/outcome"
)

// pacedGate returns a gate that has learned a service time of 200 ms at the usual pace, at a time at which the given pace is reported.
func pacedGate(pace int) (*Gate, time.Time) {
	g := New(WithSlots(4), WithQueue(8), WithFixedLimit(), WithSingleCaller(), WithShares())
	now := start
	report := capacity.Report{Slots: 4, Pace: 100}
	for i := range 100 {
		g.Report(now, report)
		g.Decide(now, Request{Call: fmt.Sprint("w", i), Kind: "read"})
		now = now.Add(200 * time.Millisecond)
		g.Report(now, report)
		g.Done(now, fmt.Sprint("w", i), 200*time.Millisecond, true)
	}
	report.Pace = pace
	g.Report(now, report)
	return g, now
}

// Guards against calls that run at an endpoint in a slow spell although they would be late there, and against calls that are refused
// although they would be in time, have nowhere else to go or are the only one to show that the spell is over.
func TestSlowSpell(t *testing.T) {
	tests := []struct {
		name    string
		pace    int
		running int
		request Request
		want    Action
	}{
		{"usual pace", 100, 1, Request{Objective: start.Add(250 * time.Millisecond)}, Admit},
		{"slow, in time", 300, 1, Request{Objective: start.Add(700 * time.Millisecond)}, Admit},
		{"slow, a short call is in time", 300, 1, Request{Objective: start.Add(400 * time.Millisecond)}, Admit},
		{"slow, too late", 300, 1, Request{Objective: start.Add(250 * time.Millisecond)}, Refuse},
		{"slow, too late, no other call runs", 300, 0, Request{Objective: start.Add(250 * time.Millisecond)}, Admit},
		{"slow, too late, last attempt", 300, 1, Request{Objective: start.Add(250 * time.Millisecond), LastAttempt: true}, Admit},
		{"slow, late at the usual pace as well", 300, 1, Request{Objective: start.Add(150 * time.Millisecond)}, Admit},
		{"slow, no objective", 300, 1, Request{}, Admit},
		{"false report, far from possible", 100_000, 0, Request{Deadline: start.Add(300 * time.Millisecond)}, Admit},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g, now := pacedGate(c.pace)
			for i := range c.running {
				g.Decide(now, Request{Call: fmt.Sprint("r", i), Kind: "read"})
			}
			r := c.request
			r.Call, r.Kind = "asked", "read"
			if !r.Objective.IsZero() {
				r.Objective = now.Add(r.Objective.Sub(start))
			}
			if !r.Deadline.IsZero() {
				r.Deadline = now.Add(r.Deadline.Sub(start))
			}
			d := g.Decide(now, r)
			if d.Action != c.want {
				t.Errorf("action: got %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if d.Action == Refuse && (d.Failure.Code != outcome.Busy || d.Failure.RetryAfter <= 0) {
				t.Errorf("refusal: got %v after %s, want busy with a time to retry", d.Failure, d.Failure.RetryAfter)
			}
		})
	}
}

// Guards against an estimate for an endpoint that reports no pace, which must be served as before, and against one that outlives its
// process.
func TestEstimateNeedsPace(t *testing.T) {
	g := New(WithSlots(4))
	if g.Report(start, capacity.Report{Running: 1, Waiting: 9, Slots: 1}); g.limit.estimate != nil || g.Stats().Limit != 4 {
		t.Errorf("without a pace: got limit %d, estimated %v, want 4, not estimated", g.Stats().Limit, g.limit.estimate != nil)
	}
	g.Report(start, capacity.Report{Slots: 4, Pace: 100})
	if _, ok := g.Estimate(start, "read"); !ok {
		t.Error("with a pace: got no estimate")
	}
	g.ResetEstimate()
	if _, ok := g.Estimate(start, "read"); ok {
		t.Error("next process: got an estimate of the earlier one")
	}
}

// Guards against queued calls that wait for as long as at the usual pace although the endpoint is slow: their refusal must come at once.
func TestWaitFollowsPace(t *testing.T) {
	for _, c := range []struct {
		pace int
		want Action
	}{{100, Queue}, {300, Refuse}} {
		g, now := pacedGate(c.pace)
		for i := range 4 {
			g.Decide(now, Request{Call: fmt.Sprint("r", i), Kind: "read"})
		}
		d := g.Decide(now, Request{Call: "asked", Kind: "read", Objective: now.Add(500 * time.Millisecond)})
		if d.Action != c.want {
			t.Errorf("pace %d: got action %d (%v), want %d", c.pace, d.Action, d.Failure, c.want)
		}
	}
}

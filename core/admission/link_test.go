package admission

import (
	"testing"
	"time"
)

// Load pattern: a host whose link carries 40 responses of 5 kB a second gets 60 requests a second while slots are free. Guards
// against responses that queue on the link for seconds, and against a link that stays partly unused.
func TestThinLink(t *testing.T) {
	const (
		rate      = 212_500 // bytes per second, 1.7 Mbit/s
		body      = 5000
		work      = 100 * time.Millisecond
		objective = 400 * time.Millisecond
		callRate  = 60 // calls a second
		length    = 10 * time.Second
	)
	for _, c := range []struct {
		name      string
		tracked   bool
		minOnTime float64 // bounds of the on-time responses, as a share of the capacity of the link
		maxOnTime float64
	}{{"with link", true, 0.9, 1}, {"without link", false, 0, 0.3}} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLink(rate)
			opts := []Option{WithSlots(20), WithFixedLimit(), WithShares()}
			if c.tracked {
				opts = append(opts, WithLink(l))
			}
			g := New(opts...)
			linkFree := start // time at which the link has sent all responses so far
			onTime, late := 0, 0
			type ending struct {
				at     time.Time
				call   string
				sentAt time.Time
			}
			var running []ending
			finish := func(now time.Time) {
				for len(running) > 0 && !running[0].at.After(now) {
					e := running[0]
					running = running[1:]
					g.Done(e.at, e.call, work, true)
					l.Sent(e.at, "audit", body)
					if e.at.After(linkFree) {
						linkFree = e.at
					}
					linkFree = linkFree.Add((body + responseOverhead) * time.Second / rate)
					if linkFree.Sub(e.sentAt) <= objective {
						onTime++
					} else {
						late++
					}
				}
			}
			for at := time.Duration(0); at < length; at += time.Second / callRate {
				now := start.Add(at)
				finish(now)
				call := at.String()
				d := g.Decide(now, Request{Call: call, Kind: "audit", Remote: true, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second)})
				if d.Action == Admit {
					running = append(running, ending{now.Add(work), call, now})
				}
			}
			finish(start.Add(length))
			capacity := rate / float64(body+responseOverhead) * (length + objective).Seconds() // the last responses are sent after the last request
			if got := float64(onTime) / capacity; got < c.minOnTime || got > c.maxOnTime {
				t.Errorf("on-time responses: got a share of %.2f of the link capacity, want %.2f to %.2f (%d late)", got, c.minOnTime, c.maxOnTime, late)
			}
			if c.tracked && late > onTime/20 {
				t.Errorf("late responses: got %d with %d on time, want at most one in twenty", late, onTime)
			}
		})
	}
}

// Guards against refusing, because of the link, calls that must not be refused: calls from the same host, last attempts, resent
// calls that can meet their deadline, and calls without an objective.
func TestLinkDecisions(t *testing.T) {
	tests := []struct {
		name string
		r    Request
		want Action
	}{
		{"from another host", Request{Remote: true, Objective: start.Add(time.Second)}, Refuse},
		{"from this host", Request{Objective: start.Add(time.Second)}, Admit},
		{"made for a running request", Request{Remote: true, LastAttempt: true, Nested: true, Objective: start.Add(time.Second)}, Admit},
		{"sent again, deadline can be met", Request{Remote: true, Resent: true, Objective: start, Deadline: start.Add(time.Minute)}, Admit},
		{"no objective", Request{Remote: true}, Admit},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := NewLink(1000)
			l.Sent(start, "k", 10_000) // takes the link 10 s
			g := New(WithSlots(2), WithFixedLimit(), WithShares(), WithLink(l))
			c.r.Call, c.r.Kind = "c", "k"
			d := g.Decide(start, c.r)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Refuse && d.Failure.RetryAfter <= 0 {
				t.Errorf("retry after: got %s, want more than 0", d.Failure.RetryAfter)
			}
			g.Done(start, "c", time.Millisecond, true)
			if l.reserved != 0 {
				t.Errorf("reserved after the call ended: got %v bytes, want 0", l.reserved)
			}
		})
	}
}

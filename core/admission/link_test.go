package admission

import (
	"testing"
	"time"
)

// Load pattern: answers of 5 kB from a host whose link carries 40 of them a second, asked for by 60 callers a second, while
// slots are free. Guards against answers that all wait for seconds behind each other, and against a link that is left idle.
func TestThinLink(t *testing.T) {
	const (
		rate      = 212_500 // bytes per second, 1.7 Mbit/s
		body      = 5000
		work      = 100 * time.Millisecond
		objective = 400 * time.Millisecond
		asked     = 60 // calls a second
		length    = 10 * time.Second
	)
	for _, c := range []struct {
		name    string
		watched bool
		least   float64 // share of what the link carries that is answered on time
		most    float64
	}{{"watched", true, 0.9, 1}, {"not watched", false, 0, 0.3}} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLink(rate)
			opts := []Option{WithSlots(20), WithFixed(), WithShares()}
			if c.watched {
				opts = append(opts, WithLink(l))
			}
			g := New(opts...)
			free := start // when the link has sent what it was given
			onTime, late := 0, 0
			type ending struct {
				at    time.Time
				call  string
				asked time.Time
			}
			var running []ending
			finish := func(now time.Time) {
				for len(running) > 0 && !running[0].at.After(now) {
					e := running[0]
					running = running[1:]
					g.Done(e.at, e.call, work, true)
					l.Sent(e.at, "audit", body)
					if e.at.After(free) {
						free = e.at
					}
					free = free.Add((body + answerOverhead) * time.Second / rate)
					if free.Sub(e.asked) <= objective {
						onTime++
					} else {
						late++
					}
				}
			}
			for at := time.Duration(0); at < length; at += time.Second / asked {
				now := start.Add(at)
				finish(now)
				call := at.String()
				d := g.Decide(now, Request{Call: call, Kind: "audit", Remote: true, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second)})
				if d.Action == Admit {
					running = append(running, ending{now.Add(work), call, now})
				}
			}
			finish(start.Add(length))
			capacity := rate / float64(body+answerOverhead) * (length + objective).Seconds() // the last answers leave after the last call
			if got := float64(onTime) / capacity; got < c.least || got > c.most {
				t.Errorf("answered on time: got %.2f of what the link carries, want %.2f to %.2f (%d late)", got, c.least, c.most, late)
			}
			if c.watched && late > onTime/20 {
				t.Errorf("late: got %d beside %d on time, want at most one in twenty", late, onTime)
			}
		})
	}
}

// Guards against calls that the link must not refuse: those whose answer stays on the host, those of running requests, and
// those without an objective.
func TestLinkDecisions(t *testing.T) {
	tests := []struct {
		name string
		r    Request
		want Action
	}{
		{"from another host", Request{Remote: true, Objective: start.Add(time.Second)}, Refuse},
		{"from this host", Request{Objective: start.Add(time.Second)}, Admit},
		{"of a running request", Request{Remote: true, Final: true, Inner: true, Objective: start.Add(time.Second)}, Admit},
		{"comes again and can wait", Request{Remote: true, Again: true, Objective: start, Deadline: start.Add(time.Minute)}, Admit},
		{"no objective", Request{Remote: true}, Admit},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := NewLink(1000)
			l.Sent(start, "k", 10_000) // ten seconds
			g := New(WithSlots(2), WithFixed(), WithShares(), WithLink(l))
			c.r.Call, c.r.Kind = "c", "k"
			d := g.Decide(start, c.r)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Refuse && d.Failure.After <= 0 {
				t.Errorf("time to return: got %s, want more than 0", d.Failure.After)
			}
			g.Done(start, "c", time.Millisecond, true)
			if l.reserved != 0 {
				t.Errorf("reserved after the end: got %v bytes, want none", l.reserved)
			}
		})
	}
}

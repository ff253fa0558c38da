package admission

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"godwitspindle/core/outcome"
)

const (
	longestPause = 30 * time.Second      // a Retry-After above this is a fault of the backend server
	leastAfter   = 50 * time.Millisecond // shortest suggested wait after an overload
	backShare    = 70                    // percent of the time that is left until the answer must begin
)

// start refuses queued calls that cannot make their deadline and admits others while slots are free.
func (g *Gate) start(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(g.queue); {
		d := g.queue[i].Deadline
		if d.IsZero() || !now.Add(g.limit.service(g.queue[i].Kind)).After(d) {
			i++
			continue
		}
		g.stats.Expired++
		g.delays.observe(&g.queue[i], now)
		out = append(out, g.refuse(g.take(i).Call, outcome.Late, 0))
	}
	for len(g.running) < g.limit.value() && !now.Before(g.paused) {
		i := g.next(now)
		if i < 0 {
			break
		}
		w := g.take(i)
		g.delays.observe(&w, now)
		out = append(out, g.admit(w.Request, now.Sub(w.arrived)))
	}
	return out
}

// next returns the queued call to start, or -1: the first in order, unless its caller already runs half of the slots and
// a call of equal priority from a caller below that waits.
func (g *Gate) next(now time.Time) int {
	if g.shared {
		return g.nextByShare(now)
	}
	first := -1
	half := max(1, g.limit.value()/2)
	for i := range g.queue {
		w := &g.queue[i]
		if w.Suspect && g.suspects > 0 {
			continue
		}
		if first >= 0 && w.Priority < g.queue[first].Priority {
			break
		}
		if g.callers[w.Caller].running < half {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// blocked reports whether a queued call goes before the new one although a slot is free.
func (g *Gate) blocked(r Request) bool {
	for i := range g.queue {
		if w := &g.queue[i]; (!w.Suspect || g.suspects == 0) && w.Priority >= r.Priority {
			return true
		}
	}
	return false
}

// crowded reports whether the caller holds half of slots and queue while another caller waits.
func (g *Gate) crowded(caller string) bool {
	u := g.callers[caller]
	if u.running+u.queued < g.share() {
		return false
	}
	return len(g.queue) > u.queued
}

func (g *Gate) share() int { return max(1, (g.limit.value()+g.depth)/2) }

// victim returns the queued call that gives way to the new one, or -1. Late-tolerant calls go first, then low priority,
// then the last in order. A call of equal rank gives way only when its caller holds more than half and the new one less.
func (g *Gate) victim(r *waiting) int {
	if g.shared {
		return g.victimByShare(r)
	}
	best := -1
	rich := g.callers[r.Caller].running+g.callers[r.Caller].queued >= g.share()
	for i := range g.queue {
		w := &g.queue[i]
		if w.Priority > r.Priority {
			continue
		}
		if w.Priority == r.Priority && r.Final && !w.Final {
			if best < 0 || weaker(w, &g.queue[best]) {
				best = i
			}
			continue
		}
		if w.Priority == r.Priority && (!w.Late || r.Late) && (rich || w.Caller == r.Caller || !g.over(w.Caller)) {
			continue
		}
		if best < 0 || weaker(w, &g.queue[best]) {
			best = i
		}
	}
	return best
}

func (g *Gate) over(caller string) bool {
	u := g.callers[caller]
	return u.running+u.queued > g.share()
}

// weaker reports whether a, which is behind b in the queue, gives way before b.
func weaker(a, b *waiting) bool {
	if a.Late != b.Late {
		return a.Late
	}
	return a.Priority <= b.Priority
}

// excess returns by how much a call with an objective would miss the time that decides whether it may wait: its objective
// or, for one that comes again and would otherwise be refused twice, its deadline. It is negative for a call that may wait.
func (w *waiting) excess(now time.Time, wait, service time.Duration) time.Duration {
	if w.Objective.IsZero() || !w.overdue {
		return -1
	}
	if w.Again && !w.Deadline.IsZero() {
		return now.Add(wait + service).Sub(w.Deadline)
	}
	return now.Add(wait + service).Sub(w.Objective)
}

// back returns when a refused caller should come again: when the queue has shortened enough or, if that is later, while an
// answer within the objective is still possible.
func (w *waiting) back(now time.Time, excess, service time.Duration) time.Duration {
	if left := w.Objective.Sub(now) - service; left > 0 && !w.Again {
		return min(excess, left*backShare/100)
	}
	return excess
}

// before is the order of the queue: priority, calls whose refusal would be final, calls that can meet their objective,
// deadline (none is last), arrival.
func before(a, b *waiting) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Final != b.Final {
		return a.Final
	}
	if a.overdue != b.overdue {
		return b.overdue
	}
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

func (g *Gate) insert(w waiting) {
	i := len(g.queue)
	for i > 0 && before(&w, &g.queue[i-1]) {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
	u := g.callers[w.Caller]
	u.queued++
	g.callers[w.Caller] = u
}

func (g *Gate) take(i int) waiting {
	w := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	u := g.callers[w.Caller]
	u.queued--
	g.put(w.Caller, u)
	return w
}

func (g *Gate) put(caller string, u use) {
	if u == (use{}) {
		delete(g.callers, caller)
		return
	}
	g.callers[caller] = u
}

func (g *Gate) find(call string) int {
	for i := range g.queue {
		if g.queue[i].Call == call {
			return i
		}
	}
	return -1
}

// wait estimates when the call would start: the calls ahead of it leave at the rate of the limit by the service time.
func (g *Gate) wait(now time.Time, w waiting) time.Duration {
	ahead := g.ahead(&w)
	l := g.limit.value()
	excess := max(len(g.running)-l, 0)
	d := g.limit.average() * time.Duration(ahead+1+excess) / time.Duration(l)
	return d + max(g.paused.Sub(now), 0)
}

// ahead estimates how many queued calls start before the call.
func (g *Gate) ahead(w *waiting) int {
	if g.shared {
		return g.aheadByShare(w)
	}
	n := 0
	for n < len(g.queue) && before(&g.queue[n], w) {
		n++
	}
	return n
}

func (g *Gate) admit(r Request, waited time.Duration) Decision {
	n := run{caller: r.Caller, kind: r.Kind, suspect: r.Suspect}
	if g.link != nil && r.Remote {
		n.bytes = g.link.reserve(r.Kind)
	}
	g.running[r.Call] = n
	if r.Suspect {
		g.suspects++
	}
	u := g.callers[r.Caller]
	u.running++
	g.callers[r.Caller] = u
	g.stats.Admitted++
	g.shares.got[r.rank()]++
	return Decision{Call: r.Call, Action: Admit, Wait: waited}
}

func (g *Gate) release(call string) bool {
	r, ok := g.running[call]
	if !ok {
		return false
	}
	delete(g.running, call)
	if g.link != nil && r.bytes > 0 {
		g.link.release(r.bytes)
	}
	if r.suspect {
		g.suspects--
	}
	u := g.callers[r.caller]
	u.running--
	g.put(r.caller, u)
	return true
}

// load renders the figures that a refusal rests on, for the log line.
func (g *Gate) load() string {
	return fmt.Sprintf(": %d of %d slots taken, %d calls wait, a call takes %s.",
		len(g.running), g.limit.value(), len(g.queue), g.limit.average().Round(time.Millisecond))
}

// refuse returns a refusal; the call has not run, so its kind is always notrun.
func (g *Gate) refuse(call string, c outcome.Code, after time.Duration) Decision {
	g.stats.Refused++
	f := &outcome.Failure{Code: c, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: call, After: after}
	switch c {
	case outcome.Draining:
		f.Detail = "The endpoint is leaving and takes no new calls."
	case outcome.Late:
		f.Status = http.StatusGatewayTimeout
		f.Detail = "The call cannot be answered before its deadline" + g.load()
	case outcome.Busy:
		f.After = max(after, leastAfter)
		f.Detail = "The endpoint is busy and cannot answer within the objective" + g.load()
	case outcome.Overload:
		f.After = max(after, leastAfter)
		f.Detail = "Slots and queue of the endpoint are full" + g.load()
	default:
		f.Status = http.StatusConflict
		f.Detail = "A call with the same id is running or queued here."
	}
	return Decision{Call: call, Action: Refuse, Failure: f}
}

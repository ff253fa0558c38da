package admission

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"godwitspindle/core/outcome"
)

const (
	maxPause          = 30 * time.Second      // a longer Retry-After is treated as a fault of the backend server
	minRetryAfter     = 50 * time.Millisecond // minimum suggested wait before a retry
	retryAfterPercent = 70                    // maximum suggested wait, in percent of the time left to start and meet the objective
)

// startQueued refuses queued calls that cannot meet their deadline, and admits others while slots are free and no pause
// applies.
func (g *Gate) startQueued(now time.Time) []Decision {
	var out []Decision
	g.limit.advance(now, len(g.running))
	for i := 0; i < len(g.queue); {
		w, service := &g.queue[i], g.limit.serviceTime(g.queue[i].Kind)
		if !w.expires(now, service) && !w.moves(now, service) {
			i++
			continue
		}
		g.stats.Expired++
		g.waitFactors.observe(w, now)
		out = append(out, g.refuse(now, w.Call, w.missedDeadline(), 0))
		g.dequeue(i)
	}
	for g.mayStart(now) {
		i := g.next(now)
		if i < 0 {
			break
		}
		w := g.dequeue(i)
		g.waitFactors.observe(&w, now)
		out = append(out, g.admit(now, w.Request, now.Sub(w.arrived)))
	}
	return out
}

// next returns the index of the queued call to start, or -1. Without WithShares, that is the first call of the highest waiting
// priority whose caller runs less than half of the limit, else the first of that priority. Suspects are skipped while one runs.
func (g *Gate) next(now time.Time) int {
	if g.sharesByPriority {
		return g.nextByShare(now)
	}
	if levels, _ := g.customers.level(now, g.queue, nil); levels != nil {
		return g.nextByCustomer(levels)
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

// yieldsToQueue reports whether a queued call that may start has at least the priority of the new one, so that the new call
// waits although a slot is free.
func (g *Gate) yieldsToQueue(r Request) bool {
	for i := range g.queue {
		if w := &g.queue[i]; (!w.Suspect || g.suspects == 0) && w.Priority >= r.Priority {
			return true
		}
	}
	return false
}

// exceedsCallerShare reports whether the caller has reached its share of limit and queue while another caller waits.
func (g *Gate) exceedsCallerShare(caller string) bool {
	u := g.callers[caller]
	if u.running+u.queued < g.callerShare() {
		return false
	}
	return len(g.queue) > u.queued
}

// callerShare returns half of limit and queue, at least 1: the maximum number of running and queued calls of one caller while
// others wait.
func (g *Gate) callerShare() int { return max(1, (g.limit.value()+g.maxQueue)/2) }

// victim returns the index of the queued call that the new one displaces, or -1. Calls that tolerate late responses go first,
// then lower priorities, then the last in the queue. A queued call of the same priority is displaced only if the new call is a
// last attempt and the queued one is not, if the queued call tolerates late responses and the new one does not, or if the caller
// of the queued call is above its share and the caller of the new call, another one, is below. If none of these exists, a call of a
// customer that uses more than that of the new call gives way.
func (g *Gate) victim(now time.Time, r *queuedCall) int {
	levels, level := g.customers.level(now, g.queue, &r.Request)
	if g.sharesByPriority {
		return g.victimByShare(r, levels, level)
	}
	best := -1
	reachedShare := g.callers[r.Caller].running+g.callers[r.Caller].queued >= g.callerShare()
	for i := range g.queue {
		w := &g.queue[i]
		if w.Priority > r.Priority {
			continue
		}
		if w.Priority == r.Priority && r.LastAttempt && !w.LastAttempt {
			if best < 0 || evictedBefore(w, &g.queue[best]) {
				best = i
			}
			continue
		}
		if w.Priority == r.Priority && (!w.LateTolerant || r.LateTolerant) && (reachedShare || w.Caller == r.Caller || !g.aboveCallerShare(w.Caller)) {
			continue
		}
		if best < 0 || evictedBefore(w, &g.queue[best]) {
			best = i
		}
	}
	if best < 0 {
		return g.victimByCustomer(r, levels, level)
	}
	return best
}

func (g *Gate) aboveCallerShare(caller string) bool {
	u := g.callers[caller]
	return u.running+u.queued > g.callerShare()
}

// evictedBefore reports whether a, which is behind b in the queue, is displaced before b.
func evictedBefore(a, b *queuedCall) bool {
	if a.LateTolerant != b.LateTolerant {
		return a.LateTolerant
	}
	return a.Priority <= b.Priority
}

// lateness returns by how much an overdue call would miss its objective. For a call that was sent again, the deadline counts
// instead, so that the call is not refused twice. A call may wait unless its lateness is positive; -1 if it is not overdue.
func (w *queuedCall) lateness(now time.Time, wait, service time.Duration) time.Duration {
	if w.Objective.IsZero() || !w.overdue {
		return -1
	}
	if w.Resent && !w.Deadline.IsZero() {
		return now.Add(wait + service).Sub(w.Deadline)
	}
	return now.Add(wait + service).Sub(w.Objective)
}

// retryAfter returns the wait to suggest to a refused caller: the lateness, after which the queue has shortened enough. While the
// objective can be met and the call was not sent again, the wait is cut so that a retry can still meet the objective.
func (w *queuedCall) retryAfter(now time.Time, lateness, service time.Duration) time.Duration {
	if remaining := w.Objective.Sub(now) - service; remaining > 0 && !w.Resent {
		return min(lateness, remaining*retryAfterPercent/100)
	}
	return lateness
}

// before defines the queue order: priority, last attempts, calls that can meet their objective, deadline (last if none),
// arrival.
func before(a, b *queuedCall) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.LastAttempt != b.LastAttempt {
		return a.LastAttempt
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

func (g *Gate) enqueue(w queuedCall) {
	i := len(g.queue)
	for i > 0 && before(&w, &g.queue[i-1]) {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
	u := g.callers[w.Caller]
	u.queued++
	g.callers[w.Caller] = u
}

func (g *Gate) dequeue(i int) queuedCall {
	w := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	u := g.callers[w.Caller]
	u.queued--
	g.setUsage(w.Caller, u)
	return w
}

func (g *Gate) setUsage(caller string, u callerUsage) {
	if u == (callerUsage{}) {
		delete(g.callers, caller)
		return
	}
	g.callers[caller] = u
}

func (g *Gate) queueIndex(call string) int {
	for i := range g.queue {
		if g.queue[i].Call == call {
			return i
		}
	}
	return -1
}

// mayStart reports whether a slot is free and neither a pause nor the rate keeps a call from starting.
func (g *Gate) mayStart(now time.Time) bool {
	return len(g.running) < g.limit.value() && !now.Before(g.paused) && g.rate.allows(now)
}

// queueWait estimates the wait from the number of calls ahead and the longer of what the slots and the rate need for them, plus the
// remaining pause.
func (g *Gate) queueWait(now time.Time, w queuedCall) time.Duration {
	ahead := g.ahead(now, &w)
	return max(g.slotWait(ahead), g.rate.wait(now, ahead+1)) + max(g.paused.Sub(now), 0)
}

// slotWait estimates the wait for a slot from the number of calls ahead, the mean service time and the limit.
func (g *Gate) slotWait(ahead int) time.Duration {
	l := g.limit.value()
	excess := max(len(g.running)-l, 0)
	return g.limit.meanServiceTime() * time.Duration(ahead+1+excess) / time.Duration(l)
}

// busyCode returns the code of a refusal because of the expected wait: Limited if the rate causes it, else Busy.
func (g *Gate) busyCode(now time.Time, w *queuedCall) outcome.Code {
	ahead := g.ahead(now, w)
	if g.rate.wait(now, ahead+1) > g.slotWait(ahead) {
		return outcome.Limited
	}
	return outcome.Busy
}

// ahead estimates how many queued calls start before w.
func (g *Gate) ahead(now time.Time, w *queuedCall) int {
	levels, level := g.customers.level(now, g.queue, &w.Request)
	if g.sharesByPriority {
		return g.aheadByShare(w, levels, level)
	}
	if levels != nil {
		return g.aheadByCustomer(w, levels, level)
	}
	n := 0
	for n < len(g.queue) && before(&g.queue[n], w) {
		n++
	}
	return n
}

func (g *Gate) admit(now time.Time, r Request, waited time.Duration) Decision {
	n := runningCall{caller: r.Caller, kind: r.Kind, suspect: r.Suspect, start: g.limit.start(len(g.running) + 1)}
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
	g.rate.start(now)
	g.customers.grant(now, &r)
	g.shares.granted[r.rank()]++
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
	g.setUsage(r.caller, u)
	return true
}

// loadDetail formats the load that caused a refusal, for the detail of the failure.
func (g *Gate) loadDetail(now time.Time) string {
	text := fmt.Sprintf(": %d calls running with a limit of %d, %d calls queued, mean service time %s",
		len(g.running), g.limit.value(), len(g.queue), g.limit.meanServiceTime().Round(time.Millisecond))
	if r := g.rate.perSecond(); r > 0 {
		text += fmt.Sprintf(", %.1f calls per second started with a limit of %.1f", g.rate.recent(now), r)
	}
	return text + "."
}

// refuse returns a refusal; the call has not run, so its kind is always notrun.
func (g *Gate) refuse(now time.Time, call string, c outcome.Code, retryAfter time.Duration) Decision {
	g.stats.Refused++
	f := &outcome.Failure{Code: c, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: call, RetryAfter: retryAfter}
	switch c {
	case outcome.Draining:
		f.Detail = "The endpoint is draining and takes no new calls."
	case outcome.DeadlineExceeded:
		f.Status = http.StatusGatewayTimeout
		f.Detail = "The call cannot be answered before its deadline" + g.loadDetail(now)
	case outcome.Busy:
		f.RetryAfter = max(retryAfter, minRetryAfter)
		f.Detail = "The endpoint is busy and cannot answer within the objective" + g.loadDetail(now)
	case outcome.Limited:
		f.RetryAfter = max(retryAfter, minRetryAfter)
		f.Detail = "The rate limit of the endpoint does not allow an answer within the objective" + g.loadDetail(now)
	case outcome.Overload:
		f.RetryAfter = max(retryAfter, minRetryAfter)
		f.Detail = "The slots and the queue of the endpoint are full" + g.loadDetail(now)
	default:
		f.Status = http.StatusConflict
		f.Detail = "A call with the same id is already running or queued at this endpoint."
	}
	return Decision{Call: call, Action: Refuse, Failure: f}
}

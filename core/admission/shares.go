package admission

import (
	"math"
	"time"
)

const (
	// stepsPerPriority is the number of priority levels per priority. Where the priority of a customer replaces that of the route, the
	// level is twice the customer's priority plus the route's (see Request.RouteOffset), so that the customer's counts more.
	stepsPerPriority = 3
	priorityLevels   = stepsPerPriority*(priorities-1) + 1
	ranks            = 2 * priorityLevels // two ranks per level: new requests and nested calls

	shareHalfLife = 2 * time.Second // time after which a call counts half
	sharePrior    = 1.0             // added to the asked and the granted calls of a rank, so that the first calls change its share little
	// priorityAdvantage is how much higher the granted share of a priority may be than that of the next lower one before the
	// lower one starts first.
	priorityAdvantage = 0.1
	// nestedAdvantage makes nested calls start first, penalties apart: while granted shares are at most 1, it exceeds the largest
	// other difference between two scores. Refusing a nested call also loses the work of the request that it is made for.
	nestedAdvantage = 2.0
	// overduePenalty puts new requests that miss their objective behind all that can meet theirs.
	overduePenalty = 3.0
	// callerPenalty puts the calls of a caller that runs half of the limit behind those of other callers; only its nested calls may
	// start before overdue new requests of others.
	callerPenalty = 6.0
)

// shares counts the recent calls of each rank that asked for a slot and that were granted one, with exponential decay.
type shares struct {
	updated time.Time
	asked   [ranks]float64
	granted [ranks]float64
}

// rank returns the index of the request's priority and nesting in shares and waitFactors.
func (r *Request) rank() int {
	k := 2 * min(max(stepsPerPriority*r.Priority+r.RouteOffset, 0), priorityLevels-1)
	if r.Nested {
		k++
	}
	return k
}

// countRequest decays all counts, then adds 1 for a call of the rank that asks for a slot.
func (s *shares) countRequest(now time.Time, rank int) {
	if !s.updated.IsZero() && now.After(s.updated) {
		f := math.Exp2(-float64(now.Sub(s.updated)) / float64(shareHalfLife))
		for i := range s.asked {
			s.asked[i] *= f
			s.granted[i] *= f
		}
	}
	s.updated = now
	s.asked[rank]++
}

// grantedShare returns the share of the recent calls of a rank that were granted a slot, smoothed by sharePrior.
func (s *shares) grantedShare(rank int) float64 {
	return (s.granted[rank] + sharePrior) / (s.asked[rank] + sharePrior)
}

// score orders the ranks under contention: the rank with the lowest score starts next.
func (s *shares) score(rank int) float64 {
	v := s.grantedShare(rank) - priorityAdvantage*float64(rank/2)/stepsPerPriority
	if rank%2 == 1 {
		v -= nestedAdvantage
	}
	return v
}

// nextByShare returns the index of the queued call to start, or -1: the first call of the rank with the lowest score, with
// penalties for calls that miss their objective and for callers that run half of the limit. Of calls with the same score, those of
// customers that used less come first.
func (g *Gate) nextByShare(now time.Time) int {
	best, low := -1, 0.0
	levels, _ := g.customers.level(now, g.queue, nil)
	half := max(1, g.limit.value()/2)
	for i := range g.queue {
		w := &g.queue[i]
		if w.Suspect && g.suspects > 0 {
			continue
		}
		v := g.shares.score(w.rank())
		if w.missesObjective(now, g.limit.serviceTime(w.Kind)) {
			v += overduePenalty
		}
		if !g.ignoreCallers && g.callers[w.Caller].running >= half {
			v += callerPenalty
		}
		if best < 0 || v < low || v == low && levels != nil && levels[i] < levels[best] {
			best, low = i, v
		}
	}
	return best
}

// missesObjective reports whether the call was overdue on arrival, or would miss its objective if it started now and is not a
// last attempt.
func (w *queuedCall) missesObjective(now time.Time, service time.Duration) bool {
	return w.overdue || !w.LastAttempt && !w.Objective.IsZero() && now.Add(service).After(w.Objective)
}

// aheadByShare estimates how many queued calls start before w: those of the same rank ahead of it, all other nested calls
// and, for a new request, as many of the other ranks as their share of the demand admits in that time.
func (g *Gate) aheadByShare(w *queuedCall, levels []int, level int) int {
	rank := w.rank()
	sameRank, nested, otherRanks := 0, 0, 0
	demand := 0.0
	var counted [ranks]bool
	for i := range g.queue {
		q := &g.queue[i]
		k := q.rank()
		switch {
		case k == rank:
			if levels != nil && startsBefore(q, w, levels[i], level) || levels == nil && before(q, w) {
				sameRank++
			}
		case q.Nested:
			nested++
		default:
			otherRanks++
			if !counted[k] {
				counted[k] = true
				demand += g.shares.asked[k]
			}
		}
	}
	if w.Nested {
		return sameRank + nested
	}
	passed := float64(sameRank+1) * demand / max(g.shares.asked[rank], 1)
	return sameRank + nested + min(otherRanks, int(passed))
}

// victimByShare returns the index of the queued call that the new one displaces, or -1. The first choice is the last overdue new
// request, unless the new call is one itself. For a nested call, the second choice is a new request of the rank with the highest score,
// the last one of the customer that uses most. The last choice is a call of the same rank of a customer that uses more.
func (g *Gate) victimByShare(r *queuedCall, levels []int, level int) int {
	for i := len(g.queue) - 1; i >= 0; i-- {
		w := &g.queue[i]
		if w.Nested || r.overdue && !r.Nested {
			continue
		}
		if w.overdue {
			return i
		}
	}
	if !r.Nested {
		return g.victimByCustomer(r, levels, level)
	}
	best, high := -1, 0.0
	for i := range g.queue {
		if w := &g.queue[i]; !w.Nested {
			v := g.shares.score(w.rank())
			if best >= 0 && v == high && levels != nil && levels[i] < levels[best] {
				continue
			}
			if best < 0 || v >= high {
				best, high = i, v
			}
		}
	}
	if best < 0 {
		return g.victimByCustomer(r, levels, level)
	}
	return best
}

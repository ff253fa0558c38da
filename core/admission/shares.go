package admission

import (
	"math"
	"time"
)

const (
	ranks = 2 * priorities // a priority, apart for calls of running requests

	shareHalf  = 2 * time.Second // age at which a call counts half in the shares
	shareFloor = 1.0             // calls that each rank is taken to have asked for and got, so that the first ones tell little
	// shareLead is the share by which one priority is served more than the next lower one while slots are short.
	shareLead = 0.1
	// innerLead is the same for calls of running requests: with a refusal the work of the request is lost as well.
	innerLead = 2.0
	// overduePenalty puts calls that have missed their objective behind all that can meet theirs.
	overduePenalty = 3.0
	// crowdedPenalty puts a caller that runs half of the slots behind the others.
	crowdedPenalty = 6.0
)

// shares counts how many calls of each rank asked for a slot lately, and how many got one.
type shares struct {
	at    time.Time
	asked [ranks]float64
	got   [ranks]float64
}

// rank returns where the calls like this one are counted.
func (r *Request) rank() int {
	k := 2 * min(max(r.Priority, 0), priorities-1)
	if r.Inner {
		k++
	}
	return k
}

// ask counts a call that asks for a slot.
func (s *shares) ask(now time.Time, rank int) {
	if !s.at.IsZero() && now.After(s.at) {
		f := math.Exp2(-float64(now.Sub(s.at)) / float64(shareHalf))
		for i := range s.asked {
			s.asked[i] *= f
			s.got[i] *= f
		}
	}
	s.at = now
	s.asked[rank]++
}

// of returns the share of the calls of a rank that got a slot.
func (s *shares) of(rank int) float64 {
	return (s.got[rank] + shareFloor) / (s.asked[rank] + shareFloor)
}

// standing orders the ranks while slots are short: the lowest one starts next.
func (s *shares) standing(rank int) float64 {
	v := s.of(rank) - shareLead*float64(rank/2)
	if rank%2 == 1 {
		v -= innerLead
	}
	return v
}

// nextByShare returns the queued call to start, or -1: the first in order of the rank that got least of what it asked for.
func (g *Gate) nextByShare(now time.Time) int {
	best, low := -1, 0.0
	half := max(1, g.limit.value()/2)
	for i := range g.queue {
		w := &g.queue[i]
		if w.Suspect && g.suspects > 0 {
			continue
		}
		v := g.shares.standing(w.rank())
		if w.missed(now, g.limit.service(w.Kind)) {
			v += overduePenalty
		}
		if !g.alike && g.callers[w.Caller].running >= half {
			v += crowdedPenalty
		}
		if best < 0 || v < low {
			best, low = i, v
		}
	}
	return best
}

// missed reports whether a call that starts now is answered after its objective.
func (w *waiting) missed(now time.Time, service time.Duration) bool {
	return w.overdue || !w.Final && !w.Objective.IsZero() && now.Add(service).After(w.Objective)
}

// aheadByShare estimates how many queued calls start before the call: those of its rank before it in the queue, calls of
// running requests, and of the other ranks as many as their shares of the demand let through meanwhile.
func (g *Gate) aheadByShare(w *waiting) int {
	rank := w.rank()
	own, inner, others := 0, 0, 0
	demand := 0.0
	var counted [ranks]bool
	for i := range g.queue {
		q := &g.queue[i]
		k := q.rank()
		switch {
		case k == rank:
			if before(q, w) {
				own++
			}
		case q.Inner:
			inner++
		default:
			others++
			if !counted[k] {
				counted[k] = true
				demand += g.shares.asked[k]
			}
		}
	}
	if w.Inner {
		return own + inner
	}
	passed := float64(own+1) * demand / max(g.shares.asked[rank], 1)
	return own + inner + min(others, int(passed))
}

// victimByShare returns the queued call that gives way to the new one, or -1: one that has missed its objective or, for a call
// of a running request, any new request, the last in order first.
func (g *Gate) victimByShare(r *waiting) int {
	for i := len(g.queue) - 1; i >= 0; i-- {
		w := &g.queue[i]
		if w.Inner || r.overdue && !r.Inner {
			continue
		}
		if w.overdue {
			return i
		}
	}
	if !r.Inner {
		return -1
	}
	best, high := -1, 0.0
	for i := range g.queue {
		if w := &g.queue[i]; !w.Inner {
			if v := g.shares.standing(w.rank()); best < 0 || v >= high {
				best, high = i, v
			}
		}
	}
	return best
}

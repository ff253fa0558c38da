package admission

import (
	"time"

	"godwitspindle/core/capacity"
	"godwitspindle/core/outcome"
)

// minSlowdown is the ratio of the expected to the usual service time from which on a call that would miss its objective is refused a free
// slot. Below it, another endpoint is hardly faster.
const minSlowdown = 1.3

// shortCall is the ratio of a short service time to the expected one. A free slot is refused only if even a short call would be late,
// since a slot that stays free is lost.
const shortCall = 0.6

// Estimate is what a gate knows of the capacity of an endpoint that reports its pace.
type Estimate struct {
	Limit     int           // calls that the endpoint handles well at once
	Occupancy float64       // running and waiting calls divided by Limit
	Median    time.Duration // time that half of the calls that start now are expected to take at most
	Slowdown  float64       // expected in relation to usual service time
}

// Report records the load that the backend server reports, and returns decisions for queued calls that may start now. From the first report with a pace
// on, the limit and the expected service times follow an estimate of the capacity.
func (g *Gate) Report(now time.Time, r capacity.Report) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.limit.estimate == nil {
		if r.Pace == 0 {
			return nil
		}
		g.limit.estimate = capacity.New(g.slots)
	}
	g.limit.estimate.Report(now, r)
	return g.startQueued(now)
}

// ResetEstimate forgets the estimate of the capacity, because another process has the endpoint.
func (g *Gate) ResetEstimate() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.estimate = nil
}

// Rejected records that the backend server refused a running call because it was full, or that the connection broke.
func (g *Gate) Rejected(now time.Time, broken bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch e := g.limit.estimate; {
	case e == nil:
	case broken:
		e.Reset(now, len(g.running))
	default:
		e.Refused(now, len(g.running))
	}
}

// Estimate returns the estimate for a request kind; ok is false for an endpoint without one.
func (g *Gate) Estimate(now time.Time, kind string) (s Estimate, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	e := g.limit.estimate
	if e == nil {
		return Estimate{}, false
	}
	e.Advance(now)
	next := len(g.running) + 1
	s.Limit, s.Slowdown = min(e.Capacity(), g.slots), e.Slowdown(next)
	s.Median, _ = e.Median(kind, min(next, s.Limit))
	runnable := float64(s.Limit)
	if g.rate.bucket != nil {
		runnable = max(g.capacity(), minRateCapacity)
	}
	s.Occupancy = float64(len(g.running)+len(g.queue)) / runnable
	return s, true
}

// minRateCapacity keeps the occupancy of an endpoint with a low rate within what a response can state.
const minRateCapacity = 0.1

// refuseSlow returns the refusal of a call that finds a free slot but cannot be answered within its objective, because the endpoint is
// slower than usual now. One call at a time always runs, since only its response shows that the endpoint has recovered.
func (g *Gate) refuseSlow(now time.Time, r *Request, service time.Duration) (Decision, bool) {
	e := g.limit.estimate
	if e == nil || len(g.running) == 0 || r.LastAttempt || r.Resent || r.Objective.IsZero() || !now.Add(time.Duration(shortCall*float64(service))).After(r.Objective) {
		return Decision{}, false
	}
	usual, known := e.Usual(r.Kind)
	if !known || float64(service) < minSlowdown*float64(usual) || now.Add(usual).After(r.Objective) {
		return Decision{}, false
	}
	return g.refuse(now, r.Call, outcome.Busy, service-usual), true
}

// observeEstimate passes the service time of a call that has ended to the estimate.
func (a *adaptiveLimit) observeEstimate(now time.Time, r runningCall, serviceTime time.Duration, running int) {
	if a.estimate != nil {
		a.estimate.Observe(now, r.kind, serviceTime, r.start, running)
	}
}

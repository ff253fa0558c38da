package admission

import "time"

const (
	priorities       = 10                   // number of priorities; the lowest is 0
	waitFactorWeight = 0.1                  // weight of a new observation in the moving average
	maxWaitFactor    = 10.0                 // maximum ratio that is learned, since an extreme wait does not predict the next one
	minEstimate      = 5 * time.Millisecond // minimum estimate that is learned from; ratios to shorter ones are not meaningful

)

// waitFactors learns the ratio of actual to estimated wait. Calls wait longer than the queue at their arrival suggests, since
// calls of higher priority arrive later and start earlier. Each rank has one factor for overdue calls and one for all
// others.
type waitFactors [ranks][2]float64

func (d *waitFactors) entry(w *queuedCall) *float64 {
	index := 0
	if w.overdue {
		index = 1
	}
	return &d[w.rank()][index]
}

// factor returns the learned ratio of actual to estimated wait for calls like w, at least 1.
func (d *waitFactors) factor(w *queuedCall) float64 { return max(*d.entry(w), 1) }

// observe learns from the wait of a call that leaves the queue admitted or refused, if the estimate is at least minEstimate.
func (d *waitFactors) observe(w *queuedCall, now time.Time) {
	if w.estimate < minEstimate {
		return
	}
	ratio := min(float64(now.Sub(w.arrived))/float64(w.estimate), maxWaitFactor)
	f := d.entry(w)
	*f += (max(ratio, 1) - max(*f, 1)) * waitFactorWeight
	*f = max(*f, 1)
}

// expectedWait sets w.estimate to the wait that the queue suggests and returns the expected wait, which for a call with an
// objective includes the learned factor.
func (g *Gate) expectedWait(now time.Time, w *queuedCall) time.Duration {
	w.estimate = g.queueWait(now, *w)
	if w.Objective.IsZero() {
		return w.estimate
	}
	return time.Duration(float64(w.estimate) * g.waitFactors.factor(w))
}

package admission

import "time"

const (
	priorities    = 10                   // 0 to 9
	delayWeight   = 0.1                  // of a new observation
	delayMost     = 10.0                 // a longer wait says more about one moment than about the next
	leastEstimate = 5 * time.Millisecond // shorter estimates give ratios without meaning

)

// delays learns by how much calls wait longer than the queue at their arrival shows, since calls of higher priority come
// after them and start before them. It is kept for each rank, and apart for calls that have missed their objective.
type delays [ranks][2]float64

func (d *delays) at(w *waiting) *float64 {
	over := 0
	if w.overdue {
		over = 1
	}
	return &d[w.rank()][over]
}

// factor returns the multiple of the estimate that calls like this one wait, at least 1.
func (d *delays) factor(w *waiting) float64 { return max(*d.at(w), 1) }

// observe takes the wait of a call that leaves the queue.
func (d *delays) observe(w *waiting, now time.Time) {
	if w.estimate < leastEstimate {
		return
	}
	ratio := min(float64(now.Sub(w.arrived))/float64(w.estimate), delayMost)
	f := d.at(w)
	*f += (max(ratio, 1) - max(*f, 1)) * delayWeight
	*f = max(*f, 1)
}

// expected estimates the wait of a call and notes what the queue alone shows.
func (g *Gate) expected(now time.Time, w *waiting) time.Duration {
	w.estimate = g.wait(now, *w)
	if w.Objective.IsZero() {
		return w.estimate
	}
	return time.Duration(float64(w.estimate) * g.delays.factor(w))
}

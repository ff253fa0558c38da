package admission

import "time"

const (
	smoothing  = 0.1  // weight of a new service time in its average
	windowLow  = 10   // fewest samples of one adjustment
	slow       = 2.0  // the limit falls when a window's mean exceeds this multiple of the baseline
	quick      = 1.5  // and rises when it is below this multiple
	fall       = 0.75 // factor of one fall
	drift      = 1.02 // the baseline rises by 2% a window, so that a lasting change is accepted in the end
	shedFactor = 0.7  // factor when the backend server itself sheds load
)

// adaptive is the limit of running calls. It compares the mean service time of a window with a baseline, the lowest such
// mean: a gradient limit as in TCP Vegas (Brakmo and Peterson, 1995).
type adaptive struct {
	slots    int
	limit    float64
	mean     float64 // smoothed service time, nanoseconds; 0 when nothing was observed
	baseline float64 // nanoseconds

	sum   float64
	count int
	full  bool // the limit was reached in this window
}

func (a *adaptive) reset(slots int) { a.slots, a.limit = slots, float64(slots) }

func (a *adaptive) resize(slots int) {
	if a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
}

func (a *adaptive) value() int { return max(int(a.limit), 1) }

func (a *adaptive) service() time.Duration { return time.Duration(a.mean) }

func (a *adaptive) lower() { a.limit = max(a.limit*shedFactor, 1) }

// observe takes the service time of a call that ended while running calls (itself included) were in flight.
func (a *adaptive) observe(took time.Duration, running int) {
	t := float64(max(took, time.Microsecond))
	if a.mean == 0 {
		a.mean = t
	}
	a.mean += (t - a.mean) * smoothing
	a.sum += t
	a.count++
	a.full = a.full || running >= a.value()
	if a.count < max(windowLow, a.value()) {
		return
	}
	a.adjust(a.sum / float64(a.count))
	a.sum, a.count, a.full = 0, 0, false
}

func (a *adaptive) adjust(mean float64) {
	switch {
	case a.baseline == 0 || mean < a.baseline:
		a.baseline = mean
	case a.value() == 1:
		a.baseline = mean // one call at a time: this is the backend server's speed without load
	default:
		a.baseline = min(a.baseline*drift, mean)
	}
	switch {
	case mean > slow*a.baseline && a.full:
		a.limit = max(a.limit*fall, 1)
	case mean < quick*a.baseline:
		a.limit = min(a.limit+1, float64(a.slots))
	}
}

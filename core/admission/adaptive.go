package admission

import "time"

const (
	smoothing         = 0.1  // weight of a new service time in the moving average
	minWindowSamples  = 10   // minimum samples per window
	decreaseThreshold = 2.0  // the limit decreases when the mean ratio of service time to baseline is above this
	increaseThreshold = 1.5  // the limit increases when that ratio is below this
	decreaseFactor    = 0.75 // multiplies the limit on a decrease
	baselineGrowth    = 1.02 // the baseline grows by 2% per window, so that it adapts to a lasting slowdown
	shedFactor        = 0.7  // multiplies the limit when the backend server itself sheds load
	maxKinds          = 256  // maximum request kinds with separate averages
)

// adaptiveLimit limits concurrent calls. It compares the mean service time of a window with a baseline, the lowest such mean:
// a gradient limit as in TCP Vegas (Brakmo and Peterson, 1995). It tracks service times per request kind, because a change in
// the mix of kinds would otherwise look like a change in the speed of the backend server.
type adaptiveLimit struct {
	slots int
	fixed bool // the limit stays at slots
	limit float64
	mean  float64 // moving average of the service time of all kinds, in nanoseconds; 0 before the first call
	kinds map[string]*kindStats

	ratioSum     float64 // sum over the window of service time / baseline of the kind
	count        int
	limitReached bool // running calls reached the limit in this window
}

// kindStats holds the service times of one request kind.
type kindStats struct {
	mean     float64 // moving average of the service time, in nanoseconds
	baseline float64 // lowest window mean, in nanoseconds
	sum      float64
	count    int
}

func (a *adaptiveLimit) reset(slots int) {
	a.slots, a.limit = slots, float64(slots)
	a.kinds = map[string]*kindStats{}
}

func (a *adaptiveLimit) resize(slots int) {
	if a.fixed || a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
}

func (a *adaptiveLimit) value() int { return max(int(a.limit), 1) }

// serviceTime returns the expected service time of a request kind, or the mean of all kinds if the kind is unknown.
func (a *adaptiveLimit) serviceTime(kind string) time.Duration {
	if p := a.kinds[kind]; p != nil {
		return time.Duration(p.mean)
	}
	return a.meanServiceTime()
}

// meanServiceTime returns the moving average over all kinds, 0 before the first call.
func (a *adaptiveLimit) meanServiceTime() time.Duration { return time.Duration(a.mean) }

func (a *adaptiveLimit) minBaseline() time.Duration {
	least := 0.0
	for _, p := range a.kinds {
		if least == 0 || p.baseline < least {
			least = p.baseline
		}
	}
	return time.Duration(least)
}

// shed decreases the limit after the backend server has shed load.
func (a *adaptiveLimit) shed() {
	if !a.fixed {
		a.limit = max(a.limit*shedFactor, 1)
	}
}

// observe records the service time of a call that has ended; running is the number of calls in flight, including this one.
func (a *adaptiveLimit) observe(kind string, took time.Duration, running int) {
	t := float64(max(took, time.Microsecond))
	p := a.statsOf(kind, t)
	if a.mean == 0 {
		a.mean = t
	}
	a.mean += (t - a.mean) * smoothing
	p.mean += (t - p.mean) * smoothing
	p.sum += t
	p.count++
	if p.count >= max(minWindowSamples, a.value()) {
		p.endWindow(a.value())
	}
	a.limitReached = a.limitReached || running >= a.value()
	if p.baseline == 0 {
		return
	}
	a.ratioSum += t / p.baseline
	a.count++
	if a.count < max(minWindowSamples, a.value()) {
		return
	}
	a.adjust(a.ratioSum / float64(a.count))
	a.ratioSum, a.count, a.limitReached = 0, 0, false
}

func (a *adaptiveLimit) statsOf(kind string, first float64) *kindStats {
	p := a.kinds[kind]
	if p != nil {
		return p
	}
	if len(a.kinds) >= maxKinds {
		clear(a.kinds) // bounds memory as routes change; service times are relearned quickly
	}
	p = &kindStats{mean: first}
	a.kinds[kind] = p
	return p
}

// endWindow updates the baseline from the window that ends.
func (p *kindStats) endWindow(limit int) {
	mean := p.sum / float64(p.count)
	p.sum, p.count = 0, 0
	switch {
	case p.baseline == 0 || mean < p.baseline:
		p.baseline = mean
	case limit == 1:
		p.baseline = mean // with one call at a time, the mean is the service time without load
	default:
		p.baseline = min(p.baseline*baselineGrowth, mean)
	}
}

// adjust updates the limit from the mean ratio of service time to baseline in the window.
func (a *adaptiveLimit) adjust(ratio float64) {
	if a.fixed {
		return
	}
	switch {
	case ratio > decreaseThreshold && a.limitReached:
		a.limit = max(a.limit*decreaseFactor, 1)
	case ratio < increaseThreshold:
		a.limit = min(a.limit+1, float64(a.slots))
	}
}

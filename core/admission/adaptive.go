package admission

import (
	"time"

	"godwitspindle/core/capacity"
)

const (
	smoothing         = 0.1  // weight of a new service time in the moving averages
	minWindowSamples  = 10   // minimum samples per window; a window has as many samples as the limit if that is more
	decreaseThreshold = 2.0  // a mean ratio of service time to baseline above this decreases a limit that was reached
	increaseThreshold = 1.5  // a mean ratio of service time to baseline below this increases the limit by 1
	decreaseFactor    = 0.75 // multiplies the limit on a decrease
	baselineGrowth    = 1.02 // the baseline grows by at most 2% per window, so that it adapts to a lasting slowdown
	shedFactor        = 0.7  // multiplies the limit when the backend server itself sheds load
	maxKinds          = 256  // maximum request kinds with separate averages
)

// adaptiveLimit limits concurrent calls by a gradient as in TCP Vegas (Brakmo and Peterson, 1995): it compares the service times
// of a window with a baseline, a slowly growing minimum of the window means. Both are kept per request kind, because a change
// in the mix of kinds would otherwise look like a change in the speed of the backend server.
type adaptiveLimit struct {
	slots int
	fixed bool // keeps the limit at slots
	limit float64
	mean  float64 // moving average of the service time of all kinds, in nanoseconds; 0 before the first call
	kinds map[string]*kindStats
	// estimate replaces the service times and bounds the limit of an endpoint that reports its pace; nil for other endpoints.
	estimate *capacity.Estimator
	running  int // running calls when a call is decided on, for estimate

	ratioSum     float64 // sum over the window of each call's service time divided by the baseline of its kind
	count        int     // calls in ratioSum
	limitReached bool    // whether the running calls reached the limit in this window
}

// kindStats holds the service times of one request kind.
type kindStats struct {
	mean     float64 // moving average of the service time, in nanoseconds
	baseline float64 // slowly growing minimum of the window means, in nanoseconds; 0 before the end of the first window
	sum      float64 // sum of the service times in this window, in nanoseconds
	count    int     // calls in this window
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
	if a.estimate != nil {
		a.estimate.Resize(slots)
	}
}

func (a *adaptiveLimit) value() int {
	if a.estimate != nil {
		return max(min(int(a.limit), a.estimate.Limit()), 1)
	}
	return max(int(a.limit), 1)
}

// advance passes the time and the number of running calls to the estimate.
func (a *adaptiveLimit) advance(now time.Time, running int) {
	a.running = running
	if a.estimate != nil {
		a.estimate.Advance(now)
	}
}

// start returns what is known of the endpoint when a call starts; running includes that call.
func (a *adaptiveLimit) start(running int) capacity.Start {
	if a.estimate == nil {
		return capacity.Start{}
	}
	return a.estimate.Start(running)
}

// serviceTime returns the expected service time of a request kind, or the mean over all kinds if the kind has had no call.
func (a *adaptiveLimit) serviceTime(kind string) time.Duration {
	if a.estimate != nil {
		if d, known := a.expected(kind); known {
			return d
		}
	}
	if k := a.kinds[kind]; k != nil {
		return time.Duration(k.mean)
	}
	return a.meanServiceTime()
}

// expected returns the estimated service time of a kind. While no call runs it is the usual one, so that a false report cannot keep
// an endpoint from being tried.
func (a *adaptiveLimit) expected(kind string) (time.Duration, bool) {
	if a.running == 0 {
		return a.estimate.Usual(kind)
	}
	return a.estimate.Expected(kind, min(a.running+1, a.value()))
}

// meanServiceTime returns the expected service time over all kinds, 0 before the first call.
func (a *adaptiveLimit) meanServiceTime() time.Duration {
	if a.estimate != nil {
		if d, known := a.estimate.Mean(a.value()); known {
			return d
		}
	}
	return time.Duration(a.mean)
}

func (a *adaptiveLimit) minBaseline() time.Duration {
	lowest := 0.0
	for _, k := range a.kinds {
		if lowest == 0 || k.baseline < lowest {
			lowest = k.baseline
		}
	}
	return time.Duration(lowest)
}

// shed decreases the limit, unless it is fixed, after the backend server has shed load.
func (a *adaptiveLimit) shed() {
	if !a.fixed {
		a.limit = max(a.limit*shedFactor, 1)
	}
}

// observe records the service time of a call that has ended; running is the number of calls in flight, including this one.
func (a *adaptiveLimit) observe(kind string, serviceTime time.Duration, running int) {
	t := float64(max(serviceTime, time.Microsecond))
	k := a.statsOf(kind, t)
	if a.mean == 0 {
		a.mean = t
	}
	a.mean += (t - a.mean) * smoothing
	k.mean += (t - k.mean) * smoothing
	k.sum += t
	k.count++
	if k.count >= max(minWindowSamples, a.value()) {
		k.endWindow(a.value())
	}
	a.limitReached = a.limitReached || running >= a.value()
	if k.baseline == 0 {
		return
	}
	a.ratioSum += t / k.baseline
	a.count++
	if a.count < max(minWindowSamples, a.value()) {
		return
	}
	a.adjust(a.ratioSum / float64(a.count))
	a.ratioSum, a.count, a.limitReached = 0, 0, false
}

func (a *adaptiveLimit) statsOf(kind string, initial float64) *kindStats {
	k := a.kinds[kind]
	if k != nil {
		return k
	}
	if len(a.kinds) >= maxKinds {
		clear(a.kinds) // bounds memory when routes change; service times are relearned quickly
	}
	k = &kindStats{mean: initial}
	a.kinds[kind] = k
	return k
}

// endWindow updates the baseline from the window that ends.
func (k *kindStats) endWindow(limit int) {
	mean := k.sum / float64(k.count)
	k.sum, k.count = 0, 0
	switch {
	case k.baseline == 0 || mean < k.baseline:
		k.baseline = mean
	case limit == 1:
		k.baseline = mean // with one call at a time, the mean is the service time without load
	default:
		k.baseline = min(k.baseline*baselineGrowth, mean)
	}
}

// adjust changes the limit, unless it is fixed, after a window with the given mean ratio of service time to baseline.
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

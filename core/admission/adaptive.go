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
	maxKinds   = 256  // kinds of request whose times are kept apart
)

// adaptive is the limit of running calls. It compares the mean service time of a window with a baseline, the lowest such
// mean: a gradient limit as in TCP Vegas (Brakmo and Peterson, 1995). Service times are kept apart by kind of request, since
// a change of the mix would otherwise look like a change of the backend server's speed.
type adaptive struct {
	slots int
	fixed bool // the limit stays at slots
	limit float64
	all   float64 // smoothed service time of all kinds, nanoseconds; 0 when nothing was observed
	kinds map[string]*pace

	ratios float64 // sum of service times as multiples of their kind's baseline
	count  int
	full   bool // the limit was reached in this window
}

// pace is the speed of one kind of request.
type pace struct {
	mean     float64 // smoothed service time, nanoseconds
	baseline float64 // nanoseconds
	sum      float64
	count    int
}

func (a *adaptive) reset(slots int) {
	a.slots, a.limit = slots, float64(slots)
	a.kinds = map[string]*pace{}
}

func (a *adaptive) resize(slots int) {
	if a.fixed || a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
}

func (a *adaptive) value() int { return max(int(a.limit), 1) }

// service returns the expected time of a call of a kind; that of all calls while the kind is not known.
func (a *adaptive) service(kind string) time.Duration {
	if p := a.kinds[kind]; p != nil {
		return time.Duration(p.mean)
	}
	return a.average()
}

// average returns the expected time of a call of any kind.
func (a *adaptive) average() time.Duration { return time.Duration(a.all) }

// lowest returns the lowest baseline.
func (a *adaptive) lowest() time.Duration {
	least := 0.0
	for _, p := range a.kinds {
		if least == 0 || p.baseline < least {
			least = p.baseline
		}
	}
	return time.Duration(least)
}

func (a *adaptive) lower() {
	if !a.fixed {
		a.limit = max(a.limit*shedFactor, 1)
	}
}

// observe takes the service time of a call that ended while running calls (itself included) were in flight.
func (a *adaptive) observe(kind string, took time.Duration, running int) {
	t := float64(max(took, time.Microsecond))
	p := a.pace(kind, t)
	if a.all == 0 {
		a.all = t
	}
	a.all += (t - a.all) * smoothing
	p.mean += (t - p.mean) * smoothing
	p.sum += t
	p.count++
	if p.count >= max(windowLow, a.value()) {
		p.adjust(a.value())
	}
	a.full = a.full || running >= a.value()
	if p.baseline == 0 {
		return
	}
	a.ratios += t / p.baseline
	a.count++
	if a.count < max(windowLow, a.value()) {
		return
	}
	a.adjust(a.ratios / float64(a.count))
	a.ratios, a.count, a.full = 0, 0, false
}

func (a *adaptive) pace(kind string, first float64) *pace {
	p := a.kinds[kind]
	if p != nil {
		return p
	}
	if len(a.kinds) >= maxKinds {
		clear(a.kinds) // routes come and go; the times are soon known again
	}
	p = &pace{mean: first}
	a.kinds[kind] = p
	return p
}

// adjust ends a window of a kind.
func (p *pace) adjust(limit int) {
	mean := p.sum / float64(p.count)
	p.sum, p.count = 0, 0
	switch {
	case p.baseline == 0 || mean < p.baseline:
		p.baseline = mean
	case limit == 1:
		p.baseline = mean // one call at a time: this is the backend server's speed without load
	default:
		p.baseline = min(p.baseline*drift, mean)
	}
}

// adjust ends a window of all kinds with its mean as a multiple of the baselines.
func (a *adaptive) adjust(ratio float64) {
	if a.fixed {
		return
	}
	switch {
	case ratio > slow && a.full:
		a.limit = max(a.limit*fall, 1)
	case ratio < quick:
		a.limit = min(a.limit+1, float64(a.slots))
	}
}

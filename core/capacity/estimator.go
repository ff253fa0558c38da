package capacity

import (
	"math"
	"time"
)

const (
	maxKinds   = 256 // maximum request kinds with separate averages
	minSamples = 5   // calls before times are estimated

	// kindWeight is the minimum weight of a call in the usual time of its kind; the first calls weigh more. With 0.02, the usual time
	// absorbed a slowdown by concurrency before the levels could show it.
	kindWeight  = 0.005
	tailWeight  = 0.02 // weight of a call in the mean ratio of observed to expected time
	driftWeight = 0.1  // weight of a call in the deviation of recent calls from what is expected: a slowdown shows in ten calls
	driftNoise  = 0.2  // drift up to which recent calls are no sign of a change: 1.5 standard deviations
	meanWeight  = 0.05 // weight of a call in the mean time over all kinds
	maxResidual = 1.5  // maximum logarithm of observed to expected time that is learned from, since 3% of calls take 7 times as long
	maxTail     = 8.0  // maximum ratio of observed to expected time that counts for the mean

	paceMemory   = 10 * time.Second       // time constant of the usual pace
	paceLasts    = 500 * time.Millisecond // age up to which a reported pace counts fully; then it halves in each such period
	paceDecay    = 0.995                  // factor per call by which earlier calls lose weight in the trust in the reported pace
	paceEvidence = 2.0                    // weight of the assumption that the reported pace is right
	maxTrust     = 1.2
	maxStep      = time.Second // maximum time between two calls for which the pace in between is taken as known

	fitCalls      = 16                     // calls between two comparisons of the models of concurrency
	growPeriod    = time.Second            // time after which the limit may grow by one
	relaxPeriod   = 2 * time.Second        // time after which the bound that a refusal set grows by one
	limitMargin   = 1.1                    // the limit exceeds the estimate by this factor, since a low limit loses throughput
	resetFactor   = 0.75                   // a reset at a busy endpoint bounds the calls to this share of those that ran
	refusalWeight = 0.05                   // weight of a call in the share of refused calls
	waitWeight    = 0.1                    // weight of a report in the average of reported waiting requests
	maxWaiting    = 0.5                    // average of reported waiting requests above which the limit falls to the running ones
	trialCalls    = 15.0                   // weight of calls with up to half of the limit that makes a trial unnecessary
	trialPeriod   = time.Minute            // minimum time between two trials
	trialTimes    = 4                      // length of a trial in mean service times; it takes one until fewer calls run
	maxTrial      = 2 * time.Second        // maximum length of a trial
	fullCalls     = 3                      // calls that end at a full endpoint before a trial, in relation to the limit
	fullShare     = 0.8                    // share of the limit from which on an endpoint counts as full
	minRefit      = 250 * time.Millisecond // minimum time between two comparisons
)

// maxSlowdown bounds the logarithm of current to usual time, so that a false report cannot stop an endpoint.
var maxSlowdown = math.Log(4)

// Estimator estimates the capacity of one endpoint. It is not safe for concurrent use.
type Estimator struct {
	slots int
	now   time.Time

	kinds   map[string]*kindStats
	samples int
	mean    float64 // mean usual time over all kinds, in seconds
	drift   float64 // deviation of recent calls from what is expected, as a logarithm
	tail    float64 // mean ratio of observed to expected time

	pace       float64 // logarithm of the last reported pace
	usualPace  float64 // average of pace over paceMemory
	reportedAt time.Time
	paceSum    float64    // integral of the deviation from usualPace over time, in seconds
	atStart    regression // of the time of calls on the pace at their start, which predicts the time of the next one
	during     regression // of the time of calls on the mean pace while they ran, which explains past times
	waiting    float64    // average of reported waiting requests

	refusedFull  float64 // share of refused calls while the endpoint was nearly full
	refusedBelow float64 // the same at other times

	levels    levels
	limit     float64
	bound     float64   // maximum of limit after refusals and resets
	full      int       // calls that ended while the endpoint was full, since it was last known how long calls take with fewer
	trialEnds time.Time // end of the last trial with fewer calls
	grewAt    time.Time
	relaxedAt time.Time
	fitted    int // calls since the last comparison of models
	fittedAt  time.Time
}

type kindStats struct {
	usual float64 // logarithm of the usual time in seconds
	calls float64
}

// Start is what was known of the endpoint when a call started. The zero value marks a call that started before the first report.
type Start struct {
	known   bool
	at      time.Time
	pace    float64 // deviation of the pace from the usual one
	paceSum float64
	running int
}

// regression is that of the logarithm of service times on that of the pace.
type regression struct{ xx, xy float64 }

func (r *regression) add(x, y float64) {
	r.xx = r.xx*paceDecay + x*x
	r.xy = r.xy*paceDecay + x*y
}

// slope returns the exponent with which service times follow the reported pace: 1 if they are proportional to it, 0 if the report
// says nothing about them. Thus observations outrank a report that contradicts them.
func (r *regression) slope() float64 {
	return min(max((r.xy+paceEvidence)/(r.xx+paceEvidence), 0), maxTrust)
}

// New returns an Estimator for an endpoint with the given slots.
func New(slots int) *Estimator {
	e := &Estimator{kinds: map[string]*kindStats{}, tail: 1}
	e.Resize(slots)
	return e
}

// Resize sets the slots of the endpoint. The number of calls that run well at once is learned again.
func (e *Estimator) Resize(slots int) {
	slots = max(slots, 1)
	if slots == e.slots {
		return
	}
	e.slots, e.limit, e.bound = slots, float64(slots), float64(slots)
	e.levels.resize(slots)
}

// Capacity returns the number of calls that the endpoint handles well at once, at least 1 and at most its slots.
func (e *Estimator) Capacity() int { return max(int(min(e.limit, e.bound)), 1) }

// Limit returns the maximum number of calls that may run now. It is Capacity, or half of it during a trial.
func (e *Estimator) Limit() int {
	if e.now.Before(e.trialEnds) {
		return (e.Capacity() + 1) / 2
	}
	return e.Capacity()
}

// tryLess begins a trial with fewer calls if the endpoint was full for so long that nothing shows how long calls take with fewer, and
// ends a trial that has shown it.
func (e *Estimator) tryLess(running int) {
	if e.levels.weightUpTo(float64(e.Capacity())/2) >= trialCalls {
		e.full, e.trialEnds = 0, minTime(e.trialEnds, e.now)
		return
	}
	if float64(running) < fullShare*float64(e.Capacity()) {
		return
	}
	e.full++
	if e.full > fullCalls*e.Capacity() && e.now.Sub(e.trialEnds) >= trialPeriod {
		e.full, e.trialEnds = 0, e.now.Add(min(seconds(trialTimes*e.mean*e.tail), maxTrial))
	}
}

// Report records the load that the backend server reports.
func (e *Estimator) Report(now time.Time, r Report) {
	e.Advance(now)
	if r.Pace > 0 {
		p := math.Log(float64(r.Pace) / 100)
		if e.reportedAt.IsZero() {
			e.usualPace = p
		}
		e.usualPace += (p - e.usualPace) * -math.Expm1(-float64(now.Sub(e.reportedAt))/float64(paceMemory))
		e.pace, e.reportedAt = p, now
	}
	e.waiting += (float64(r.Waiting) - e.waiting) * waitWeight
	if e.waiting > maxWaiting && r.Running > 0 {
		e.restrict(float64(r.Running))
		e.waiting = 0
	}
}

// Advance sets the time, raises the limit if it is due and lets old reports lose weight.
func (e *Estimator) Advance(now time.Time) {
	if !now.After(e.now) {
		return
	}
	e.paceSum += e.paceDeviation() * min(now.Sub(e.now), maxStep).Seconds()
	e.now = now
	if now.Sub(e.relaxedAt) >= relaxPeriod {
		e.bound, e.relaxedAt = min(e.bound+1, float64(e.slots)), now
	}
	if target := e.levels.model.limit(e.slots); e.limit < target && now.Sub(e.grewAt) >= growPeriod {
		e.limit, e.grewAt = min(e.limit+1, target), now
	}
}

// Start returns what is known when a call starts; running is the number of calls that run then, including this one.
func (e *Estimator) Start(running int) Start {
	return Start{known: true, at: e.now, pace: e.paceDeviation(), paceSum: e.paceSum, running: running}
}

// Observe learns from the service time of a call; running is the number of calls that run at its end, including this one.
func (e *Estimator) Observe(now time.Time, kind string, took time.Duration, s Start, running int) {
	e.Advance(now)
	if !s.known {
		return
	}
	t := math.Log(max(took, time.Millisecond).Seconds())
	k := e.statsOf(kind, t)
	concurrency := float64(s.running+running) / 2
	deviation := t - k.usual
	bounded := clamp(deviation-e.levels.model.factor(concurrency), 2*maxResidual)
	pace := (e.paceSum - s.paceSum) / max(now.Sub(s.at), time.Millisecond).Seconds()
	e.atStart.add(s.pace, bounded)
	e.during.add(pace, bounded)
	predicted := e.atStart.slope()*s.pace + e.levels.model.factor(concurrency) + e.drift
	e.tail += (min(math.Exp(deviation-predicted), maxTail) - e.tail) * tailWeight
	deviation -= e.during.slope() * pace
	e.levels.add(concurrency, clamp(deviation, maxResidual))

	residual := clamp(deviation-e.levels.model.factor(concurrency), maxResidual)
	e.drift += (residual - e.drift) * driftWeight
	k.usual += residual * max(1/k.calls, kindWeight)
	k.calls++
	e.samples++
	e.mean += (math.Exp(k.usual) - e.mean) * max(1/float64(e.samples), meanWeight)
	e.countRefusal(running, 0)
	e.tryLess(running)
	e.fit(now)
}

// fit compares the models of concurrency after enough calls, and lowers the limit if it is above that of the best model.
func (e *Estimator) fit(now time.Time) {
	e.fitted++
	if e.fitted < fitCalls || now.Sub(e.fittedAt) < minRefit {
		return
	}
	e.fitted, e.fittedAt = 0, now
	e.levels.fit(now)
	if target := e.levels.model.limit(e.slots); target < e.limit {
		e.limit, e.grewAt = target, now
	}
}

// Refused records that the backend server refused a call without running it; running is the number of calls that ran, including
// that one. With few calls running, the cause is not load, and fewer calls would be refused as often.
func (e *Estimator) Refused(now time.Time, running int) {
	e.Advance(now)
	full := e.countRefusal(running, 1)
	if full && e.refusedBelow < e.refusedFull/2 {
		e.restrict(float64(running - 1))
	}
}

// countRefusal counts a call that was refused (1) or not (0), and reports whether the endpoint was nearly full. Refusals that are as
// frequent at other times are a fault of the endpoint, so that fewer calls do not help.
func (e *Estimator) countRefusal(running int, value float64) bool {
	if float64(running) > fullShare*float64(e.slots) {
		e.refusedFull += (value - e.refusedFull) * refusalWeight
		return true
	}
	e.refusedBelow += (value - e.refusedBelow) * refusalWeight
	return false
}

// Reset records that the connection of a call broke. A full endpoint may have reset it; at another one the cause is not load.
func (e *Estimator) Reset(now time.Time, running int) {
	e.Advance(now)
	if float64(running) > fullShare*float64(e.slots) {
		e.restrict(math.Floor(float64(running) * resetFactor))
	}
}

// restrict bounds the limit to n for a while, but not below half of the slots: what the backend server states can be false, and only
// service times show that it handles fewer.
func (e *Estimator) restrict(n float64) {
	e.bound, e.relaxedAt = min(e.bound, max(n, math.Ceil(float64(e.slots)/2))), e.now
}

// Expected returns the mean time that calls of the given kind are expected to take if they start now with running calls, including
// themselves. It reports false before enough calls were observed.
func (e *Estimator) Expected(kind string, running int) (time.Duration, bool) {
	d, known := e.Median(kind, running)
	return time.Duration(e.tail * float64(d)), known
}

// Median returns the time that half of the calls of Expected are expected to take. The mean is larger because of a few long calls; it is
// better for refusals, since calls that are late by chance take slots of others.
func (e *Estimator) Median(kind string, running int) (time.Duration, bool) {
	return seconds(e.usual(kind) * e.Slowdown(running)), e.samples >= minSamples
}

// Usual returns the mean time of calls of the given kind without the current slowdown. It reports false before enough calls were
// observed.
func (e *Estimator) Usual(kind string) (time.Duration, bool) {
	return seconds(e.usual(kind) * e.tail), e.samples >= minSamples
}

// Mean returns the expected time of a call of any kind that starts now with running calls, including itself. It reports false
// before enough calls were observed.
func (e *Estimator) Mean(running int) (time.Duration, bool) {
	return seconds(e.mean * e.tail * e.Slowdown(running)), e.samples >= minSamples
}

// Slowdown returns the factor by which calls take longer now than usual, with running calls. It is between 1/4 and 4.
func (e *Estimator) Slowdown(running int) float64 {
	return math.Exp(clamp(e.atStart.slope()*e.paceDeviation()+e.recentDrift()+e.levels.model.factor(float64(running)), maxSlowdown))
}

// recentDrift returns drift, reduced by as much as it may be noise.
func (e *Estimator) recentDrift() float64 {
	if math.Abs(e.drift) <= driftNoise {
		return 0
	}
	return e.drift - driftNoise*driftNoise/e.drift
}

// usual returns the usual time of a kind in seconds, or the mean over all kinds if the kind is not known.
func (e *Estimator) usual(kind string) float64 {
	if k := e.kinds[kind]; k != nil {
		return math.Exp(k.usual)
	}
	return e.mean
}

// paceDeviation returns the logarithm of the current to the usual pace. It approaches 0 as the report ages.
func (e *Estimator) paceDeviation() float64 {
	d := clamp(e.pace-e.usualPace, maxSlowdown)
	if age := e.now.Sub(e.reportedAt); age > paceLasts {
		d *= math.Exp2(1 - float64(age)/float64(paceLasts))
	}
	return d
}

func (e *Estimator) statsOf(kind string, initial float64) *kindStats {
	k := e.kinds[kind]
	if k != nil {
		return k
	}
	if len(e.kinds) >= maxKinds {
		clear(e.kinds) // bounds memory when routes change; times are learned again quickly
	}
	k = &kindStats{usual: initial, calls: 1}
	e.kinds[kind] = k
	return k
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func clamp(v, bound float64) float64 { return min(max(v, -bound), bound) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

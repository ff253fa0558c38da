package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// ordinaryFailures is a share of failures that a good release may show: more than twice the 0.4% of the services in
	// simulation_test.go.
	ordinaryFailures = 0.01
	// failureFactor is the maximum ratio of the failure rate of a good release to that of the old one.
	failureFactor = 2
	maxFailures   = 0.9 // a usual failure rate from this on leaves no room for a comparison
	minFailures   = 3   // minimum number of failures for a conclusion
	// coldSlowdownBuckets is how much slower a part of the answers may be at any time: three buckets, 2.8 times. New endpoints take twice
	// the time at their start, and more of their first requests go to slow machines.
	coldSlowdownBuckets = 3
	minSlowPart         = 0.1 // minimum part of the answers that must be slower
	// maxWarmShift is how much slower warm endpoints may be in the mean, as a logarithm: 28%. It covers that the few requests of the new
	// release go to slow machines more often than those of the old one, of which the nodes know which are fast.
	maxWarmShift   = 0.25
	minMeanAnswers = 10 // minimum number of answers for a comparison of means
	// smallSampleFactor divided by the number of answers is the share by which the required deviations are raised: times have a long tail,
	// so that the mean of few of them is not normally distributed.
	smallSampleFactor = 4
	criticalDistance  = 2.15 // critical value of the one-sided Kolmogorov-Smirnov test for odds of 1 in 10,000
	minReference      = 30   // minimum number of answers of the old release for a comparison with its times or its recent failures
)

// threshold is the evidence that a conclusion against the new release requires.
type threshold struct {
	failures float64 // logarithm of the odds against as many failures of a good release
	shift    float64 // standard deviations by which the times are above the tolerated ones
}

// rollbackThreshold is required for a rollback, which is checked many times a second: a good release that is checked for a minute has a
// false alarm in fewer than 1 of 100 rollouts. holdThreshold is required to hold the share, or to roll back in place of a completion; it is
// lower, since these decisions are few.
var (
	rollbackThreshold = threshold{failures: 11, shift: 4.5}
	holdThreshold     = threshold{failures: 6.5, shift: 3.3}
)

// reference holds the counts of the old release that the new one is compared with.
type reference struct {
	all    Counts // since the order
	recent Counts // of the last seconds; they show a slow-down of both releases
}

// failing reports whether the new release has more failures than chance and the old release's failures explain.
func failing(c *Counts, ref reference, required threshold) bool {
	n := float64(c.Sum())
	if c.Failures < minFailures {
		return false
	}
	usual := max(ordinaryFailures, failureFactor*ref.all.failureRate())
	if ref.recent.Sum() >= minReference {
		usual = max(usual, failureFactor*ref.recent.lowerFailureRate())
	}
	rate := c.failureRate()
	if usual >= maxFailures || rate <= usual {
		return false
	}
	// Chernoff's bound: with the usual rate, the probability of as many failures is at most exp(-n*divergence).
	return n*divergence(rate, usual) > required.failures
}

// lowerFailureRate returns a lower estimate of the failure rate, by one standard deviation, since a few failures among few answers may be
// chance.
func (c *Counts) lowerFailureRate() float64 {
	f := float64(c.Failures)
	return (f - math.Sqrt(f)) / float64(max(c.Sum(), 1))
}

// divergence returns the relative entropy of two rates.
func divergence(a, b float64) float64 {
	d := a * math.Log(a/b)
	if a < 1 {
		d += (1 - a) * math.Log((1-a)/(1-b))
	}
	return d
}

// slow reports whether a part of the answers of the new release takes several times as long as those of the old one.
func slow(c *Counts, ref reference) bool {
	return slower(c, &ref.all) && (ref.recent.Answers < minReference || slower(c, &ref.recent))
}

// slower is a one-sided Kolmogorov-Smirnov test of the times of c, shortened by coldSlowdownBuckets, against those of o.
func slower(c, o *Counts) bool {
	n, m := float64(c.Answers), float64(o.Answers)
	if n == 0 || m < minReference {
		return false
	}
	critical := max(minSlowPart, criticalDistance*math.Sqrt((n+m)/(n*m)))
	var below, reference float64 // answers up to a bucket
	for i := range coldSlowdownBuckets {
		below += float64(c.Times[i])
	}
	for i := range Buckets - coldSlowdownBuckets {
		below += float64(c.Times[i+coldSlowdownBuckets])
		reference += float64(o.Times[i])
		if reference/m-below/n > critical {
			return true
		}
	}
	return false
}

// shift is the difference of the mean logarithms of times between the releases, summed over routes by answers of the new release.
type shift struct{ answers, sum, variance float64 }

func (s *shift) add(c, o *Counts) {
	if c.Answers == 0 || o.Answers < minReference {
		return
	}
	n := float64(c.Answers)
	mean, variance := c.logarithms()
	oldMean, oldVariance := o.logarithms()
	s.answers += n
	s.sum += n * (mean - oldMean)
	// Few answers may lie in one bucket by chance, so the variance is at least that of the old release.
	s.variance += n*max(variance, oldVariance) + n*n*oldVariance/float64(o.Answers)
}

// exceeds reports whether the new release is slower than maxWarmShift by at least the given standard deviations.
func (s *shift) exceeds(deviations float64) bool {
	if s.answers < minMeanAnswers {
		return false
	}
	deviations *= 1 + smallSampleFactor/s.answers
	return s.sum-s.answers*maxWarmShift > deviations*math.Sqrt(s.variance)
}

// logarithms returns the mean and the variance of the logarithms of the times. A bucket adds the variance of a uniform distribution.
func (c *Counts) logarithms() (mean, variance float64) {
	const width = math.Ln2 / doubling
	n := float64(max(c.Answers, 1))
	var sum, squares float64
	for i, k := range c.Times {
		x := float64(i) * width
		sum += float64(k) * x
		squares += float64(k) * x * x
	}
	mean = sum / n
	return mean, max(squares/n-mean*mean, 0) + width*width/12
}

// Failing reports whether the counts of one node, by route and side, show that the new release fails; a node with such counts stops
// sending requests to it without waiting for the leader.
func Failing(counts map[Key]Counts) bool {
	var old, fresh Counts
	for k, c := range counts {
		if !k.New {
			old.add(&c)
			continue
		}
		fresh.add(&c)
		if o := counts[Key{Route: k.Route}]; failing(&c, reference{all: o}, rollbackThreshold) {
			return true
		}
	}
	return failing(&fresh, reference{all: old}, rollbackThreshold)
}

// window holds the counts of a period, and those of the old release in the same period or, for the whole rollout, in the last seconds.
type window struct {
	counts map[Key]*Counts
	recent map[Key]*Counts
	warm   bool // the new endpoints were warm in the whole period
}

// evidence returns why the new release is bad, or an empty text. It compares each route and all routes together, over the whole rollout
// and over the last seconds, which show a release that turns bad later. The kept counts are those of the agreed state, which include
// nodes that have not reported to this leader.
func (t *Tally) evidence(now time.Time, kept Counts, required threshold) string {
	latest, _ := t.recentCounts(now, recentPeriod)
	newest, _ := t.recentCounts(now, stepPeriod)
	old, _ := sides(t.total)
	latestOld, _ := sides(latest)
	if failing(&kept, reference{all: old, recent: latestOld}, required) {
		return describe(ReasonFailing, "all routes", &kept)
	}
	for _, w := range []window{
		{t.total, latest, false},
		{t.warm, t.warm, true},
		{latest, latest, t.isWarm(now.Add(-recentPeriod))},
		{newest, newest, t.isWarm(now.Add(-stepPeriod))},
	} {
		if fault := t.judge(w, old, required); fault != "" {
			return fault
		}
	}
	return ""
}

func (t *Tally) judge(w window, old Counts, required threshold) string {
	_, fresh := sides(w.counts)
	recentOld, _ := sides(w.recent)
	if failing(&fresh, reference{all: old, recent: recentOld}, required) {
		return describe(ReasonFailing, "all routes", &fresh)
	}
	for k, c := range w.counts {
		if !k.New {
			continue
		}
		o := Key{Route: k.Route}
		ref := reference{all: countsOf(t.total, o), recent: countsOf(w.recent, o)}
		if failing(c, ref, required) {
			return describe(ReasonFailing, "route "+k.Route, c)
		}
		if slow(c, ref) || w.warm && t.shifted(w, k.Route, required) {
			return describe(ReasonSlow, "route "+k.Route, c)
		}
	}
	if t.slowTogether(w) || w.warm && t.shifted(w, "", required) {
		return describe(ReasonSlow, "all routes", &fresh)
	}
	return ""
}

// slowTogether compares the times of all routes together. The old release's times are weighted by the requests of the new one, since
// the releases may have got different parts of each route by chance.
func (t *Tally) slowTogether(w window) bool {
	var fresh Counts
	for k, c := range w.counts {
		if k.New && countsOf(t.total, Key{Route: k.Route}).Answers >= minReference {
			fresh.add(c)
		}
	}
	return slow(&fresh, reference{all: mixed(t.total, w.counts), recent: mixed(w.recent, w.counts)})
}

// shifted reports whether the mean times of warm endpoints are above the tolerated ones, on one route or, for an empty name, on all
// together. They must be so compared with the old release's answers since the order and with its recent ones.
func (t *Tally) shifted(w window, route string, required threshold) bool {
	var all, recent shift
	recentAnswers := 0
	for k, c := range w.counts {
		if !k.New || route != "" && k.Route != route {
			continue
		}
		old, recentOld := countsOf(t.total, Key{Route: k.Route}), countsOf(w.recent, Key{Route: k.Route})
		all.add(c, &old)
		recent.add(c, &recentOld)
		recentAnswers += int(min(recentOld.Answers, minReference))
	}
	return all.exceeds(required.shift) && (recentAnswers < minReference || recent.exceeds(required.shift))
}

// mixScale is the number of answers to which the weighted times are scaled per answer of the new release.
const mixScale = 100

// mixed returns the old release's times with the mix of routes of the new one.
func mixed(old, fresh map[Key]*Counts) Counts {
	var c Counts
	for k, f := range fresh {
		o := countsOf(old, Key{Route: k.Route})
		if !k.New || o.Answers < minReference {
			continue
		}
		weight := mixScale * float64(f.Answers) / float64(o.Answers)
		for i, n := range o.Times {
			m := uint32(weight * float64(n))
			c.Times[i] += m
			c.Answers += uint64(m)
		}
	}
	return c
}

func countsOf(m map[Key]*Counts, k Key) Counts {
	if c := m[k]; c != nil {
		return *c
	}
	return Counts{}
}

func describe(reason, route string, c *Counts) string {
	return fmt.Sprintf("%s: %s, %d failures of %d answers", reason, route, c.Failures, c.Sum())
}

package nested

import (
	"math"
	"time"
)

const (
	minShare  = 0.05 // minimum share of parents that are admitted
	minBroken = 4.0  // minimum number of broken runs, after decay, for a reduction
	// tolerance is the share of broken runs above which the level is reduced. At 0.15, the luck of single nodes refused twice as many
	// parents as it kept from breaking while one in ten broke.
	tolerance = 0.25
	// minStep bounds a reduction, since the first broken runs often come together and overstate the shortage.
	minStep = 0.3
	// growth is the constant C of the cubic function in 1/s³. The level returns from any value to 1 in at most 0.5 s after the first run
	// that shows a recovery. With 8, a store that had served nothing took 0.2 s longer to recover, and as many runs broke.
	growth = 32.0

	levelHalfLife = 500 * time.Millisecond // time after which a run counts half in a level
	// levelMaxAge is the time after the last broken run from which a level is 1 again: nothing that is older predicts the next call.
	levelMaxAge = 3 * time.Second
)

// level is the share of the parents of a service's calls that are admitted. It falls in proportion to the broken runs, and grows by
// the cubic function of RFC 9438: fast to near the share at which calls were refused last, slowly there, then fast again.
type level struct {
	low     float64   // share after the last reduction
	peak    float64   // share before the last reduction
	reduced time.Time // time of the last reduction; zero if the share is 1
	proven  time.Time // end of the first run since then whose calls were served, from which the share grows; zero before

	updated        time.Time
	served, broken float64 // runs that began after the last reduction, with exponential decay
	lastBroken     time.Time
}

// share returns the share of parents to admit.
func (l *level) share(now time.Time) float64 {
	if l.reduced.IsZero() || now.Sub(l.lastBroken) > levelMaxAge {
		return 1
	}
	if l.proven.IsZero() {
		return l.low
	}
	t := now.Sub(l.proven).Seconds() - l.plateau()
	return min(max(l.peak+growth*t*t*t, l.low), 1)
}

// plateau returns the time in seconds from the begin of the growth until the share is at its earlier peak.
func (l *level) plateau() float64 { return math.Cbrt((l.peak - l.low) / growth) }

// untilFull returns the time until the share is 1 if the calls of all further runs are served.
func (l *level) untilFull(now time.Time) time.Duration {
	seconds := l.plateau() + math.Cbrt((1-l.peak)/growth)
	if !l.proven.IsZero() {
		seconds -= now.Sub(l.proven).Seconds()
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// observe records a run that called the service. Runs that began before the last reduction say nothing about the reduced share.
func (l *level) observe(now, began time.Time, broken bool) {
	if began.Before(l.reduced) {
		return
	}
	f := math.Exp2(-float64(now.Sub(l.updated)) / float64(levelHalfLife))
	l.updated, l.served, l.broken = now, l.served*f, l.broken*f
	if !broken {
		l.served++
		if l.proven.IsZero() {
			l.proven = now
		}
		return
	}
	l.broken++
	if l.broken >= minBroken && l.broken > tolerance*(l.served+l.broken) {
		l.reduce(now)
	}
	l.lastBroken = now
}

func (l *level) reduce(now time.Time) {
	current := l.share(now)
	served := l.served / (l.served + l.broken)
	l.peak, l.low = current, max(current*max(served, minStep), minShare)
	l.reduced, l.proven, l.served, l.broken = now, time.Time{}, 0, 0
}

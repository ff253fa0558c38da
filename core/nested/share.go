package nested

import (
	"math"
	"time"
)

const (
	minShare  = 0.05 // minimum share of parents that are admitted
	minBroken = 4.0  // minimum number of broken runs, after decay, for a reduction
	// tolerance is the share of broken runs above which the admitted share is reduced. At 0.15 and with one run in ten broken, nodes
	// whose sample had more by chance refused twice as many parents as they kept from breaking.
	tolerance = 0.25
	// minStep bounds a reduction, since the first broken runs often come together and overstate the shortage.
	minStep = 0.3
	// growth is the constant C of the cubic function in 1/s³. The share returns from any value to 1 in at most 0.5 s after the first run
	// that shows a recovery. With 8, a service that had served nothing took 0.2 s longer to recover, and as many runs broke.
	growth = 32.0

	shareHalfLife = 500 * time.Millisecond // time after which a run counts half in the share of a service
	// shareMaxAge is the time after the last broken run from which the share is 1 again, since older results do not predict the next call.
	shareMaxAge = 3 * time.Second
)

// serviceShare is the share of the parents of a service's calls that are admitted. It falls in proportion to the broken runs, and grows by
// the cubic function of RFC 9438: fast to near the share at which calls were refused last, slowly there, then fast again.
type serviceShare struct {
	low       float64   // share after the last reduction
	peak      float64   // share before the last reduction
	reduced   time.Time // time of the last reduction; zero if the share is 1
	growsFrom time.Time // end of the first run since then whose calls were served, from which the share grows; zero before

	updated        time.Time
	served, broken float64 // runs that began after the last reduction, with exponential decay
	lastBroken     time.Time
}

// current returns the share of parents to admit.
func (s *serviceShare) current(now time.Time) float64 {
	if s.reduced.IsZero() || now.Sub(s.lastBroken) > shareMaxAge {
		return 1
	}
	if s.growsFrom.IsZero() {
		return s.low
	}
	t := now.Sub(s.growsFrom).Seconds() - s.plateau()
	return min(max(s.peak+growth*t*t*t, s.low), 1)
}

// plateau returns the time in seconds from the beginning of the growth until the share is at its earlier peak.
func (s *serviceShare) plateau() float64 { return math.Cbrt((s.peak - s.low) / growth) }

// untilFull returns the time until the share is 1 if the calls of all further runs are served.
func (s *serviceShare) untilFull(now time.Time) time.Duration {
	seconds := s.plateau() + math.Cbrt((1-s.peak)/growth)
	if !s.growsFrom.IsZero() {
		seconds -= now.Sub(s.growsFrom).Seconds()
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// observe records a run that called the service. Runs that began before the last reduction say nothing about the reduced share.
func (s *serviceShare) observe(now, began time.Time, broken bool) {
	if began.Before(s.reduced) {
		return
	}
	f := math.Exp2(-float64(now.Sub(s.updated)) / float64(shareHalfLife))
	s.updated, s.served, s.broken = now, s.served*f, s.broken*f
	if !broken {
		s.served++
		if s.growsFrom.IsZero() {
			s.growsFrom = now
		}
		return
	}
	s.broken++
	if s.broken >= minBroken && s.broken > tolerance*(s.served+s.broken) {
		s.reduce(now)
	}
	s.lastBroken = now
}

func (s *serviceShare) reduce(now time.Time) {
	current := s.current(now)
	served := s.served / (s.served + s.broken)
	s.peak, s.low = current, max(current*max(served, minStep), minShare)
	s.reduced, s.growsFrom, s.served, s.broken = now, time.Time{}, 0, 0
}

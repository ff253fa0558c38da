package replica

import (
	"slices"
	"sync"
	"time"

	"godwitspindle/core/agreement"
)

// maxAhead is how far a leader may stamp a command ahead of the state time and the time elapsed since. It covers the clock
// skew of hosts that lose their time service for a while; a claim lives 24 h, so expiring it this much early does no harm.
const maxAhead = 5 * time.Minute

// stamper limits the times that a leader writes into commands. State time never goes back, so one command from a clock that is
// far ahead would expire all claims and change ids for good. A command is stamped with the leader's clock, but at most with
// the later of
//
//   - the state time of the last command of another leader, plus the monotonic time since it was applied, plus maxAhead;
//   - the time that the clocks of a majority of the voters have reached.
//
// The leader's own commands do not move the first limit, so a wrong clock gains maxAhead once, not with each command. The
// second limit lets time advance after a long outage, when the clocks of a majority show that it has passed. A group of one
// voter has no other clock to compare with. Without a known limit the leader's clock is used as it is.
type stamper struct {
	mu         sync.Mutex
	observed   time.Time // last recorded state time; zero before the first observation
	observedAt time.Time // monotonic local time at which it was recorded
}

// observe records the state time of a command stamped by another leader, or of a restored snapshot. It ignores a time that is 0
// or less, or not after the recorded time plus the time elapsed since the recording.
func (s *stamper) observe(now, state time.Time) {
	if state.UnixMilli() <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed.IsZero() || state.After(s.observed.Add(now.Sub(s.observedAt))) {
		s.observed, s.observedAt = state, now
	}
}

// stamp returns the time for a command. now is the monotonic time, clock the time on this replica's clock, and majority the
// time that a majority of the clocks has reached, zero when not known.
func (s *stamper) stamp(now, clock, majority time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed.IsZero() && majority.IsZero() {
		return clock
	}
	limit := majority
	if !s.observed.IsZero() {
		if l := s.observed.Add(now.Sub(s.observedAt)).Add(maxAhead); l.After(limit) {
			limit = l
		}
	}
	if clock.After(limit) {
		return limit
	}
	return clock
}

// majorityTime returns the latest time that the clocks of a majority of the voters have reached, zero when too few are known.
func (r *Replica) majorityTime(own time.Time) time.Time {
	voters := r.status.Load().Members.Voters
	clocks := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		if id == r.id {
			clocks = append(clocks, own)
			continue
		}
		if c, ok := r.peerClock(agreement.Name(id)); ok {
			clocks = append(clocks, c)
		}
	}
	majority := len(voters)/2 + 1
	if len(clocks) < majority {
		return time.Time{}
	}
	slices.SortFunc(clocks, func(a, b time.Time) int { return b.Compare(a) })
	return clocks[majority-1]
}

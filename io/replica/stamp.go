package replica

import (
	"slices"
	"sync"
	"time"

	"godwitspindle/core/agreement"
)

// aheadLimit is how far a leader may stamp ahead of the time that it can account for. It covers clock skew between
// hosts without a time service for a while, and a claim lives 24 h, so it expires no claim early by a harmful amount.
const aheadLimit = 5 * time.Minute

// stamper bounds the times that a leader writes into commands. State time never goes back, so one command from a clock
// that is far ahead would expire every claim and change id for good. A command is stamped with the leader's clock, but not
// beyond the later of
//
//   - the state time of the last command of another leader, plus the monotonic time since it was applied, plus aheadLimit;
//   - the time that the clocks of a majority of the voters have reached.
//
// The leader's own commands do not move the first bound, so a wrong clock gains aheadLimit once, not with each command. The
// second bound moves time on after a long outage, when the clocks of a majority agree that it passed. A group of one
// voter has no other clock to compare with.
type stamper struct {
	mu   sync.Mutex
	seen time.Time // state time, zero before any
	at   time.Time // when it was applied here; only its distance to a later now counts
}

// Notes the state time of a command that another leader stamped, or of a loaded state.
func (s *stamper) note(now, state time.Time) {
	if state.UnixMilli() <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.IsZero() || state.After(s.seen.Add(now.Sub(s.at))) {
		s.seen, s.at = state, now
	}
}

// Returns the time for a command: clock is this replica's clock, now its monotonic time, and agreed is the
// time that a majority of clocks has reached, zero when not known.
func (s *stamper) stamp(now, clock, agreed time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.IsZero() && agreed.IsZero() {
		return clock
	}
	limit := agreed
	if !s.seen.IsZero() {
		if l := s.seen.Add(now.Sub(s.at)).Add(aheadLimit); l.After(limit) {
			limit = l
		}
	}
	if clock.After(limit) {
		return limit
	}
	return clock
}

// Returns the latest time that the clocks of a majority of the voters have reached, zero when too few are known.
func (r *Replica) agreedTime(own time.Time) time.Time {
	voters := r.status.Load().Members.Voters
	clocks := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		if id == r.id {
			clocks = append(clocks, own)
			continue
		}
		if c, ok := r.clock(agreement.Name(id)); ok {
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

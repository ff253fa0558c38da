package agreement

import (
	"slices"
	"time"
)

// Times without an answer after which NextChange removes a member.
const (
	// voterTimeout applies to a voter that a caught-up learner can replace. It is longer than an election and a process restart,
	// and short enough to remove the voter of a lost host before another host may be lost.
	voterTimeout = 2 * time.Second
	// learnerTimeout applies to a learner that is not announced.
	learnerTimeout = 30 * time.Second
	// listenTime is how long a leader listens before it removes a member whose silence began before its term: a member that the
	// leader before it could not reach may answer this one.
	listenTime = voterTimeout / 4
)

// PlannedChange is one change of the member set; exactly one of Add, Promote and Remove is set.
type PlannedChange struct {
	Add     string // identity that joins as a learner; it replaces any other identity with its name
	Promote string // learner that becomes a voter
	Remove  string // member that leaves
	Reason  string
}

// NextChange is for a group that discovers its members: it returns the next membership change toward the wanted number of
// voters, or false if none is due. Announced holds the identities of running replicas. The leader calls NextChange again after
// each change.
//
//   - An announced identity that is not a member joins as a learner. It replaces an earlier identity of the same name, whose
//     disk is lost.
//   - A learner that has caught up becomes a voter while there are fewer voters than wanted.
//   - A voter silent for over 2 s is removed only when a caught-up learner can replace it, so that silence alone never shrinks
//     the group.
//   - A learner silent for over 30 s that is not announced is removed.
func NextChange(now time.Time, s Status, announced []string, voters int) (PlannedChange, bool) {
	for _, id := range announced {
		if !s.Members.Has(id) {
			return PlannedChange{Add: id, Reason: "announced"}, true
		}
	}
	caughtUp := s.caughtUpLearner(now)
	if caughtUp != "" && len(s.Members.Voters) < voters {
		return PlannedChange{Promote: caughtUp, Reason: "caught up"}, true
	}
	if caughtUp != "" {
		if id := s.longestSilent(now, s.Members.Voters, voterTimeout, nil); id != "" {
			return PlannedChange{Remove: id, Reason: "silent voter, and a learner has caught up"}, true
		}
	}
	if id := s.longestSilent(now, s.Members.Learners, learnerTimeout, announced); id != "" {
		return PlannedChange{Remove: id, Reason: "silent learner"}, true
	}
	return PlannedChange{}, false
}

// caughtUpLearner returns a learner that has every committed entry and answered within half of voterTimeout, or an empty
// string.
func (s *Status) caughtUpLearner(now time.Time) string {
	for _, id := range s.Members.Learners {
		p := s.Progress[id]
		if p.Match >= s.Commit && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) < voterTimeout/2 {
			return id
		}
	}
	return ""
}

// longestSilent returns the member in ids that has been silent for the longest time, or an empty string if none has been silent for
// longer than the limit or the leader has not listened for long enough. It skips this replica and the excluded members.
func (s *Status) longestSilent(now time.Time, ids []string, limit time.Duration, excluded []string) string {
	found, longest := "", limit
	if now.Sub(s.LeaderSince) < listenTime {
		return found
	}
	for _, id := range ids {
		if id == s.ID || slices.Contains(excluded, id) {
			continue
		}
		if silence := now.Sub(s.Heard[id]); silence > longest {
			found, longest = id, silence
		}
	}
	return found
}

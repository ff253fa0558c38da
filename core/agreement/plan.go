package agreement

import (
	"slices"
	"time"
)

// DefaultCatchUp is the time after which a successor must have replaced a lost voter, unless the settings name another one.
const DefaultCatchUp = 6 * time.Second

const (
	// silenceDivisor is the part of the catch-up time after which a voter counts as lost. The rest is for an election before the
	// silence is noticed, and for the successor to join and to take over the log.
	silenceDivisor = 3
	// minSilence covers a lost and repeated heartbeat, whatever the catch-up time.
	minSilence = 500 * time.Millisecond
	// listenDivisor is the part of that silence for which a new leader listens before it acts: a member that the leader before it
	// could not reach may answer this one.
	listenDivisor = 4
	// learnerTimeout is the silence after which a learner that is not announced is removed.
	learnerTimeout = 30 * time.Second
	// announcedAfterLoss is the silence from which the announcement of a former member counts as a new one. A lost replica stays
	// announced until its lease expires, after two lease periods of 15 s if the leader was lost with it.
	announcedAfterLoss = 30 * time.Second
)

// Target is what a group that discovers its members should become.
type Target struct {
	Announced []string      // identities of the replicas that run, as far as the mesh knows
	Voters    int           // number of voters
	CatchUp   time.Duration // time after which a successor must have replaced a lost voter
}

// silence returns the time without a sign of life after which a voter counts as lost.
func (t *Target) silence() time.Duration { return max(t.CatchUp/silenceDivisor, minSilence) }

// PlannedChange is one change of the member set. A replacement has both Promote and Remove, any other change exactly one of Add,
// Promote and Remove.
type PlannedChange struct {
	Add     string // identity that joins as a learner
	Promote string // learner that becomes a voter
	Remove  string // member that leaves
	Reason  string
}

// Apply returns the member set after a planned change. A learner that joins replaces earlier learners of its name.
func (p PlannedChange) Apply(m Members) Members {
	switch {
	case p.Add != "":
		return m.Join(p.Add)
	case p.Promote != "" && p.Remove != "":
		return m.Replace(p.Remove, p.Promote)
	case p.Promote != "":
		return m.With(p.Promote, false)
	}
	return m.Without(p.Remove)
}

// NextChange returns the next change of the member set toward the target, or false if none is due. The leader calls it again after
// each change.
//
//   - An announced identity that is not a member joins as a learner.
//   - A learner that has caught up becomes a voter while there are fewer voters than wanted.
//   - A learner that has caught up replaces a voter that is lost, see lostVoter. Without such a learner no voter is removed, so that
//     silence alone never shrinks the group.
//   - A learner silent for over 30 s that is not announced is removed.
func NextChange(now time.Time, s Status, t Target) (PlannedChange, bool) {
	if s.Members.Joint() {
		return PlannedChange{}, false
	}
	for _, id := range t.Announced {
		if !s.Members.Has(id) && !s.lostWhileAnnounced(now, id, t.silence()) {
			return PlannedChange{Add: id, Reason: "announced"}, true
		}
	}
	caughtUp := s.caughtUpLearner(now, t.silence())
	if caughtUp != "" && len(s.Members.Voters) < t.Voters {
		return PlannedChange{Promote: caughtUp, Reason: "caught up"}, true
	}
	if caughtUp != "" {
		if id, reason := s.lostVoter(now, t); id != "" {
			return PlannedChange{Promote: caughtUp, Remove: id, Reason: reason}, true
		}
	}
	unannounced := difference(s.Members.Learners, t.Announced)
	if id := s.longestSilent(now, unannounced, learnerTimeout); id != "" {
		return PlannedChange{Remove: id, Reason: "silent learner"}, true
	}
	return PlannedChange{}, false
}

// lostVoter returns a voter that a caught-up learner should replace, and the reason, or an empty string. A voter whose name runs
// under another identity has lost its disk. A voter that is not announced has left the mesh, if the list holds the leader itself.
func (s *Status) lostVoter(now time.Time, t Target) (id, reason string) {
	running := slices.Concat(t.Announced, s.Members.Learners)
	for _, id := range s.Members.Voters {
		if !slices.Contains(running, id) && slices.ContainsFunc(running, func(o string) bool { return Name(o) == Name(id) }) {
			return id, "lost disk"
		}
	}
	if now.Sub(s.LeaderSince) < t.silence()/listenDivisor {
		return "", ""
	}
	if id := s.longestSilent(now, s.Members.Voters, t.silence()); id != "" {
		return id, "silent voter"
	}
	if !slices.Contains(t.Announced, s.ID) {
		return "", "" // the list is empty or old, as after a restart, so absence from it proves nothing
	}
	for _, id := range s.Members.Voters {
		if !slices.Contains(t.Announced, id) {
			return id, "voter left"
		}
	}
	return "", ""
}

// caughtUpLearner returns a learner that has caught up and answered within half of the limit, or an empty string.
func (s *Status) caughtUpLearner(now time.Time, limit time.Duration) string {
	for _, id := range s.Members.Learners {
		p := s.Progress[id]
		if p.CaughtUp && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) < limit/2 {
			return id
		}
	}
	return ""
}

// longestSilent returns the member in ids, other than this replica, that has been silent for the longest time, or an empty string if
// none has been silent for longer than the limit.
func (s *Status) longestSilent(now time.Time, ids []string, limit time.Duration) string {
	found, longest := "", limit
	for _, id := range ids {
		if silence := now.Sub(s.Heard[id]); id != s.ID && silence > longest {
			found, longest = id, silence
		}
	}
	return found
}

// lostWhileAnnounced reports whether a former member has been silent for longer than the limit, but not for long enough that its
// announcement must be a new one. A former member sends the leader nothing, so without the upper bound it could never come back.
func (s *Status) lostWhileAnnounced(now time.Time, id string, limit time.Duration) bool {
	heard, known := s.Heard[id]
	silence := now.Sub(heard)
	return known && silence > limit && silence < announcedAfterLoss
}

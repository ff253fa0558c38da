package agreement

import (
	"slices"
	"time"
)

// Times of the plan for the member set.
const (
	// silentVoter is the silence after which a voter gives its place to a replica that is ready: longer than an election and
	// a restart of a process, and short enough that a replaced host is out before another one may be lost.
	silentVoter = 2 * time.Second
	// silentLearner is the silence after which a learner that is not announced is forgotten.
	silentLearner = 30 * time.Second
)

// Step is one change of the member set.
type Step struct {
	Add     string // identity that joins as a learner, in place of any other identity of its name
	Promote string // learner that becomes a voter
	Remove  string // member that leaves
	Reason  string
}

// Plan returns the next change that brings the member set toward the wanted number of voters, for a group that finds its
// members by itself. Announced are the identities of replicas that run; the leader calls it again after each change.
//
//   - An announced identity that is no member joins as a learner. It replaces an earlier identity of the same name, whose
//     disk is lost.
//   - A learner that has caught up becomes a voter while voters are missing.
//   - A voter that is silent leaves only when a learner has caught up that can take its place, so that silence alone never
//     makes the group smaller.
func Plan(now time.Time, s Status, announced []string, voters int) (Step, bool) {
	for _, id := range announced {
		if !s.Members.Has(id) {
			return Step{Add: id, Reason: "announced"}, true
		}
	}
	ready := s.ready(now)
	if ready != "" && len(s.Members.Voters) < voters {
		return Step{Promote: ready, Reason: "caught up"}, true
	}
	if ready != "" {
		if id := s.silent(now, s.Members.Voters, silentVoter, nil); id != "" {
			return Step{Remove: id, Reason: "silent voter, and a learner has caught up"}, true
		}
	}
	if id := s.silent(now, s.Members.Learners, silentLearner, announced); id != "" {
		return Step{Remove: id, Reason: "silent learner"}, true
	}
	return Step{}, false
}

// ready returns a learner that holds everything committed and was heard lately, or an empty string.
func (s *Status) ready(now time.Time) string {
	for _, id := range s.Members.Learners {
		p := s.Progress[id]
		if p.Match >= s.Commit && !p.Heard.IsZero() && now.Sub(p.Heard) < silentVoter/2 {
			return id
		}
	}
	return ""
}

// silent returns the member of a list that was not heard for the longest time above a limit, or an empty string.
func (s *Status) silent(now time.Time, list []string, limit time.Duration, except []string) string {
	found, longest := "", limit
	for _, id := range list {
		p, known := s.Progress[id]
		if id == s.ID || !known || p.Heard.IsZero() || slices.Contains(except, id) {
			continue
		}
		if quiet := now.Sub(p.Heard); quiet > longest {
			found, longest = id, quiet
		}
	}
	return found
}

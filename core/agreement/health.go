package agreement

import "time"

// Health is what a leader knows about how many more voters its group can lose.
type Health struct {
	Voters    int
	Answering int      // voters that answered within the limit, the leader included
	Silent    []string // voters that answered this leader, but not within the limit
	Unheard   []string // voters that have not answered this leader
	Losses    int      // answering voters that may be lost while a majority of the voters answers
}

// Health returns what the leader knows about the voters; a voter that has not answered within the limit counts as lost.
func (s *Status) Health(now time.Time, limit time.Duration) Health {
	answers := func(id string) bool {
		p := s.Progress[id]
		return id == s.ID || !p.LastHeard.IsZero() && now.Sub(p.LastHeard) < limit
	}
	h := Health{Voters: len(s.Members.Voters), Losses: max(0, s.Members.margin(answers))}
	for _, id := range s.Members.Voters {
		p := s.Progress[id]
		switch {
		case answers(id):
			h.Answering++
		case p.LastHeard.IsZero():
			h.Unheard = append(h.Unheard, id)
		default:
			h.Silent = append(h.Silent, id)
		}
	}
	return h
}

// WaitCause says why a learner does not replace a voter yet.
type WaitCause string

// Causes for which a learner waits.
const (
	LearnerSilent WaitCause = "the learner does not answer"
	LearnerBehind WaitCause = "the learner lags behind"
	NoneSilent    WaitCause = "no voter is silent for long enough"
)

// Wait is a learner that cannot replace a voter yet.
type Wait struct {
	Learner string
	Cause   WaitCause
	Behind  uint64 // committed entries that the learner is not known to have
}

// LearnerWait says why a learner does not replace a voter; NoneSilent for one that has caught up.
func (s *Status) LearnerWait(now time.Time, t Target, id string) Wait {
	p := s.Progress[id]
	w := Wait{Learner: id, Cause: NoneSilent, Behind: s.Commit - min(p.Match, s.Commit)}
	switch {
	case p.LastHeard.IsZero() || now.Sub(p.LastHeard) >= t.silence()/2:
		w.Cause = LearnerSilent
	case !p.CaughtUp:
		w.Cause = LearnerBehind
	}
	return w
}

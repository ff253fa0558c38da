package host

import (
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/io/operator"
	"godwitspindle/io/rpc"
)

// Causes for which a learner that has every committed entry is not a voter yet, besides those of package agreement.
const (
	waitsForPromotion = "it has every committed entry; next: replica promote, since the settings list the replicas"
	joinsNext         = "it has every committed entry and becomes a voter next"
)

// promisedLosses returns how many replicas the group is meant to bear losing when all its voters answer.
func (c *control) promisedLosses() int {
	if c.directory.seeded() {
		return (c.wantedVoters() - 1) / 2
	}
	return (len(c.directory.replicas()) - 1) / 2
}

// learnerWaits says for each learner why it is not a voter yet.
func (c *control) learnerWaits(now time.Time, st agreement.Status) []agreement.Wait {
	target := agreement.Target{CatchUp: c.catchUp}
	var list []agreement.Wait
	for _, id := range st.Members.Learners {
		one := st
		one.Members.Learners = []string{id} // Waits describes only one of the learners
		w, ok := one.Waits(now, target)
		if !ok {
			continue
		}
		if w.Cause == agreement.NoneSilent {
			w.Cause = c.caughtUpCause(st)
		}
		list = append(list, w)
	}
	return list
}

// caughtUpCause says why a learner that has every committed entry is not a voter yet.
func (c *control) caughtUpCause(st agreement.Status) agreement.WaitCause {
	switch {
	case !c.directory.seeded():
		return waitsForPromotion
	case len(st.Members.Voters) < c.wantedVoters():
		return joinsNext
	}
	return agreement.NoneSilent
}

// health describes, on the leader, how many more voters may be lost and why learners wait.
func (c *control) health(now time.Time, st agreement.Status) *rpc.Health {
	h := st.Health(now, silentAfter)
	r := &rpc.Health{
		Voters:    uint32(h.Voters),
		Answering: uint32(h.Answering),
		Losses:    uint32(h.Losses),
		Promised:  uint32(c.promisedLosses()),
		Silent:    silences(now, st, h.Silent),
		Unheard:   silences(now, st, h.Unheard),
	}
	if st.Members.Joint() {
		r.Joining, r.Leaving = st.Members.Difference()
	}
	for _, w := range c.learnerWaits(now, st) {
		r.Waits = append(r.Waits, &rpc.LearnerWait{Learner: w.Learner, Cause: string(w.Cause), Behind: w.Behind})
	}
	return r
}

// silences says since when the given voters are silent.
func silences(now time.Time, st agreement.Status, ids []string) []*rpc.Silence {
	var list []*rpc.Silence
	for _, id := range ids {
		s := &rpc.Silence{Identity: id, Heard: -1}
		if at := st.Progress[id].LastHeard; !at.IsZero() {
			s.Heard = now.Sub(at).Milliseconds()
		}
		list = append(list, s)
	}
	return list
}

// newHealth converts the leader's view for the operator API; nil if a leader of an earlier program version sends none.
func newHealth(r *rpc.Health) *operator.Health {
	if r == nil {
		return nil
	}
	h := &operator.Health{
		Voters:    int(r.GetVoters()),
		Answering: int(r.GetAnswering()),
		Losses:    int(r.GetLosses()),
		Promised:  int(r.GetPromised()),
		Silent:    newSilences(r.GetSilent()),
		Unheard:   newSilences(r.GetUnheard()),
		Leaving:   r.GetLeaving(),
		Joining:   r.GetJoining(),
	}
	for _, w := range r.GetWaits() {
		h.Waits = append(h.Waits, operator.LearnerWait{Learner: w.GetLearner(), Cause: w.GetCause(), Behind: w.GetBehind()})
	}
	return h
}

func newSilences(silences []*rpc.Silence) []operator.Silence {
	var list []operator.Silence
	for _, s := range silences {
		list = append(list, operator.Silence{Identity: s.GetIdentity(), Heard: duration(s.GetHeard())})
	}
	return list
}

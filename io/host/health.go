package host

import (
	"fmt"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/io/operator"
	"godwitspindle/io/rpc"
)

// jointInProgress is the cause of a caught-up learner while another one replaces a voter.
const jointInProgress = "it has caught up, and another replacement is in progress"

// promisedLosses returns how many replicas the group is meant to bear losing when all its voters answer.
func (c *control) promisedLosses() int {
	if c.directory.seeded() {
		return (c.wantedVoters() - 1) / 2
	}
	return (len(c.directory.replicas()) - 1) / 2
}

// learnerWaits says for each learner why it is not a voter yet.
func (c *control) learnerWaits(now time.Time, st agreement.Status, t agreement.Target) []agreement.Wait {
	var list []agreement.Wait
	for _, id := range st.Members.Learners {
		w := st.LearnerWait(now, t, id)
		if w.Cause == agreement.NoneSilent {
			w.Cause = c.caughtUpCause(now, st, t, id)
		}
		list = append(list, w)
	}
	return list
}

// caughtUpCause says why a learner that has caught up is not a voter yet.
func (c *control) caughtUpCause(now time.Time, st agreement.Status, t agreement.Target, id string) agreement.WaitCause {
	if st.Members.Joint() {
		return jointInProgress
	}
	if !c.directory.seeded() {
		return agreement.WaitCause("it has caught up; next: replica promote " + agreement.Name(id))
	}
	step, due := agreement.NextChange(now, st, t)
	if !due || step.Promote != id {
		return agreement.NoneSilent
	}
	text := "it has caught up and becomes a voter next"
	if step.Remove != "" {
		text = fmt.Sprintf("it has caught up and replaces %s next: %s", step.Remove, step.Reason)
	}
	if a := c.attempted.Load(); a != nil && a.err != nil && a.step == step {
		text += "; the last attempt failed: " + a.err.Error()
	}
	return agreement.WaitCause(text)
}

// changeAttempt is a planned change of the member set that the leader tried, and its failure.
type changeAttempt struct {
	step agreement.PlannedChange
	err  error // nil after success
}

// replacement returns the voters that a joint change in progress adds and removes.
func replacement(m agreement.Members) (joining, leaving []string) {
	if !m.Joint() {
		return nil, nil
	}
	return m.Difference()
}

// health describes, on the leader, how many more voters may be lost and why learners wait.
func (c *control) health(now time.Time, st agreement.Status, t agreement.Target) *rpc.Health {
	h := st.Health(now, silentAfter)
	joining, leaving := replacement(st.Members)
	r := &rpc.Health{
		Voters:    uint32(h.Voters),
		Answering: uint32(h.Answering),
		Losses:    uint32(h.Losses),
		Promised:  uint32(c.promisedLosses()),
		Silent:    silences(now, st, h.Silent),
		Unheard:   silences(now, st, h.Unheard),
		Joining:   joining,
		Leaving:   leaving,
	}
	for _, w := range c.learnerWaits(now, st, t) {
		r.Waits = append(r.Waits, &rpc.LearnerWait{Learner: w.Learner, Cause: string(w.Cause), Behind: w.Behind})
	}
	return r
}

// silences says for how long the given voters were silent, as far as any replica knew.
func silences(now time.Time, st agreement.Status, ids []string) []*rpc.Silence {
	var list []*rpc.Silence
	for _, id := range ids {
		s := &rpc.Silence{Identity: id, Heard: -1}
		if at, known := st.Heard[id]; known {
			s.Heard = max(0, now.Sub(at).Milliseconds())
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

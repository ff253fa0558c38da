package agreement

import (
	"slices"
	"time"
)

// saving is what one Effects holds to be saved.
type saving struct {
	active bool
	state  *HardState // nil for none
	began  time.Time
}

// beginSave notes what the caller must save before it sends the messages of an Effects.
func (r *Replica) beginSave(e Effects) {
	r.saving = saving{active: e.Saves(), state: e.State, began: r.now}
}

// endSave notes that the effects of the last call have been carried out. A vote goes out only now, so the time that it took to save does
// not count towards the next campaign, neither on a candidate nor on a voter.
func (r *Replica) endSave() {
	s := r.saving
	r.saving = saving{}
	if s.state == nil {
		return
	}
	r.savedTerm = s.state.Term
	if s.state.Vote == "" {
		return
	}
	r.saveTime, r.voteSaved = r.now.Sub(s.began), r.now
	r.campaignAt = r.campaignAt.Add(r.saveTime)
	asked := r.deferred
	r.deferred = nil
	for _, m := range asked {
		r.stepVote(m)
	}
}

// isVoteOnDisk reports whether a vote is being saved.
func (r *Replica) isVoteOnDisk() bool { return r.saving.state != nil && r.saving.state.Vote != "" }

// slowSave returns the time that a vote takes on a slow disk, and 0 for a disk on which it takes no longer than a leader is silent. Nobody
// waits for a save of more than an election timeout.
func (r *Replica) slowSave() time.Duration {
	if r.saveTime <= r.heartbeat {
		return 0
	}
	return min(r.saveTime, r.election)
}

// awaitsElection reports whether the candidate that got this replica's vote may still win by it. A campaign for the next term would depose
// that leader as soon as it is elected.
func (r *Replica) awaitsElection() bool { return r.now.Sub(r.voteSaved) < electionSaves*r.slowSave() }

// Urgent returns and removes the pending messages that may go out while an Effects is being saved, in the term on disk: heartbeats and their
// answers, which state nothing that a loss of power could undo, and a leader's entries, since the leader counts itself only once it has
// saved them. Call it before Effects, too, so that entries need not wait for the leader's own disk.
func (r *Replica) Urgent() []Message {
	if r.state.Term != r.savedTerm {
		return nil
	}
	if r.role == Leader {
		r.sendAppends()
	}
	var urgent []Message
	r.effects.Messages = slices.DeleteFunc(r.effects.Messages, func(m Message) bool {
		if !m.Kind.isUrgent() || m.Term > r.savedTerm {
			return false
		}
		urgent = append(urgent, m)
		return true
	})
	return urgent
}

func (k MessageKind) isUrgent() bool { return k == Heartbeat || k == HeartbeatAnswer || k == Append }

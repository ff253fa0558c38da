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
	if s.state.Vote != "" {
		r.saveTime = r.now.Sub(s.began)
		r.campaignAt = r.campaignAt.Add(r.saveTime)
	}
}

// Urgent returns and removes the pending messages that may go out while an Effects is being saved: heartbeats and their answers, in the
// term on disk. They state nothing that a loss of power could undo. Without them a group would take a leader or voter for lost while its
// disk is slow.
func (r *Replica) Urgent() []Message {
	if r.state.Term != r.savedTerm {
		return nil
	}
	var urgent []Message
	r.effects.Messages = slices.DeleteFunc(r.effects.Messages, func(m Message) bool {
		if m.Kind != Heartbeat && m.Kind != HeartbeatAnswer || m.Term > r.savedTerm {
			return false
		}
		urgent = append(urgent, m)
		return true
	})
	return urgent
}

package agreement

import "slices"

func (r *Replica) isFounder() bool {
	return len(r.founders) > 0 && Name(r.id) == r.founders[0]
}

// tickFounder asks for the missing promises at each heartbeat interval, and founds the group once none is missing.
func (r *Replica) tickFounder() {
	if !r.isFounder() || r.now.Before(r.nextBroadcast) {
		return
	}
	r.nextBroadcast = r.now.Add(r.heartbeat)
	for _, n := range r.founders[1:] {
		if r.promises[n] == "" {
			r.send(Message{Kind: PromiseRequest, To: n})
		}
	}
	r.tryFoundGroup()
}

func (r *Replica) tryFoundGroup() {
	m := Members{Voters: []string{r.id}}
	for _, n := range r.founders[1:] {
		if r.promises[n] == "" {
			return
		}
		m = m.With(r.promises[n], false)
	}
	r.foundGroup(m)
}

// foundGroup sets term 1 and installs the founding snapshot, at index 1 in term 1.
func (r *Replica) foundGroup(m Members) {
	r.setState(HardState{Term: 1})
	r.installSnapshot(Snapshot{Index: 1, Term: 1, Members: m})
}

// installSnapshot replaces the log and the members by a snapshot. The caller must save it and restore the state machine from it.
func (r *Replica) installSnapshot(s Snapshot) {
	r.effects.Snapshot = &s
	r.effects.Committed = nil
	r.snapshot = s
	r.snapshot.Data = nil
	r.log = log{base: s.Index, baseTerm: s.Term}
	r.memberSets = []membersAt{{index: s.Index, members: s.Members}}
	r.commit, r.applied, r.writeIssued, r.durable = s.Index, s.Index, s.Index, s.Index
	r.role = Follower
}

// resendFounding sends the founding snapshot at each heartbeat interval, because messages may be lost. It stops when a leader is
// known or the log has an entry after the snapshot.
func (r *Replica) resendFounding() {
	if !r.isFounder() || r.log.last() != 1 || r.leader != "" || r.now.Before(r.nextBroadcast) {
		return
	}
	r.nextBroadcast = r.now.Add(r.heartbeat)
	for _, id := range r.members().Voters {
		if id != r.id {
			s := r.snapshot
			r.send(Message{Kind: FoundingSnapshot, To: id, Snapshot: &s})
		}
	}
}

func (r *Replica) stepFounding(m Message) {
	switch m.Kind {
	case PromiseRequest:
		ok := r.role == Waiting && r.state.Term == 0 && len(r.founders) > 0 && Name(m.From) == r.founders[0] && !r.isFounder()
		if ok {
			r.setState(HardState{Vote: m.From})
		}
		r.send(Message{Kind: Promise, To: m.From, Reject: !ok})
	case Promise:
		if r.role == Waiting && r.isFounder() && !m.Reject && slices.Contains(r.founders, Name(m.From)) {
			r.promises[Name(m.From)] = m.From
			r.tryFoundGroup()
		}
	case FoundingSnapshot:
		s := m.Snapshot
		if r.role == Waiting && s != nil && r.state == (HardState{Vote: m.From}) && slices.Contains(s.Members.Voters, r.id) {
			r.foundGroup(s.Members)
		}
	}
}

package agreement

import "slices"

func (r *Replica) founder() bool {
	return len(r.founders) > 0 && Name(r.id) == r.founders[0]
}

func (r *Replica) tickFounder() {
	if !r.founder() || r.now.Before(r.beat) {
		return
	}
	r.beat = r.now.Add(r.heartbeat)
	for _, n := range r.founders[1:] {
		if r.promises[n] == "" {
			r.send(Message{Kind: Ask, To: n})
		}
	}
	r.tryFound()
}

func (r *Replica) tryFound() {
	m := Members{Voters: []string{r.id}}
	for _, n := range r.founders[1:] {
		if r.promises[n] == "" {
			return
		}
		m = m.With(r.promises[n], false)
	}
	r.found(m)
}

// Installs the founding snapshot.
func (r *Replica) found(m Members) {
	r.setState(State{Term: 1})
	r.reset(Snapshot{Index: 1, Term: 1, Members: m})
}

// Replaces log and members by a snapshot that the caller must save and restore.
func (r *Replica) reset(s Snapshot) {
	r.effects.Snapshot = &s
	r.effects.Committed = nil
	r.snapshot = s
	r.snapshot.Data = nil
	r.log = log{base: s.Index, baseTerm: s.Term}
	r.config = []point{{index: s.Index, members: s.Members}}
	r.commit, r.handed, r.saved, r.durable = s.Index, s.Index, s.Index, s.Index
	r.role = Follower
}

// Repeats the founding snapshot until a leader is known.
func (r *Replica) tickFounded() {
	if !r.founder() || r.log.last() != 1 || r.leader != "" || r.now.Before(r.beat) {
		return
	}
	r.beat = r.now.Add(r.heartbeat)
	for _, id := range r.members().Voters {
		if id != r.id {
			s := r.snapshot
			r.send(Message{Kind: Founded, To: id, Snapshot: &s})
		}
	}
}

func (r *Replica) stepFounding(m Message) {
	switch m.Kind {
	case Ask:
		ok := r.role == Waiting && r.state.Term == 0 && len(r.founders) > 0 && Name(m.From) == r.founders[0] && !r.founder()
		if ok {
			r.setState(State{Vote: m.From})
		}
		r.send(Message{Kind: Promise, To: m.From, Reject: !ok})
	case Promise:
		if r.role == Waiting && r.founder() && !m.Reject && slices.Contains(r.founders, Name(m.From)) {
			r.promises[Name(m.From)] = m.From
			r.tryFound()
		}
	case Founded:
		s := m.Snapshot
		if r.role == Waiting && s != nil && r.state == (State{Vote: m.From}) && slices.Contains(s.Members.Voters, r.id) {
			r.found(s.Members)
		}
	}
}

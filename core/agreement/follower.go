package agreement

import "time"

// stepFromLeader processes a message from the leader of the current term.
func (r *Replica) stepFromLeader(m Message) {
	if r.role == Leader {
		return
	}
	if r.role == Candidate || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.leaderHeard = r.now
	r.resetCampaignTimer()
	switch m.Kind {
	case Append:
		r.stepAppend(m)
	case InstallSnapshot:
		r.stepInstallSnapshot(m)
	case Heartbeat:
		r.commitTo(min(m.Commit, r.log.last()))
		if m.Index > 0 {
			if at := r.now.Add(-time.Duration(m.Index-1) * time.Microsecond); at.After(r.quorumConfirmed) {
				r.quorumConfirmed = at
			}
		}
		r.takeSilences(m.Silences)
		r.send(Message{Kind: HeartbeatAnswer, To: m.From, Term: r.state.Term, Context: m.Context})
	}
}

func (r *Replica) commitTo(index uint64) {
	r.commit = max(r.commit, index)
}

func (r *Replica) stepAppend(m Message) {
	answer := Message{Kind: AppendAnswer, To: m.From, Term: r.state.Term}
	if m.Index < r.commit {
		answer.Index = r.commit
		r.send(answer)
		return
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		answer.Reject, answer.Index = true, m.Index
		answer.Context, answer.LogTerm = r.conflictHint(min(m.Index, r.log.last()), m.LogTerm)
		r.send(answer)
		return
	}
	for i, e := range m.Entries {
		if t, ok := r.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= r.log.last() {
			r.truncateLog(e.Index)
		}
		if !r.appendEntries(m.Entries[i:]) {
			return
		}
		break
	}
	answer.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, answer.Index))
	r.send(answer)
}

func (r *Replica) appendEntries(entries []Entry) bool {
	if r.role == Waiting {
		r.role = Follower
	}
	for _, e := range entries {
		if e.Index != r.log.last()+1 || r.appendEntry(e) != nil {
			return false
		}
	}
	return true
}

// conflictHint returns the highest index up to i whose term is at most the given one, and the term at that index. If the log
// holds no such index, the result is the index before base and term 0. With this hint, the leader skips all entries of a
// conflicting term after one answer.
func (r *Replica) conflictHint(i, term uint64) (index, hintTerm uint64) {
	for {
		t, ok := r.log.term(i)
		if !ok || t <= term || i == 0 {
			return i, t
		}
		i--
	}
}

func (r *Replica) stepInstallSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	t, ok := r.log.term(s.Index)
	switch {
	case s.Index <= r.commit:
	case ok && t == s.Term:
		r.commitTo(s.Index)
	default:
		r.installSnapshot(*s)
	}
	r.send(Message{Kind: AppendAnswer, To: m.From, Term: r.state.Term, Index: max(r.commit, s.Index)})
}

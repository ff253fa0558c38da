package agreement

import "time"

// Step takes in one message.
func (r *Replica) Step(now time.Time, m Message) {
	r.advance(now)
	if m.To != r.id && (m.Kind != Ask || m.To != Name(r.id)) {
		return
	}
	switch m.Kind {
	case Ask, Promise, Founded:
		r.stepFounding(m)
		return
	case PreVote, Vote:
		r.stepVote(m)
		return
	case PreVoteAnswer:
		r.stepPreVoteAnswer(m)
		return
	}
	if m.Term > r.state.Term {
		r.follow(m.Term, "")
	}
	if m.Term < r.state.Term {
		// A deposed leader learns the newer term from the answer.
		if m.Kind == Append || m.Kind == Heartbeat || m.Kind == Install {
			r.send(Message{Kind: AppendAnswer, To: m.From, Term: r.state.Term, Reject: true})
		}
		return
	}
	switch m.Kind {
	case VoteAnswer:
		r.count(m, false)
	case Append, Heartbeat, Install:
		r.stepLeader(m)
	case AppendAnswer, HeartbeatAnswer:
		r.stepAnswer(m)
	}
}

// Becomes a follower in a term; a term never goes back.
func (r *Replica) follow(term uint64, leader string) {
	if term > r.state.Term {
		r.setState(State{Term: term})
	}
	if r.role == Leader {
		r.failReads()
		r.progress = nil
		r.rearm()
	}
	if r.role != Waiting {
		r.role = Follower
	}
	r.leader, r.votes = leader, nil
}

func (r *Replica) failReads() {
	for _, p := range r.reads {
		r.effects.Failed = append(r.effects.Failed, p.context)
	}
	r.effects.Failed = append(r.effects.Failed, r.early...)
	r.reads, r.early, r.rounds = nil, nil, nil
}

// Starts a pre-vote, which changes no state, or a vote.
func (r *Replica) campaign(pre bool) {
	r.role, r.leader, r.pre, r.campaigned = Candidate, "", pre, true
	r.votes = map[string]bool{r.id: true}
	term, kind := r.state.Term+1, PreVote
	if !pre {
		r.setState(State{Term: term, Vote: r.id})
		kind = Vote
	}
	if r.won() {
		return
	}
	for _, id := range r.members().Voters {
		if id != r.id {
			r.send(Message{Kind: kind, To: id, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
}

// Moves on when a majority granted; reports whether it did.
func (r *Replica) won() bool {
	n, voters := 0, r.members().Voters
	for _, id := range voters {
		if r.votes[id] {
			n++
		}
	}
	if n <= len(voters)/2 {
		return false
	}
	if r.pre {
		r.rearm()
		r.campaign(false)
		return true
	}
	r.lead()
	return true
}

func (r *Replica) stepVote(m Message) {
	if r.role == Waiting {
		return
	}
	// A live leader is not disturbed: check-quorum lets a leader and its followers ignore campaigns.
	if r.role == Leader || r.leader != "" && r.now.Sub(r.heard) < r.election {
		return
	}
	kind := PreVoteAnswer
	if m.Kind == Vote {
		kind = VoteAnswer
		if m.Term > r.state.Term {
			r.follow(m.Term, "")
		}
	}
	current := m.LogTerm > r.log.lastTerm() || m.LogTerm == r.log.lastTerm() && m.Index >= r.log.last()
	grant := current && m.Term > r.state.Term
	if m.Kind == Vote {
		grant = current && m.Term == r.state.Term && (r.state.Vote == "" || r.state.Vote == m.From)
	}
	if !grant {
		r.send(Message{Kind: kind, To: m.From, Term: r.state.Term, Reject: true})
		return
	}
	if m.Kind == Vote {
		r.setState(State{Term: m.Term, Vote: m.From})
		r.rearm()
	}
	r.send(Message{Kind: kind, To: m.From, Term: m.Term})
}

func (r *Replica) stepPreVoteAnswer(m Message) {
	switch {
	case r.role == Waiting:
	case m.Reject && m.Term > r.state.Term:
		r.follow(m.Term, "")
	case m.Term == r.state.Term+1:
		r.count(m, true)
	}
}

func (r *Replica) count(m Message, pre bool) {
	if r.role != Candidate || r.pre != pre || m.Reject {
		return
	}
	r.votes[m.From] = true
	r.won()
}

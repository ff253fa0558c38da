package agreement

import "time"

// Step processes one message and ignores a message that is addressed to another replica.
func (r *Replica) Step(now time.Time, m Message) {
	r.advanceClock(now)
	if m.To != r.id && (m.Kind != PromiseRequest || m.To != Name(r.id)) {
		return
	}
	r.hear(m)
	switch m.Kind {
	case PromiseRequest, Promise, FoundingSnapshot:
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
		r.becomeFollower(m.Term, "")
	}
	if m.Term < r.state.Term {
		// The answer tells a deposed leader the newer term.
		if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot {
			r.send(Message{Kind: AppendAnswer, To: m.From, Term: r.state.Term, Reject: true})
		}
		return
	}
	switch m.Kind {
	case VoteAnswer:
		r.countVote(m, r.votes)
	case Append, Heartbeat, InstallSnapshot:
		r.stepFromLeader(m)
	case AppendAnswer, HeartbeatAnswer:
		r.stepFollowerAnswer(m)
	}
}

// becomeFollower ends a campaign or leadership, sets the known leader, and adopts the given term if it is higher. Pending reads
// of a leader fail; a waiting replica keeps its role.
func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.state.Term {
		r.setState(HardState{Term: term})
	}
	if r.role == Leader {
		r.failReads()
		r.progress = nil
		r.resetCampaignTimer()
	}
	if r.role != Waiting {
		r.role = Follower
	}
	r.leader, r.preVotes, r.votes = leader, nil, nil
}

func (r *Replica) failReads() {
	for _, p := range r.reads {
		r.effects.FailedReads = append(r.effects.FailedReads, p.context)
	}
	r.effects.FailedReads = append(r.effects.FailedReads, r.earlyReads...)
	r.reads, r.earlyReads, r.rounds = nil, nil, nil
}

// campaign starts a pre-vote or a vote; a pre-vote changes no durable state.
func (r *Replica) campaign(preVote bool) {
	r.role, r.leader, r.campaigned = Candidate, "", true
	r.preVotes = map[string]bool{r.id: true}
	term, kind := r.state.Term+1, PreVote
	if !preVote {
		r.setState(HardState{Term: term, Vote: r.id})
		kind, r.preVotes, r.votes = Vote, nil, map[string]bool{r.id: true}
	}
	if r.advanceCampaign() {
		return
	}
	for _, id := range r.members().IDs() {
		if id != r.id && r.members().IsVoter(id) {
			r.send(Message{Kind: kind, To: id, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
}

// advanceCampaign goes from pre-vote to vote, or from vote to leader, if a majority has granted, and reports whether one has.
func (r *Replica) advanceCampaign() bool {
	switch {
	case r.members().Quorate(func(id string) bool { return r.votes[id] }):
		r.becomeLeader()
	case r.members().Quorate(func(id string) bool { return r.preVotes[id] }):
		r.resetCampaignTimer()
		r.campaign(false)
	default:
		return false
	}
	return true
}

func (r *Replica) stepVote(m Message) {
	if r.role == Waiting {
		return
	}
	// A leader, and a follower that heard a leader within the election timeout, ignore campaigns (check-quorum).
	if r.role == Leader || r.leader != "" && r.now.Sub(r.leaderHeard) < r.election {
		return
	}
	if m.Kind == PreVote && r.isVoteOnDisk() {
		r.deferred = append(r.deferred, m) // the answer would wait for the end of the save anyway
		return
	}
	kind := PreVoteAnswer
	if m.Kind == Vote {
		kind = VoteAnswer
		if m.Term > r.state.Term {
			r.becomeFollower(m.Term, "")
		}
	}
	upToDate := m.LogTerm > r.log.lastTerm() || m.LogTerm == r.log.lastTerm() && m.Index >= r.log.last()
	grant := upToDate && m.Term > r.state.Term && !r.awaitsElection()
	if m.Kind == Vote {
		grant = upToDate && m.Term == r.state.Term && (r.state.Vote == "" || r.state.Vote == m.From)
	}
	if !grant {
		r.send(Message{Kind: kind, To: m.From, Term: r.state.Term, Reject: true})
		return
	}
	if m.Kind == Vote {
		r.setState(HardState{Term: m.Term, Vote: m.From})
		r.resetCampaignTimer()
	}
	r.send(Message{Kind: kind, To: m.From, Term: m.Term})
}

func (r *Replica) stepPreVoteAnswer(m Message) {
	switch {
	case r.role == Waiting:
	case m.Reject && m.Term > r.state.Term:
		r.becomeFollower(m.Term, "")
	case m.Term == r.state.Term+1:
		r.countVote(m, r.preVotes)
	}
}

// countVote counts a grant in one of the maps preVotes and votes, which is nil if this replica has not asked for such grants.
func (r *Replica) countVote(m Message, grants map[string]bool) {
	if r.role != Candidate || grants == nil || m.Reject {
		return
	}
	grants[m.From] = true
	r.advanceCampaign()
}

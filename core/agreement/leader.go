package agreement

import (
	"slices"
	"time"
)

// progress is the leader's view of one other replica.
type progress struct {
	match, next   uint64 // highest index known to be durable on the replica; next index to send
	learner       bool
	probing       bool      // appends are sent one at a time until the replica accepts one
	paused        bool      // no append is sent until the replica answers the last probe or a heartbeat
	inflight      []uint64  // last index of each unanswered append
	snapshotIndex uint64    // index of the snapshot that the replica is installing; 0 for none
	snapshotSent  time.Time // time at which that snapshot was sent
	commitSent    uint64    // commit index in the last append; reset to 0 to force an empty append
	lastHeard     time.Time
	roundAnswered uint64 // latest heartbeat round that the replica answered
}

// heartbeatRound is a heartbeat round that no quorum has answered yet.
type heartbeatRound struct {
	number uint64
	sent   time.Time
}

// commitMark is the commit index at an earlier time.
type commitMark struct {
	at    time.Time
	index uint64
}

// pendingRead is a read that is confirmed once a quorum has answered its heartbeat round.
type pendingRead struct{ context, index, round uint64 }

func (r *Replica) becomeLeader() {
	r.role, r.leader, r.leaderSince = Leader, r.id, r.now
	r.progress = map[string]*progress{}
	r.rounds, r.round = nil, 0
	r.marks = nil
	r.heard = r.memberTimes() // holds a time for each member, also after a removal by this leader
	r.termStart = r.log.last() + 1
	for id := range r.votes {
		r.progress[id] = &progress{lastHeard: r.now}
	}
	r.updateProgress()
	r.appendLocal(Noop, nil)
	r.startHeartbeatRound()
}

// updateProgress adds new members to the progress table, drops removed ones and keeps the progress of all others.
func (r *Replica) updateProgress() {
	m, old := r.members(), r.progress
	r.progress = map[string]*progress{}
	for _, id := range m.IDs() {
		if id == r.id {
			continue
		}
		p := old[id]
		if p == nil || p.next == 0 {
			n := &progress{next: r.log.last() + 1, probing: true}
			if p != nil {
				n.lastHeard = p.lastHeard
			}
			p = n
		}
		p.learner = !m.IsVoter(id)
		r.progress[id] = p
	}
}

func (r *Replica) appendLocal(k Kind, data []byte) uint64 {
	e := Entry{Index: r.log.last() + 1, Term: r.state.Term, Kind: k, Data: data}
	_ = r.appendEntry(e) // Propose has checked the data of member sets.
	if k == MembersChange {
		r.updateProgress()
	}
	return e.Index
}

// Propose appends one entry per data value and returns the first index and the term; the entries are not committed yet. It
// fails with *NotLeaderError, *MembersError or *LagError.
func (r *Replica) Propose(now time.Time, kind Kind, data [][]byte) (first, term uint64, err error) {
	r.advanceClock(now)
	if r.role != Leader {
		return 0, 0, &NotLeaderError{Leader: r.leader}
	}
	if kind == MembersChange {
		if len(data) != 1 {
			return 0, 0, &MembersError{Reason: "exactly one member set must be proposed at a time"}
		}
		if err := r.checkMembers(data[0]); err != nil {
			return 0, 0, err
		}
	}
	first = r.log.last() + 1
	for _, d := range data {
		r.appendLocal(kind, d)
	}
	return first, r.state.Term, nil
}

// committedInTerm reports whether the leader has committed an entry in its own term.
func (r *Replica) committedInTerm() bool { return r.commit >= r.termStart }

// Read starts a linearizable read. A later Effects holds the given context in Reads or FailedReads. Read fails with
// *NotLeaderError.
func (r *Replica) Read(now time.Time, context uint64) error {
	r.advanceClock(now)
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if !r.committedInTerm() {
		r.earlyReads = append(r.earlyReads, context)
		return nil
	}
	r.reads = append(r.reads, pendingRead{context: context, index: r.commit, round: r.round + 1})
	r.startHeartbeatRound()
	return nil
}

func (r *Replica) startHeartbeatRound() {
	r.round++
	r.rounds = append(r.rounds, heartbeatRound{number: r.round, sent: r.now})
	r.nextBroadcast = r.now.Add(r.heartbeat)
	r.markCommit()
	age := uint64(0)
	if !r.quorumConfirmed.IsZero() {
		age = 1 + uint64(r.now.Sub(r.quorumConfirmed).Microseconds())
	}
	silences := r.silences()
	for _, id := range r.peers() {
		p := r.progress[id]
		r.send(Message{
			Kind: Heartbeat, To: id, Term: r.state.Term, Commit: min(p.match, r.commit), Context: r.round, Index: age, Silences: silences,
		})
	}
	r.confirmRounds()
}

// markCommit notes the commit index once a heartbeat interval and drops the marks that recentCommit no longer needs.
func (r *Replica) markCommit() {
	if n := len(r.marks); n > 0 && r.now.Sub(r.marks[n-1].at) < r.heartbeat {
		return
	}
	r.marks = append(r.marks, commitMark{at: r.now, index: r.commit})
	for len(r.marks) > 1 && r.now.Sub(r.marks[1].at) >= r.election {
		r.marks = r.marks[1:]
	}
}

// recentCommit returns the commit index of about an election timeout ago, or of the start of the leadership. A learner that has it
// keeps up: under a steady load it may lack the newest entries at every moment.
func (r *Replica) recentCommit() uint64 {
	if len(r.marks) == 0 || !r.committedInTerm() {
		return r.commit
	}
	return max(r.marks[0].index, r.termStart)
}

// peers returns the identities of the other members, sorted because the replica must behave deterministically.
func (r *Replica) peers() []string {
	ids := make([]string, 0, len(r.progress))
	for id := range r.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// confirmRounds confirms the heartbeat rounds that a majority has answered, and the reads that waited for those rounds.
func (r *Replica) confirmRounds() {
	q := r.majorityValue(r.round, func(p *progress) uint64 { return p.roundAnswered })
	for len(r.rounds) > 0 && r.rounds[0].number <= q {
		r.quorumConfirmed = r.rounds[0].sent
		r.rounds = r.rounds[1:]
	}
	n := 0
	for n < len(r.reads) && r.reads[n].round <= q {
		r.effects.Reads = append(r.effects.Reads, Read{Context: r.reads[n].context, Index: r.reads[n].index})
		n++
	}
	r.reads = r.reads[n:]
}

func (r *Replica) tickLeader() {
	if !r.members().Quorate(r.answered) {
		r.becomeFollower(r.state.Term, "")
		return
	}
	if !r.now.Before(r.nextBroadcast) {
		r.startHeartbeatRound()
	}
}

func (r *Replica) stepFollowerAnswer(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastHeard = r.now
	if m.Kind == HeartbeatAnswer {
		r.stepHeartbeatAnswer(p, m)
		return
	}
	if m.Reject {
		r.stepReject(p, m)
		return
	}
	if m.Index > r.log.last() {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.snapshotIndex > 0 && p.match >= p.snapshotIndex {
		p.snapshotIndex, p.probing = 0, true
		p.next = p.match + 1
	}
	if p.probing && p.snapshotIndex == 0 {
		p.probing = false
	}
	p.paused = false
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= p.match {
		n++
	}
	p.inflight = p.inflight[n:]
	r.advanceCommit()
}

func (r *Replica) stepHeartbeatAnswer(p *progress, m Message) {
	p.roundAnswered = max(p.roundAnswered, min(m.Context, r.round))
	r.confirmRounds()
	if r.role != Leader || p.match >= r.log.last() {
		return
	}
	// An append may be lost. Allow one more: a follower that lacks the lost append rejects the new one, and a probe starts.
	p.paused = false
	if len(p.inflight) >= maxInflightAppends {
		p.inflight = p.inflight[1:]
	}
	if p.snapshotIndex > 0 && r.now.Sub(p.snapshotSent) > 2*r.election {
		p.snapshotIndex, p.probing = 0, true
	}
	if !p.probing && p.snapshotIndex == 0 && p.next > r.log.last() {
		p.commitSent = 0 // forces an empty append, which the follower rejects if it has a gap
	}
}

func (r *Replica) stepReject(p *progress, m Message) {
	if m.Index <= p.match || p.probing && m.Index != p.next-1 {
		return
	}
	i := min(m.Context, m.Index-1)
	for i > p.match {
		t, ok := r.log.term(i)
		if !ok || t <= m.LogTerm {
			break
		}
		i--
	}
	p.next = max(i, p.match) + 1
	p.probing, p.paused, p.inflight = true, false, nil
}

func (r *Replica) advanceCommit() {
	n := r.majorityValue(r.durable, func(p *progress) uint64 { return p.match })
	if t, ok := r.log.term(n); !ok || n <= r.commit || t != r.state.Term {
		return
	}
	r.commit = n
	r.settleMembers()
	if !r.isVoter() && r.memberSets[len(r.memberSets)-1].index <= r.commit {
		r.sendAppends() // tells the followers the commit index before this leader steps down
		r.becomeFollower(r.state.Term, "")
		return
	}
	if len(r.earlyReads) > 0 && r.committedInTerm() {
		for _, c := range r.earlyReads {
			r.reads = append(r.reads, pendingRead{context: c, index: r.commit, round: r.round + 1})
		}
		r.earlyReads = nil
		r.startHeartbeatRound()
	}
}

// settleMembers ends a committed joint change, also one that a former leader began.
func (r *Replica) settleMembers() {
	m := r.members()
	if m.Joint() && r.committedInTerm() && r.memberSets[len(r.memberSets)-1].index <= r.commit {
		r.appendLocal(MembersChange, EncodeMembers(m.settled()))
	}
}

// sendAppends sends each peer the entries or the snapshot that it lacks, up to the limit of unanswered appends.
func (r *Replica) sendAppends() {
	for _, id := range r.peers() {
		p := r.progress[id]
		for r.sendAppend(id, p) {
		}
	}
}

// sendAppend sends a peer at most one append or snapshot and reports whether another append may follow at once.
func (r *Replica) sendAppend(id string, p *progress) bool {
	if p.snapshotIndex > 0 || p.paused || len(p.inflight) >= maxInflightAppends {
		return false
	}
	prev := p.next - 1
	t, ok := r.log.term(prev)
	if !ok || prev < r.log.base {
		r.sendSnapshot(id, p)
		return false
	}
	entries := r.log.slice(p.next, r.log.last(), maxAppendBytes)
	if len(entries) == 0 && p.commitSent >= r.commit && !p.probing {
		return false
	}
	r.send(Message{Kind: Append, To: id, Term: r.state.Term, Index: prev, LogTerm: t, Commit: r.commit, Entries: entries})
	p.commitSent = r.commit
	if p.probing {
		p.paused = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

func (r *Replica) sendSnapshot(id string, p *progress) {
	s := r.snapshot
	r.send(Message{Kind: InstallSnapshot, To: id, Term: r.state.Term, Commit: r.commit, Snapshot: &s})
	p.snapshotIndex, p.snapshotSent = s.Index, r.now
	p.next, p.inflight = s.Index+1, nil
}

package agreement

import (
	"slices"
	"time"
)

// What the leader knows about one other replica.
type progress struct {
	match, next uint64
	learner     bool
	probing     bool // one message at a time until the match is known
	paused      bool // a probe is unanswered
	inflight    []uint64
	install     uint64 // index of the snapshot being sent; 0 for none
	installed   time.Time
	commit      uint64 // highest commit index sent
	heard       time.Time
	round       uint64
}

// One heartbeat round and when it was sent.
type round struct {
	number uint64
	sent   time.Time
}

// A read that waits for its round.
type pending struct{ context, index, round uint64 }

func (r *Replica) lead() {
	r.role, r.leader = Leader, r.id
	r.progress = map[string]*progress{}
	r.rounds, r.round = nil, 0
	r.termStart = r.log.last() + 1
	for id := range r.votes {
		r.progress[id] = &progress{heard: r.now}
	}
	r.refresh()
	r.put(Noop, nil)
	r.broadcast()
}

// Brings the progress table in line with the member set.
func (r *Replica) refresh() {
	m, old := r.members(), r.progress
	r.progress = map[string]*progress{}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id == r.id {
			continue
		}
		p := old[id]
		if p == nil || p.next == 0 {
			n := &progress{next: r.log.last() + 1, probing: true}
			if p != nil {
				n.heard = p.heard
			}
			p = n
		}
		p.learner = slices.Contains(m.Learners, id)
		r.progress[id] = p
	}
}

func (r *Replica) put(k Kind, data []byte) uint64 {
	e := Entry{Index: r.log.last() + 1, Term: r.state.Term, Kind: k, Data: data}
	_ = r.adopt(e) // Members data was checked by Propose.
	if k == MembersChange {
		r.refresh()
	}
	return e.Index
}

// Propose appends one entry for each data value; it fails with *NotLeaderError, *MembersError or *LagError.
func (r *Replica) Propose(now time.Time, kind Kind, data [][]byte) (first, term uint64, err error) {
	r.advance(now)
	if r.role != Leader {
		return 0, 0, &NotLeaderError{Leader: r.leader}
	}
	if kind == MembersChange {
		if len(data) != 1 {
			return 0, 0, &MembersError{Reason: "one change at a time"}
		}
		if err := r.checkMembers(data[0]); err != nil {
			return 0, 0, err
		}
	}
	first = r.log.last() + 1
	for _, d := range data {
		r.put(kind, d)
	}
	return first, r.state.Term, nil
}

// Reports whether the leader has committed an entry in its term.
func (r *Replica) ready() bool { return r.commit >= r.termStart }

// Read asks for a quorum confirmation; the answer is a Read or a Failed context in Effects. It fails with *NotLeaderError.
func (r *Replica) Read(now time.Time, context uint64) error {
	r.advance(now)
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if !r.ready() {
		r.early = append(r.early, context)
		return nil
	}
	r.reads = append(r.reads, pending{context: context, index: r.commit, round: r.round + 1})
	r.broadcast()
	return nil
}

// Starts a heartbeat round.
func (r *Replica) broadcast() {
	r.round++
	r.rounds = append(r.rounds, round{number: r.round, sent: r.now})
	r.beat = r.now.Add(r.heartbeat)
	age := uint64(0)
	if !r.confirmed.IsZero() {
		age = 1 + uint64(r.now.Sub(r.confirmed).Microseconds())
	}
	for _, id := range r.others() {
		p := r.progress[id]
		r.send(Message{Kind: Heartbeat, To: id, Term: r.state.Term, Commit: min(p.match, r.commit), Context: r.round, Index: age})
	}
	r.settle()
}

// Returns the other members in a fixed order, so that the machine is deterministic.
func (r *Replica) others() []string {
	ids := make([]string, 0, len(r.progress))
	for id := range r.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Confirms the rounds that a majority has answered.
func (r *Replica) settle() {
	q := r.majority(r.round, func(p *progress) uint64 { return p.round })
	for len(r.rounds) > 0 && r.rounds[0].number <= q {
		r.confirmed = r.rounds[0].sent
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
	if !r.live(r.members().Voters) {
		r.follow(r.state.Term, "")
		return
	}
	if !r.now.Before(r.beat) {
		r.broadcast()
	}
}

func (r *Replica) stepAnswer(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard = r.now
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
	if p.install > 0 && p.match >= p.install {
		p.install, p.probing = 0, true
		p.next = p.match + 1
	}
	if p.probing && p.install == 0 {
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
	p.round = max(p.round, min(m.Context, r.round))
	r.settle()
	if r.role != Leader || p.match >= r.log.last() {
		return
	}
	// The follower may have lost an append: allow one more, whose refusal would start a probe.
	p.paused = false
	if len(p.inflight) >= inflightLimit {
		p.inflight = p.inflight[1:]
	}
	if p.install > 0 && r.now.Sub(p.installed) > 2*r.election {
		p.install, p.probing = 0, true
	}
	if !p.probing && p.install == 0 && p.next > r.log.last() {
		p.commit = 0 // forces an empty append, which finds a gap
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
	n := r.majority(r.durable, func(p *progress) uint64 { return p.match })
	if t, ok := r.log.term(n); !ok || n <= r.commit || t != r.state.Term {
		return
	}
	r.commit = n
	if !r.voter() && r.config[len(r.config)-1].index <= r.commit {
		r.flush() // tells the others of the commit
		r.follow(r.state.Term, "")
		return
	}
	if len(r.early) > 0 && r.ready() {
		for _, c := range r.early {
			r.reads = append(r.reads, pending{context: c, index: r.commit, round: r.round + 1})
		}
		r.early = nil
		r.broadcast()
	}
}

// Sends each other member what it lacks, within the limits.
func (r *Replica) flush() {
	for _, id := range r.others() {
		p := r.progress[id]
		for r.sendAppend(id, p) {
		}
	}
}

// Sends one append or snapshot; reports whether more may follow.
func (r *Replica) sendAppend(id string, p *progress) bool {
	if p.install > 0 || p.paused || len(p.inflight) >= inflightLimit {
		return false
	}
	prev := p.next - 1
	t, ok := r.log.term(prev)
	if !ok || prev < r.log.base {
		r.sendInstall(id, p)
		return false
	}
	entries := r.log.slice(p.next, r.log.last(), messageLimit)
	if len(entries) == 0 && p.commit >= r.commit && !p.probing {
		return false
	}
	r.send(Message{Kind: Append, To: id, Term: r.state.Term, Index: prev, LogTerm: t, Commit: r.commit, Entries: entries})
	p.commit = r.commit
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

func (r *Replica) sendInstall(id string, p *progress) {
	s := r.snapshot
	r.send(Message{Kind: Install, To: id, Term: r.state.Term, Commit: r.commit, Snapshot: &s})
	p.install, p.installed = s.Index, r.now
	p.next, p.inflight = s.Index+1, nil
}

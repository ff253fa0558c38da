package agreement

import (
	"slices"
	"time"
)

const (
	defaultElectionTimeout   = time.Second            // a follower campaigns after one to two of these without its leader
	defaultHeartbeatInterval = 100 * time.Millisecond // a tenth of the election timeout: one lost heartbeat causes no election
	maxAppendBytes           = 1 << 20                // maximum bytes of entries in one message; a single larger entry is sent alone
	entryOverhead            = 32                     // bytes that an entry's fields other than Data count in maxAppendBytes
	maxInflightAppends       = 16                     // maximum number of unanswered appends per follower
	// earlyCampaignDivisor limits the random wait between campaigns while no leader has been known since the start: to a third of
	// the election timeout, but at least a heartbeat interval.
	earlyCampaignDivisor = 3
	// campaignsPerHeartbeat is the number of replicas that begin their first campaign in one heartbeat interval while no leader has
	// been known since the start. It leaves each of them half an interval for the pre-vote and the vote.
	campaignsPerHeartbeat = 2
	campaignJitterDivisor = 8    // limits the random part of a first campaign's delay to an eighth of a heartbeat interval
	campaignSaves         = 4    // on slow disks campaigns are spread over the time of this many saves; a vote takes two of them
	electionSaves         = 2    // saves that an election takes on slow disks after a vote, for which no other campaign may begin
	trailingEntries       = 1024 // log entries kept before a snapshot's index, so that a slightly lagging follower needs no snapshot
)

// Option is a setting for New, which requires WithID and WithRandom.
type Option func(r *Replica)

// WithID sets the replica's identity, NAME/INCARNATION.
func WithID(id string) Option { return func(r *Replica) { r.id = id } }

// WithMembers founds an empty replica with a fixed member set; every initial member must get the same set.
func WithMembers(m Members) Option { return func(r *Replica) { r.initial = &m } }

// WithFounders sets the names of the initial voters; the replica with the smallest name founds the group.
func WithFounders(names ...string) Option {
	return func(r *Replica) {
		r.founders = slices.Clone(names)
		slices.Sort(r.founders)
	}
}

// WithLog sets the state loaded from disk; entries that the snapshot covers are ignored.
func WithLog(state HardState, snapshot Snapshot, entries []Entry) Option {
	return func(r *Replica) { r.state, r.snapshot, r.loaded = state, snapshot, entries }
}

// WithResumed tells that this replica took part before in the same process, so that it campaigns like one that has known a leader. One
// that resumes after each failure of its disk would otherwise campaign sooner than all others, win, and fail again.
func WithResumed() Option { return func(r *Replica) { r.leaderSeen = true } }

// WithElectionTimeout sets the election timeout, which must be longer than the heartbeat interval; the default is 1 s.
func WithElectionTimeout(d time.Duration) Option { return func(r *Replica) { r.election = d } }

// WithHeartbeatInterval sets the heartbeat interval; the default is 100 ms.
func WithHeartbeatInterval(d time.Duration) Option { return func(r *Replica) { r.heartbeat = d } }

// WithRandom sets the source of election jitter, which must return a value in [0, d); it is required.
func WithRandom(f func(d time.Duration) time.Duration) Option {
	return func(r *Replica) { r.random = f }
}

// membersAt is a member set and the index of the entry or snapshot that introduced it.
type membersAt struct {
	index   uint64
	members Members
}

// Replica is one member's protocol state; it is not safe for concurrent use.
type Replica struct {
	id                  string
	initial             *Members
	founders            []string
	election, heartbeat time.Duration
	random              func(d time.Duration) time.Duration

	state       HardState
	snapshot    Snapshot // latest snapshot, without Data
	log         log
	loaded      []Entry     // from WithLog, until load has appended them
	memberSets  []membersAt // the snapshot's set and later ones; the last one is in force
	commit      uint64
	applied     uint64 // highest index in the loaded snapshot, or in a Snapshot or Committed returned in Effects
	writeIssued uint64 // highest index that was loaded or returned in Effects to be saved
	durable     uint64 // highest index known to be synced

	now, started            time.Time            // the clock, and its first value
	heard                   map[string]time.Time // when each other member was last known to be alive
	leaderSince             time.Time
	role                    Role
	leader                  string
	leaderHeard, campaignAt time.Time            // time of the last message from the leader; time of the next campaign
	nextBroadcast           time.Time            // time of the next heartbeat round or founding messages
	quorumConfirmed         time.Time            // start of the last heartbeat round known to be answered by a quorum
	preVotes                map[string]bool      // grants of the pre-vote in progress
	votes                   map[string]bool      // grants in the current term; they count also while a later pre-vote is in progress
	saving                  saving               // what the last Effects holds to be saved
	savedTerm               uint64               // the term on disk
	saveTime                time.Duration        // time that the last save of a vote took
	voteSaved               time.Time            // end of that save
	deferred                []Message            // pre-votes asked for while a vote is being saved
	leaderSeen              bool                 // a leader has been known since the start, or before this replica resumed
	campaigned              bool                 // this replica has campaigned since the start
	promises                map[string]string    // founding promises received: initial name to identity
	progress                map[string]*progress // by identity, without this replica; used only by the leader
	rounds                  []heartbeatRound
	round                   uint64 // number of the last heartbeat round
	reads                   []pendingRead
	earlyReads              []uint64 // contexts of reads that wait for the first commit in the term
	marks                   []commitMark
	termStart               uint64 // index of the first entry in this leader's term
	effects                 Effects
	stateChanged            bool // state must be returned in the next Effects
}

// New returns a replica in its loaded state; it fails with *OptionError if an option is missing, invalid or contradicts that
// state.
func New(opts ...Option) (*Replica, error) {
	r := &Replica{election: defaultElectionTimeout, heartbeat: defaultHeartbeatInterval, promises: map[string]string{}, heard: map[string]time.Time{}}
	for _, o := range opts {
		o(r)
	}
	switch {
	case r.id == "":
		return nil, &OptionError{Option: "WithID", Reason: "missing"}
	case r.random == nil:
		return nil, &OptionError{Option: "WithRandom", Reason: "missing"}
	case r.heartbeat <= 0 || r.election <= r.heartbeat:
		return nil, &OptionError{Option: "WithElectionTimeout", Reason: "must be longer than the heartbeat interval, which must be above 0"}
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.role = Follower
	if !r.isFounded() {
		r.role = Waiting
	}
	if r.role == Waiting && r.initial != nil {
		r.foundGroup(*r.initial)
	}
	return r, nil
}

func (r *Replica) load() error {
	r.savedTerm = r.state.Term
	s := r.snapshot
	s.Data = nil
	r.snapshot = s
	if r.state.Term < s.Term {
		// The process stopped after it saved the founding snapshot and before it saved the term, so it sent no vote in that term.
		r.setState(HardState{Term: s.Term})
	}
	r.log = log{base: s.Index, baseTerm: s.Term}
	r.memberSets = []membersAt{{index: s.Index, members: s.Members}}
	for _, e := range r.loaded {
		if e.Index <= s.Index {
			continue
		}
		if e.Index != r.log.last()+1 {
			return &OptionError{Option: "WithLog", Reason: "entries must follow the snapshot without a gap"}
		}
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}
	r.loaded = nil
	r.commit, r.applied = s.Index, s.Index
	r.writeIssued, r.durable = r.log.last(), r.log.last()
	return nil
}

// appendEntry appends to the log in memory. A member set takes effect when it is appended, not when it is committed.
func (r *Replica) appendEntry(e Entry) error {
	if e.Kind == MembersChange {
		m, err := DecodeMembers(e.Data)
		if err != nil {
			return &OptionError{Option: "WithLog", Reason: err.Error()}
		}
		for _, id := range m.IDs() {
			if !r.members().Has(id) && !r.now.IsZero() {
				r.heard[id] = r.now // the silence of a new member begins when it joins
			}
		}
		r.memberSets = append(r.memberSets, membersAt{index: e.Index, members: m})
	}
	r.log.entries = append(r.log.entries, e)
	return nil
}

// truncateLog removes the entries at and after an index, and the member sets that they introduced.
func (r *Replica) truncateLog(from uint64) {
	r.log.truncate(from)
	r.writeIssued, r.durable = min(r.writeIssued, from-1), min(r.durable, from-1)
	for len(r.memberSets) > 1 && r.memberSets[len(r.memberSets)-1].index >= from {
		r.memberSets = r.memberSets[:len(r.memberSets)-1]
	}
}

func (r *Replica) members() Members { return r.memberSets[len(r.memberSets)-1].members }

func (r *Replica) isFounded() bool { return r.log.last() > 0 }

func (r *Replica) isVoter() bool { return r.members().IsVoter(r.id) }

// mayCampaign reports whether the replica is a voter, or was one before a removal that is not known to be committed. If only
// this replica's log holds the removal, no other replica can win an election.
func (r *Replica) mayCampaign() bool {
	for i := len(r.memberSets) - 1; i >= 0; i-- {
		if r.memberSets[i].members.IsVoter(r.id) {
			return true
		}
		if r.memberSets[i].index <= r.commit {
			return false
		}
	}
	return false
}

// Tick advances the clock and does what is due: campaigns, heartbeats, check-quorum and founding messages.
func (r *Replica) Tick(now time.Time) {
	r.advanceClock(now)
	switch {
	case r.role == Leader:
		r.tickLeader()
	case r.role == Waiting:
		r.tickFounder()
	case r.saving.active: // a vote would wait for the end of the save
	case !now.Before(r.campaignAt):
		r.resetCampaignTimer()
		if !r.mayCampaign() {
			r.showAlive()
			return
		}
		r.campaign(true)
	default:
		r.resendFounding()
	}
}

// advanceClock sets the replica's clock and, at the first call, the time of the first campaign. It ignores a time earlier than
// the last one, so that the clock never goes back.
func (r *Replica) advanceClock(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
	if r.campaignAt.IsZero() {
		r.started = r.now
		r.resetCampaignTimer()
	}
}

// resetCampaignTimer sets the time of the next campaign. A replica that has known no leader since its start waits less: after a
// power loss of the whole group no leader is alive, and a pre-vote does not disturb a live leader. First campaigns follow
// the order of the voters, because replicas that start together would otherwise split the votes. Later campaigns are random,
// because that order may not suit the state of the group.
func (r *Replica) resetCampaignTimer() {
	if r.leader != "" || r.role == Leader {
		r.leaderSeen = true
	}
	wait := r.election + r.random(r.election)
	switch {
	case r.leaderSeen:
	case r.campaigned:
		wait = max(r.random(r.election/earlyCampaignDivisor), r.heartbeat)
	default:
		position := max(slices.Index(r.members().Voters, r.id), 0)
		wait = r.heartbeat + time.Duration(position)*r.heartbeat/campaignsPerHeartbeat + r.random(r.heartbeat/campaignJitterDivisor)
	}
	if slow := r.slowSave(); slow > 0 {
		wait += r.random(campaignSaves * slow)
	}
	r.campaignAt = r.now.Add(wait)
}

// ConfirmedAt returns the start of the last heartbeat round known to be answered by a quorum, zero for none.
func (r *Replica) ConfirmedAt() time.Time { return r.quorumConfirmed }

// Status returns the replica's role, indexes and members; Progress is set only on the leader.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.id, Role: r.role, Leader: r.leader, Term: r.state.Term, Commit: r.commit, Applied: r.applied,
		Last: r.log.last(), Members: r.members(), ConfirmedAt: r.quorumConfirmed, Heard: r.lastAliveTimes(),
	}
	if r.role == Leader {
		s.LeaderSince = r.leaderSince
		recent := r.recentCommit()
		s.Progress = make(map[string]Progress, len(r.progress))
		for id, p := range r.progress {
			s.Progress[id] = Progress{Match: p.match, LastHeard: p.lastHeard, Learner: p.learner, CaughtUp: p.match >= recent}
		}
	}
	return s
}

// Effects returns and clears the pending effects; the caller must carry them out in the order that the type gives, and must call Effects
// again only after that. Meanwhile the replica takes input, and Urgent returns what can be sent.
func (r *Replica) Effects() Effects {
	r.endSave()
	if r.role == Leader {
		r.sendAppends()
	}
	e := r.effects
	r.effects = Effects{}
	if r.stateChanged {
		s := r.state
		e.State, r.stateChanged = &s, false
	}
	if last := r.log.last(); r.writeIssued < last {
		n := r.writeIssued - r.log.base
		e.Entries = slices.Clip(r.log.entries[n:])
		r.writeIssued = last
	}
	if r.applied < r.commit {
		e.Committed = r.log.slice(r.applied+1, r.commit, int(^uint(0)>>1))
		r.applied = r.commit
	}
	r.beginSave(e)
	return e
}

// Persisted tells the replica that the entry at index with term, and all entries before it, are synced to disk.
func (r *Replica) Persisted(index, term uint64) {
	if t, ok := r.log.term(index); !ok || t != term {
		return
	}
	r.durable = max(r.durable, index)
	if r.role == Leader {
		r.advanceCommit()
	}
}

// SnapshotAt returns the snapshot metadata (no Data) at an applied index, or false if the index is not applied or
// precedes the latest snapshot.
func (r *Replica) SnapshotAt(index uint64) (Snapshot, bool) {
	t, ok := r.log.term(index)
	if !ok || index > r.applied || index < r.snapshot.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: t}
	for _, p := range r.memberSets {
		if p.index <= index {
			s.Members = p.members
		}
	}
	return s, true
}

// Compact tells the replica that a snapshot at an applied index is saved; the log keeps at most trailingEntries entries up to that
// index. Compact has no effect if the index is not applied, or not above the latest snapshot's index.
func (r *Replica) Compact(index uint64) {
	s, ok := r.SnapshotAt(index)
	if !ok || index == r.snapshot.Index {
		return
	}
	r.snapshot = s
	for len(r.memberSets) > 1 && r.memberSets[1].index <= index {
		r.memberSets = r.memberSets[1:]
	}
	if index > trailingEntries {
		r.log.compact(index - trailingEntries)
	}
}

func (r *Replica) send(m Message) {
	m.From = r.id
	r.effects.Messages = append(r.effects.Messages, m)
}

func (r *Replica) setState(s HardState) {
	if s != r.state {
		r.state, r.stateChanged = s, true
	}
}

package agreement

import (
	"slices"
	"time"
)

const (
	defaultElection  = time.Second            // time without a leader before a campaign
	defaultHeartbeat = 100 * time.Millisecond // a tenth, so that single losses do not cause elections
	messageLimit     = 1 << 20                // bytes of entries in one message
	entryCost        = 32                     // bytes counted for an entry's fixed fields
	inflightLimit    = 16                     // unanswered appends for each follower
	// unsettledShare is the part of the election timeout in which a replica campaigns again that has known no leader since its start.
	unsettledShare = 3
	// campaignsPerHeartbeat spaces the first campaigns of a group that has known no leader since its start: each has half a heartbeat
	// for two rounds of votes.
	campaignsPerHeartbeat = 2
	campaignSpread        = 8    // part of a heartbeat by which these campaigns vary
	trailLimit            = 1024 // entries kept below a snapshot, so that a follower slightly behind needs no snapshot
)

// Option sets up a Replica.
type Option func(r *Replica)

// WithID sets the replica's identity, NAME/INCARNATION.
func WithID(id string) Option { return func(r *Replica) { r.id = id } }

// WithMembers starts an empty replica with a fixed member set; every initial member must be given the same set.
func WithMembers(m Members) Option { return func(r *Replica) { r.initial = &m } }

// WithFounders names the initial voters for founding; the smallest name founds.
func WithFounders(names ...string) Option {
	return func(r *Replica) {
		r.founders = slices.Clone(names)
		slices.Sort(r.founders)
	}
}

// WithLog gives the loaded state; entries up to the snapshot are ignored.
func WithLog(state State, snapshot Snapshot, entries []Entry) Option {
	return func(r *Replica) { r.state, r.snapshot, r.loaded = state, snapshot, entries }
}

// WithElection sets the election timeout.
func WithElection(d time.Duration) Option { return func(r *Replica) { r.election = d } }

// WithHeartbeat sets the heartbeat interval.
func WithHeartbeat(d time.Duration) Option { return func(r *Replica) { r.heartbeat = d } }

// WithRandom sets the source of the random part of election timeouts: a value in [0, d).
func WithRandom(f func(d time.Duration) time.Duration) Option {
	return func(r *Replica) { r.random = f }
}

// A member set and the index of the entry that made it.
type point struct {
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

	state    State
	snapshot Snapshot // newest, without Data
	log      log
	loaded   []Entry
	config   []point // from the snapshot on; the last one is in force
	commit   uint64
	handed   uint64 // highest index handed out as committed
	saved    uint64 // highest index handed out for saving
	durable  uint64 // highest index known to be synced

	now             time.Time
	role            Role
	leader          string
	heard, deadline time.Time // last leader contact; next campaign
	beat            time.Time // next heartbeat or founding message
	confirmed       time.Time
	votes           map[string]bool
	pre             bool // the campaign is a pre-vote
	settled         bool // a leader was known since the start
	campaigned      bool // since the start
	promises        map[string]string
	progress        map[string]*progress
	rounds          []round
	round           uint64
	reads           []pending
	early           []uint64 // reads that wait for the first commit of the term
	termStart       uint64   // index of the leader's first entry
	effects         Effects
	dirty           bool // state is not yet handed out
}

// New returns a replica; it fails with *OptionError.
func New(opts ...Option) (*Replica, error) {
	r := &Replica{election: defaultElection, heartbeat: defaultHeartbeat, promises: map[string]string{}}
	for _, o := range opts {
		o(r)
	}
	switch {
	case r.id == "":
		return nil, &OptionError{Option: "WithID", Reason: "missing"}
	case r.random == nil:
		return nil, &OptionError{Option: "WithRandom", Reason: "missing"}
	case r.heartbeat <= 0 || r.election <= r.heartbeat:
		return nil, &OptionError{Option: "WithElection", Reason: "must be longer than the heartbeat"}
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.role = Follower
	if !r.founded() {
		r.role = Waiting
	}
	if r.role == Waiting && r.initial != nil {
		r.found(*r.initial)
	}
	return r, nil
}

func (r *Replica) load() error {
	s := r.snapshot
	s.Data = nil
	r.snapshot = s
	if r.state.Term < s.Term {
		// A stop between saving the founding snapshot and its term; no vote in that term was sent.
		r.setState(State{Term: s.Term})
	}
	r.log = log{base: s.Index, baseTerm: s.Term}
	r.config = []point{{index: s.Index, members: s.Members}}
	for _, e := range r.loaded {
		if e.Index <= s.Index {
			continue
		}
		if e.Index != r.log.last()+1 {
			return &OptionError{Option: "WithLog", Reason: "entries have a gap"}
		}
		if err := r.adopt(e); err != nil {
			return err
		}
	}
	r.loaded = nil
	r.commit, r.handed = s.Index, s.Index
	r.saved, r.durable = r.log.last(), r.log.last()
	return nil
}

// Appends one entry; a members entry takes effect at once.
func (r *Replica) adopt(e Entry) error {
	if e.Kind == MembersChange {
		m, err := DecodeMembers(e.Data)
		if err != nil {
			return &OptionError{Option: "WithLog", Reason: err.Error()}
		}
		r.config = append(r.config, point{index: e.Index, members: m})
	}
	r.log.entries = append(r.log.entries, e)
	return nil
}

// Removes the entries from an index on, with the member sets that they made.
func (r *Replica) cut(from uint64) {
	r.log.truncate(from)
	r.saved, r.durable = min(r.saved, from-1), min(r.durable, from-1)
	for len(r.config) > 1 && r.config[len(r.config)-1].index >= from {
		r.config = r.config[:len(r.config)-1]
	}
}

func (r *Replica) members() Members { return r.config[len(r.config)-1].members }

func (r *Replica) founded() bool { return r.log.last() > 0 }

func (r *Replica) voter() bool { return slices.Contains(r.members().Voters, r.id) }

// Reports whether the replica may campaign. A voter whose removal is not known to be committed still may: only its log
// may hold that entry, and then no other replica could win.
func (r *Replica) eligible() bool {
	for i := len(r.config) - 1; i >= 0; i-- {
		if slices.Contains(r.config[i].members.Voters, r.id) {
			return true
		}
		if r.config[i].index <= r.commit {
			return false
		}
	}
	return false
}

// Tick advances time: campaigns, heartbeats, check-quorum and founding messages.
func (r *Replica) Tick(now time.Time) {
	r.advance(now)
	switch {
	case r.role == Leader:
		r.tickLeader()
	case r.role == Waiting:
		r.tickFounder()
	case !now.Before(r.deadline):
		r.rearm()
		if r.eligible() {
			r.campaign(true)
		}
	default:
		r.tickFounded()
	}
}

// Time never runs backward inside the replica.
func (r *Replica) advance(now time.Time) {
	if now.After(r.now) {
		r.now = now
	}
	if r.deadline.IsZero() {
		r.rearm()
	}
}

// rearm sets the time of the next campaign. Until a replica has known a leader since its start it waits less: after a loss of
// power of the whole group there is none, and a pre-vote does not disturb one that lives. The first campaigns come one after
// the other in a fixed order, since replicas that start together would otherwise split the votes; later ones at random, since
// the order may not suit the state of the group.
func (r *Replica) rearm() {
	if r.leader != "" || r.role == Leader {
		r.settled = true
	}
	wait := r.election + r.random(r.election)
	switch {
	case r.settled:
	case r.campaigned:
		wait = max(r.random(r.election/unsettledShare), r.heartbeat)
	default:
		place := max(slices.Index(r.members().Voters, r.id), 0)
		wait = r.heartbeat + time.Duration(place)*r.heartbeat/campaignsPerHeartbeat + r.random(r.heartbeat/campaignSpread)
	}
	r.deadline = r.now.Add(wait)
}

// Status describes the replica.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.id, Role: r.role, Leader: r.leader, Term: r.state.Term, Commit: r.commit, Applied: r.handed,
		Last: r.log.last(), Members: r.members(), Confirmed: r.confirmed,
	}
	if r.role == Leader {
		s.Progress = make(map[string]Progress, len(r.progress))
		for id, p := range r.progress {
			s.Progress[id] = Progress{Match: p.match, Heard: p.heard, Learner: p.learner}
		}
	}
	return s
}

// Effects drains what the caller must do.
func (r *Replica) Effects() Effects {
	if r.role == Leader {
		r.flush()
	}
	e := r.effects
	r.effects = Effects{}
	if r.dirty {
		s := r.state
		e.State, r.dirty = &s, false
	}
	if last := r.log.last(); r.saved < last {
		n := r.saved - r.log.base
		e.Entries = slices.Clip(r.log.entries[n:])
		r.saved = last
	}
	if r.handed < r.commit {
		e.Committed = r.log.slice(r.handed+1, r.commit, int(^uint(0)>>1))
		r.handed = r.commit
	}
	return e
}

// Persisted says that the entry at index with term, and all before it, are synced.
func (r *Replica) Persisted(index, term uint64) {
	if t, ok := r.log.term(index); !ok || t != term {
		return
	}
	r.durable = max(r.durable, index)
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Point returns the snapshot of an applied index without Data; false when the index is outside the applied log.
func (r *Replica) Point(index uint64) (Snapshot, bool) {
	t, ok := r.log.term(index)
	if !ok || index > r.handed || index < r.snapshot.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: t}
	for _, p := range r.config {
		if p.index <= index {
			s.Members = p.members
		}
	}
	return s, true
}

// Compact says that a snapshot at an applied index is saved; older entries are dropped but for a short trail.
func (r *Replica) Compact(index uint64) {
	s, ok := r.Point(index)
	if !ok || index == r.snapshot.Index {
		return
	}
	r.snapshot = s
	for len(r.config) > 1 && r.config[1].index <= index {
		r.config = r.config[1:]
	}
	if index > trailLimit {
		r.log.compact(index - trailLimit)
	}
}

func (r *Replica) send(m Message) {
	m.From = r.id
	r.effects.Messages = append(r.effects.Messages, m)
}

func (r *Replica) setState(s State) {
	if s != r.state {
		r.state, r.dirty = s, true
	}
}

package agreement

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// store is a replica's durable state.
type store struct {
	state    HardState
	snapshot Snapshot
	entries  []Entry
}

func (s *store) save(e Effects) {
	if e.State != nil {
		s.state = *e.State
	}
	if e.Snapshot != nil {
		s.snapshot, s.entries = *e.Snapshot, nil
	}
	if len(e.Entries) > 0 {
		n := e.Entries[0].Index - s.snapshot.Index - 1
		s.entries = append(s.entries[:n], e.Entries...)
	}
}

// cluster is a group of replicas with one clock; it checks the protocol's invariants while it delivers messages.
type cluster struct {
	t              rapid.TB
	now            time.Time
	random         *rand.Rand
	members        map[string]*Replica // running replicas, by identity
	stores         map[string]*store   // durable state, by identity
	network        []Message
	blocked        map[[2]string]bool // whether the link drops messages, by the names of sender and receiver
	committed      []Entry            // each entry as first committed on any replica; the entry at index i is element i - 2
	leaders        map[uint64]string  // identity of the leader, by term
	reads          map[uint64]uint64  // highest index committed on any replica when the read started, by its context
	confirmedReads map[uint64]bool    // by context of the read
	highestCommit  uint64             // highest index committed on any replica
	options        []Option           // for replicas that start later
	lost           []string           // identities of replicas that are lost for good
}

func newCluster(t rapid.TB, n int, seed int64) *cluster {
	c := &cluster{
		t: t, now: time.Unix(0, 0), random: rand.New(rand.NewSource(seed)), members: map[string]*Replica{},
		stores: map[string]*store{}, blocked: map[[2]string]bool{}, leaders: map[uint64]string{}, reads: map[uint64]uint64{},
		confirmedReads: map[uint64]bool{}, highestCommit: 1,
	}
	for i := range n {
		c.stores[fmt.Sprintf("%c/1", 'a'+i)] = &store{}
	}
	for _, id := range c.ids() {
		c.start(id)
	}
	return c
}

func (c *cluster) ids() []string {
	var ids []string
	for id := range c.stores {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start starts or restarts a replica from its durable state.
func (c *cluster) start(id string) {
	var names []string
	for _, i := range c.ids() {
		names = append(names, Name(i))
	}
	s := c.stores[id]
	r, err := New(append([]Option{
		WithID(id), WithFounders(slices.Compact(names)...), WithLog(s.state, s.snapshot, s.entries),
		WithRandom(func(d time.Duration) time.Duration { return time.Duration(c.random.Int63n(int64(d))) }),
	}, c.options...)...)
	if err != nil {
		c.t.Fatalf("New(%s): %v", id, err)
	}
	c.members[id] = r
}

// carryOutEffects saves, sends and checks one replica's effects until there are none left.
func (c *cluster) carryOutEffects(id string) {
	r := c.members[id]
	for r != nil {
		e := r.Effects()
		if e.Empty() {
			break
		}
		c.stores[id].save(e)
		c.network = append(c.network, e.Messages...)
		if n := len(e.Entries); n > 0 {
			r.Persisted(e.Entries[n-1].Index, e.Entries[n-1].Term)
		}
		c.checkInvariants(id, r, e)
	}
}

// checkInvariants checks that committed entries never change, that each term has at most one leader, and that reads are not stale.
func (c *cluster) checkInvariants(id string, r *Replica, e Effects) {
	for _, n := range e.Committed {
		i := int(n.Index - 2)
		if i > len(c.committed) {
			c.t.Fatalf("%s: got entry %d committed before all entries with a lower index", id, n.Index)
		}
		if i == len(c.committed) {
			c.committed = append(c.committed, n)
		}
		if got, want := n, c.committed[i]; got.Term != want.Term || string(got.Data) != string(want.Data) {
			c.t.Fatalf("%s: committed entry %d: got %+v, want %+v", id, n.Index, got, want)
		}
		c.highestCommit = max(c.highestCommit, n.Index)
	}
	for _, d := range e.Reads {
		if d.Index < c.reads[d.Context] {
			c.t.Fatalf("%s: read %d: got index %d, want at least %d", id, d.Context, d.Index, c.reads[d.Context])
		}
		c.confirmedReads[d.Context] = true
	}
	if s := r.Status(); s.Role == Leader {
		if previous := c.leaders[s.Term]; previous != "" && previous != id {
			c.t.Fatalf("term %d: got leaders %s and %s", s.Term, previous, id)
		}
		c.leaders[s.Term] = id
	}
}

// deliver takes the i-th message from the network and delivers it unless its link is blocked.
func (c *cluster) deliver(i int) {
	m := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	if c.blocked[[2]string{Name(m.From), Name(m.To)}] {
		return
	}
	for _, id := range c.ids() {
		if r := c.members[id]; r != nil && Name(id) == Name(m.To) {
			if m.Snapshot != nil && m.Kind == InstallSnapshot {
				s := *m.Snapshot
				s.Data = []byte("state")
				m.Snapshot = &s
			}
			r.Step(c.now, m)
			c.carryOutEffects(id)
		}
	}
}

// run advances time in ticks of 50 ms and delivers all messages in order after each.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(50 * time.Millisecond)
		for n := 0; len(c.network) > 0 && n < 10_000; n++ {
			c.deliver(0)
		}
	}
}

func (c *cluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	for _, id := range c.ids() {
		if r := c.members[id]; r != nil {
			r.Tick(c.now)
			c.carryOutEffects(id)
		}
	}
}

// leader returns the leader of the highest term, or an empty string.
func (c *cluster) leader() string {
	best, term := "", uint64(0)
	for _, id := range c.ids() {
		if r := c.members[id]; r != nil && r.Status().Role == Leader && r.Status().Term > term {
			best, term = id, r.Status().Term
		}
	}
	return best
}

func (c *cluster) propose(id, data string) error {
	_, _, err := c.members[id].Propose(c.now, Command, [][]byte{[]byte(data)})
	c.carryOutEffects(id)
	return err
}

func (c *cluster) read(id string, context uint64) {
	c.reads[context] = c.highestCommit
	_ = c.members[id].Read(c.now, context)
	c.carryOutEffects(id)
}

func (c *cluster) change(id string, m Members) error {
	_, _, err := c.members[id].Propose(c.now, MembersChange, [][]byte{EncodeMembers(m)})
	c.carryOutEffects(id)
	return err
}

// setBlocked blocks or opens the links from and to a name.
func (c *cluster) setBlocked(name string, from, to bool) {
	for _, id := range c.ids() {
		c.blocked[[2]string{name, Name(id)}] = from
		c.blocked[[2]string{Name(id), name}] = to
	}
}

package agreement

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against lost or changed committed entries, two leaders in one term and stale reads under random delivery,
// message loss, duplication, crashes, partitions, compaction and membership changes.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 4, 5}).Draw(t, "n")
		c := newCluster(t, n, rapid.Int64().Draw(t, "seed"))
		c.run(4 * time.Second)
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for i := range steps {
			id := rapid.SampledFrom(c.ids()).Draw(t, "id")
			c.randomStep(id, uint64(i), rapid.IntRange(0, 15).Draw(t, "step"))
		}
		clear(c.blocked)
		for _, id := range c.ids() {
			if c.members[id] == nil {
				c.start(id)
			}
		}
		c.run(10 * time.Second)
		before := len(c.committed)
		if l := c.leader(); l == "" || c.propose(l, "last") != nil {
			t.Fatalf("after the faults ended: got no leader that accepts a proposal")
		}
		c.run(time.Second)
		if len(c.committed) <= before {
			t.Fatal("after the faults ended: got no commit")
		}
	})
}

// randomStep does what action selects, such as a crash of the replica, a proposal, a partition or a membership change.
func (c *cluster) randomStep(id string, i uint64, action int) {
	r := c.members[id]
	if r == nil {
		c.start(id)
		return
	}
	switch action {
	case 0:
		delete(c.members, id)
	case 1, 2, 3:
		_ = c.propose(id, fmt.Sprint(i))
	case 4:
		c.read(id, i)
	case 5:
		name := Name(id)
		c.setBlocked(name, c.random.Intn(2) == 0, c.random.Intn(2) == 0)
	case 6:
		c.setBlocked(Name(id), false, false)
	case 7:
		if s, ok := r.SnapshotAt(r.Status().Applied); ok && s.Index > c.stores[id].snapshot.Index {
			st := c.stores[id]
			st.entries = st.entries[s.Index-st.snapshot.Index:]
			st.snapshot = s
			r.Compact(s.Index)
		}
	case 8:
		m := r.Status().Members
		other := c.ids()[c.random.Intn(len(c.stores))]
		switch {
		case slices.Contains(m.Voters, other) && len(m.Learners) > 0 && c.random.Intn(2) == 0:
			m = m.Replace(other, m.Learners[c.random.Intn(len(m.Learners))])
		case slices.Contains(m.Voters, other):
			m = m.Without(other)
		default:
			m = m.With(other, !slices.Contains(m.Learners, other))
		}
		_ = c.change(id, m)
	case 9:
		if len(c.network) > 0 {
			c.network = append(c.network, c.network[c.random.Intn(len(c.network))])
		}
	case 10, 11:
		c.tick(time.Duration(c.random.Intn(800)) * time.Millisecond)
	default:
		for n := c.random.Intn(20); n > 0 && len(c.network) > 0; n-- {
			c.deliver(c.random.Intn(len(c.network)))
		}
	}
}

// faults holds, by name, a function that causes a fault, given the leader l and the followers f and g, and the number of commands
// that must be committed in the end.
var faults = map[string]struct {
	fault func(c *cluster, l, f, g string)
	want  int
}{
	"leader lost before commit": {func(c *cluster, l, _, _ string) {
		c.setBlocked(Name(l), true, true)
		_ = c.propose(l, "x")
		c.run(5 * time.Second)
		c.setBlocked(Name(l), false, false)
	}, 0},
	"leader lost after commit": {func(c *cluster, l, _, _ string) {
		_ = c.propose(l, "x")
		c.run(200 * time.Millisecond)
		delete(c.members, l)
	}, 1},
	"crash of all": {func(c *cluster, l, f, g string) {
		_ = c.propose(l, "x")
		c.run(200 * time.Millisecond)
		for _, id := range []string{l, f, g} {
			c.start(id)
		}
	}, 1},
	"leader hears nothing": {func(c *cluster, l, _, _ string) {
		c.setBlocked(Name(l), false, true)
		_ = c.propose(l, "x")
		c.run(3 * time.Second)
		if c.members[l].Status().Role == Leader {
			c.t.Error("got a leader 3 s after the last answer that it received, want it to step down")
		}
		c.setBlocked(Name(l), false, false)
	}, 1},
	"stale leader": {func(c *cluster, l, _, _ string) {
		c.setBlocked(Name(l), true, true)
		_ = c.propose(l, "x")
		c.read(l, 7)
		c.run(5 * time.Second)
		_ = c.propose(c.leader(), "y")
		c.run(time.Second)
		if c.confirmedReads[7] || c.leader() == l {
			c.t.Error("got a read confirmed by a partitioned leader, or that leader still in the highest term")
		}
		c.setBlocked(Name(l), false, false)
	}, 1},
	"returning follower does not disturb": {func(c *cluster, l, f, _ string) {
		c.setBlocked(Name(f), true, true)
		c.run(20 * time.Second)
		term := c.members[l].Status().Term
		c.setBlocked(Name(f), false, false)
		c.run(3 * time.Second)
		if got := c.members[l].Status().Term; got != term || c.leader() != l {
			c.t.Errorf("got term %d with leader %s, want term %d with leader %s", got, c.leader(), term, l)
		}
	}, 0},
	"lost disk returns": {func(c *cluster, l, f, _ string) {
		id := c.replaceDisk(f)
		c.run(5 * time.Second)
		m := c.members[l].Status().Members
		if got := c.members[id].Status().Role; got != Waiting || m.Has(id) {
			c.t.Errorf("got role %v, want waiting and not a member", got)
		}
		_ = c.propose(l, "x")
	}, 1},
}

// Guards against lost commands and diverging replicas after each single fault. Each case starts with three founded replicas
// and a leader, and ends with a given number of commands committed on every running member.
func TestFaults(t *testing.T) {
	for name, k := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			c.run(4 * time.Second)
			l := c.leader()
			others := slices.DeleteFunc(c.ids(), func(s string) bool { return s == l })
			k.fault(c, l, others[0], others[1])
			c.run(5 * time.Second)
			got := 0
			for _, e := range c.committed {
				if e.Kind == Command {
					got++
				}
			}
			if got != k.want {
				t.Errorf("committed commands: got %d, want %d", got, k.want)
			}
			for id, r := range c.members {
				if s := r.Status(); s.Role != Waiting && s.Commit != c.highestCommit {
					t.Errorf("%s: got commit %d, want %d", id, s.Commit, c.highestCommit)
				}
			}
		})
	}
}

// replaceDisk restarts a replica with an empty disk and returns its new identity.
func (c *cluster) replaceDisk(id string) string {
	delete(c.members, id)
	delete(c.stores, id)
	id = Name(id) + "/2"
	c.stores[id] = &store{}
	c.start(id)
	return id
}

// Guards against a founder that loses its disk at any step of the founding and then founds a second group.
func TestFounding(t *testing.T) {
	for i := range 600 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			c := newCluster(t, 3, int64(i))
			for range i % 12 {
				if len(c.network) == 0 {
					c.tick(100 * time.Millisecond)
				}
				c.deliver(0)
			}
			c.tick(100 * time.Millisecond)
			c.replaceDisk("a/1")
			for n := 0; n < 30; n++ {
				c.tick(20 * time.Millisecond)
				if len(c.network) > 0 {
					c.deliver(c.random.Intn(len(c.network)))
				}
			}
			c.run(8 * time.Second)
			sets := map[string]bool{}
			for _, r := range c.members {
				if s := r.Status(); s.Role != Waiting {
					sets[fmt.Sprint(s.Members.Voters)] = true
				}
			}
			if len(sets) > 1 {
				t.Fatalf("founded member sets: got %v, want at most one", sets)
			}
		})
	}
}

// Guards against membership changes that could lose a majority or a committed entry.
func TestMembersRefusals(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.run(4 * time.Second)
	l := c.leader()
	m := c.members[l].Status().Members
	cases := map[string]struct {
		to   Members
		want string
	}{
		"two voters":  {Members{Voters: []string{l}}, "agreement: membership change refused: more than one voter would change"},
		"no voters":   {Members{}, "agreement: membership change refused: no voter would remain"},
		"stranger":    {m.With("z/1", false), "agreement: membership change refused: z/1 must be a learner first"},
		"not learner": {Members{Voters: []string{"b", "a"}}, "agreement: membership change refused: lists must be sorted and without duplicates"},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			err := c.change(l, k.to)
			var e *MembersError
			if !errors.As(err, &e) || err.Error() != k.want {
				t.Errorf("got %v, want %s", err, k.want)
			}
		})
	}
	if err := c.change(l, m.With("z/1", true)); err != nil {
		t.Fatalf("add a learner: %v", err)
	}
	c.run(time.Second)
	var lag *LagError
	if err := c.change(l, m.With("z/1", false)); !errors.As(err, &lag) {
		t.Errorf("promote a learner that never answered: got %v, want *LagError", err)
	}
}

// Guards against a group that never elects a leader again: a leader removes itself and stops before the only other voter has
// the entry, so that only the removed leader's log can win an election.
func TestRemovedLeaderStops(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.run(4 * time.Second)
	l := c.leader()
	c.setBlocked(Name(l), true, true)
	if err := c.change(l, c.members[l].Status().Members.Without(l)); err != nil {
		t.Fatalf("remove: %v", err)
	}
	c.run(100 * time.Millisecond)
	c.setBlocked(Name(l), false, false)
	c.start(l)
	c.run(10 * time.Second)
	if got := c.leader(); got == "" || got == l {
		t.Fatalf("leader: got %q, want the remaining voter", got)
	}
}

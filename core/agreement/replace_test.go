package agreement

import (
	"slices"
	"testing"
	"time"
)

const (
	testCatchUp = 4 * time.Second // time after which a successor must have replaced the lost voter
	testLosses  = 2               // voters that may be lost after that time
)

// maintain carries out planned changes of the member set, as the leader of a mesh does, for the given time.
func (c *cluster) maintain(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.run(100 * time.Millisecond) {
		l := c.leader()
		if l == "" {
			continue
		}
		st := c.members[l].Status()
		if change, ok := NextChange(c.now, st, c.running(), 2*testLosses+1); ok {
			_ = c.change(l, applyChange(st.Members, change))
		}
	}
}

// running returns the identities of the running replicas.
func (c *cluster) running() []string {
	return slices.DeleteFunc(c.ids(), func(id string) bool { return c.members[id] == nil })
}

// lose removes a replica and its disk for good.
func (c *cluster) lose(id string) {
	delete(c.members, id)
	delete(c.stores, id)
}

// join starts a replica with an empty disk.
func (c *cluster) join(id string) {
	c.stores[id] = &store{}
	c.start(id)
}

// bearable returns how many more running voters may be lost while the rest is a majority; below 0, there is no majority.
func (c *cluster) bearable() int {
	l := c.leader()
	if l == "" {
		return -1
	}
	voters := c.members[l].Status().Members.Voters
	running := 0
	for _, id := range voters {
		if c.members[id] != nil {
			running++
		}
	}
	return running - len(voters)/2 - 1
}

// Guards against a voter that is never replaced because it was lost before the present leader's term: the group then loses its
// majority with the next losses that it must bear.
func TestVoterLostBeforeTheTermIsReplaced(t *testing.T) {
	for seed := range int64(20) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.lose(c.leader())
		c.join("f/1")
		c.maintain(testCatchUp)
		if got := c.bearable(); got < testLosses {
			t.Fatalf("seed %d: %s after the successor's start: got %d losses that the group bears, want %d", seed, testCatchUp, got, testLosses)
		}
	}
}

// Guards against a lost voter that is never replaced while leaders follow one another sooner than a voter counts as silent.
func TestVoterIsReplacedDespiteElections(t *testing.T) {
	const term = voterTimeout - 500*time.Millisecond
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		former := c.leader()
		c.lose(slices.DeleteFunc(c.running(), func(id string) bool { return id == former })[0])
		c.join("f/1")
		for range 6 {
			c.maintain(term)
			former = c.leader()
			c.setBlocked(Name(former), true, true)
			c.awaitOtherLeader(former)
			c.setBlocked(Name(former), false, false)
		}
		if got := c.bearable(); got < testLosses {
			t.Fatalf("seed %d: after six terms of %s: got %d losses that the group bears, want %d", seed, term, got, testLosses)
		}
	}
}

// awaitOtherLeader runs the cluster until another replica than the named one leads.
func (c *cluster) awaitOtherLeader(former string) {
	for range 100 {
		if l := c.leader(); l != "" && l != former {
			return
		}
		c.run(50 * time.Millisecond)
	}
}

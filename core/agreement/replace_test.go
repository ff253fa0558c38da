package agreement

import (
	"maps"
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
		if l := c.leader(); l != "" {
			c.planChange(l)
		}
	}
}

// planChange proposes the change of the member set that is due on the leader, if any.
func (c *cluster) planChange(leader string) { c.planChangeWithin(leader, testCatchUp) }

// planChangeWithin is planChange for a time in which a successor must have replaced a lost voter.
func (c *cluster) planChangeWithin(leader string, catchUp time.Duration) {
	st := c.members[leader].Status()
	target := Target{Announced: c.announced(), Voters: 2*testLosses + 1, CatchUp: catchUp}
	if change, ok := NextChange(c.now, st, target); ok {
		_ = c.change(leader, change.Apply(st.Members))
	}
}

// running returns the identities of the running replicas.
func (c *cluster) running() []string {
	return slices.DeleteFunc(c.ids(), func(id string) bool { return c.members[id] == nil })
}

// announced returns the newest identity of each name, also of lost replicas: their leases have not expired yet.
func (c *cluster) announced() []string {
	newest := map[string]string{}
	for _, id := range slices.Sorted(slices.Values(slices.Concat(c.lost, c.ids()))) {
		newest[Name(id)] = id
	}
	return slices.Collect(maps.Values(newest))
}

// lose removes a replica and its disk for good.
func (c *cluster) lose(id string) {
	c.lost = append(c.lost, id)
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
	return c.members[l].Status().Members.margin(func(id string) bool { return c.members[id] != nil })
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
	const term = time.Second // shorter than the silence after which a voter counts as lost
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

// Guards against a replacement that passes through a group which bears fewer losses: the replaced voter is alive, only silent.
func TestReplacementKeepsLosses(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.join("f/1")
		c.maintain(time.Second)
		l := c.leader()
		out := difference(c.members[l].Status().Members.Voters, []string{l})[0]
		if err := c.change(l, c.members[l].Status().Members.Replace(out, "f/1")); err != nil {
			t.Fatalf("seed %d: replace %s: %v", seed, out, err)
		}
		joint := c.members[l].Status().Members.Joint()
		for range 20 {
			if got := c.bearable(); got < testLosses {
				t.Fatalf("seed %d: during the replacement: got %d losses that the group bears, want %d", seed, got, testLosses)
			}
			c.tick(5 * time.Millisecond)
			for n := len(c.network); n > 0; n-- {
				c.deliver(0)
			}
		}
		m := c.members[l].Status().Members
		if !joint || m.Joint() || slices.Contains(m.Voters, out) || !slices.Contains(m.Voters, "f/1") {
			t.Fatalf("seed %d: got joint %v first, then %+v, want f/1 in place of %s", seed, joint, m, out)
		}
	}
}

// Guards against a replacement that stays half done, or is undone, when the leader is lost between its two steps.
func TestReplacementOutlivesItsLeader(t *testing.T) {
	for seed := range int64(20) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.join("f/1")
		c.maintain(time.Second)
		l := c.leader()
		out := difference(c.members[l].Status().Members.Voters, []string{l})[0]
		if err := c.change(l, c.members[l].Status().Members.Replace(out, "f/1")); err != nil {
			t.Fatalf("seed %d: replace %s: %v", seed, out, err)
		}
		for range c.random.Intn(len(c.network) + 1) {
			c.deliver(0)
		}
		delete(c.members, l)
		c.run(6 * time.Second)
		next := c.leader()
		if next == "" || next == l {
			t.Fatalf("seed %d: got leader %q, want another one than %s", seed, next, l)
		}
		if m := c.members[next].Status().Members; m.Joint() {
			t.Fatalf("seed %d: got the joint set %+v, want a settled one", seed, m)
		}
	}
}

// Guards against a learner that never replaces a lost voter under a steady load, because it lacks the newest entries at each check:
// its disk is slower than the interval between two proposals.
func TestLearnerUnderLoadIsPromoted(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.lose(c.leader())
		c.join("f/1")
		const step = 20 * time.Millisecond
		var late []Message // answers of the learner that are on their way
		for elapsed := time.Duration(0); elapsed < testCatchUp; elapsed += step {
			c.tick(step)
			if l := c.leader(); l != "" {
				_ = c.propose(l, "load")
				c.planChange(l)
			}
			arriving := len(late)
			c.network, late = append(late, c.network...), nil
			for ; arriving > 0; arriving-- {
				c.deliver(0)
			}
			for n := len(c.network); n > 0; n-- {
				if m := c.network[0]; m.From == "f/1" && m.Kind == AppendAnswer {
					late, c.network = append(late, m), c.network[1:]
					continue
				}
				c.deliver(0)
			}
		}
		if got := c.bearable(); got < testLosses {
			t.Fatalf("seed %d: %s after the successor's start: got %d losses that the group bears, want %d", seed, testCatchUp, got, testLosses)
		}
	}
}

// Guards against a lost host that joins again as a learner as soon as it is replaced, because its lease lasts longer.
func TestReplacedHostDoesNotJoinAgain(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		lost := c.leader()
		c.lose(lost)
		for _, id := range c.running() {
			c.start(id) // no replica remembers when it heard the lost one
		}
		c.join("f/1")
		c.maintain(testCatchUp)
		m := c.members[c.leader()].Status().Members
		if slices.Contains(m.Voters, lost) || slices.Contains(m.Learners, lost) {
			t.Fatalf("seed %d: got %+v, want %s to be no member", seed, m, lost)
		}
	}
}

// Guards against a learner that was away, lost its membership, and is never taken back while the same leader leads: the next lost voter
// then has no successor.
func TestRemovedLearnerReturns(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.join("f/1")
		c.maintain(time.Second)
		l, disk := c.leader(), c.stores["f/1"]
		delete(c.members, "f/1")
		delete(c.stores, "f/1") // its lease expires, so it is not announced either
		c.maintain(learnerTimeout + time.Second)
		if m := c.members[l].Status().Members; m.Has("f/1") {
			t.Fatalf("seed %d: got members %+v, want the silent learner removed", seed, m)
		}
		c.stores["f/1"] = disk
		c.start("f/1")
		c.maintain(testCatchUp)
		if m := c.members[l].Status().Members; !slices.Contains(m.Learners, "f/1") {
			t.Fatalf("seed %d: %s after its return: got members %+v, want f/1 as a learner", seed, testCatchUp, m)
		}
	}
}

// Guards against a voter that is never replaced because it campaigns: it receives nothing, so it answers nothing, but what it sends
// arrives. The silence limit is as long as its longest wait between two campaigns.
func TestVoterThatHearsNothingIsReplaced(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.join("f/1")
		c.maintain(time.Second)
		l := c.leader()
		deaf := difference(c.members[l].Status().Members.Voters, []string{l})[0]
		c.setBlocked(Name(deaf), false, true)
		for end := c.now.Add(DefaultCatchUp); c.now.Before(end); c.run(100 * time.Millisecond) {
			c.planChangeWithin(l, DefaultCatchUp)
		}
		if m := c.members[l].Status().Members; slices.Contains(m.Voters, deaf) {
			t.Fatalf("seed %d: %s after %s received its last message: got members %+v, want it replaced", seed, DefaultCatchUp, deaf, m)
		}
	}
}

// Guards against a running replica that never becomes a member again: it was cut off before it learned that it is a voter, so it does
// not campaign when it returns, and the leader that removed it takes it for lost.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.join("f/1")
		c.maintain(time.Second)
		l := c.leader()
		c.setBlocked("f", true, true)
		out := difference(c.members[l].Status().Members.Voters, []string{l})[0]
		if err := c.change(l, c.members[l].Status().Members.Replace(out, "f/1")); err != nil {
			t.Fatalf("seed %d: replace %s: %v", seed, out, err)
		}
		c.maintain(testCatchUp)
		if c.members[l].Status().Members.IsVoter("f/1") {
			t.Fatalf("seed %d: f/1 is still a voter %s after it was cut off", seed, testCatchUp)
		}
		c.setBlocked("f", false, false)
		c.maintain(testCatchUp)
		if m := c.members[c.leader()].Status().Members; !m.Has("f/1") {
			t.Fatalf("seed %d: got members %+v %s after f/1 returned, want f/1 among them", seed, m, testCatchUp)
		}
	}
}

// Guards against a voter that is never replaced because it does not know that it is one: a learner that receives nothing from its
// promotion on goes on showing that it runs.
func TestPromotedLearnerThatHearsNothingIsReplaced(t *testing.T) {
	for seed := range int64(10) {
		c := newCluster(t, 5, seed)
		c.run(4 * time.Second)
		c.join("f/1")
		c.maintain(time.Second)
		c.join("g/1")
		c.maintain(time.Second)
		l := c.leader()
		out := difference(c.members[l].Status().Members.Voters, []string{l})[0]
		c.setBlocked("f", false, true)
		if err := c.change(l, c.members[l].Status().Members.Replace(out, "f/1")); err != nil {
			t.Fatalf("seed %d: replace %s: %v", seed, out, err)
		}
		for end := c.now.Add(DefaultCatchUp); c.now.Before(end); c.run(100 * time.Millisecond) {
			c.planChangeWithin(l, DefaultCatchUp)
		}
		if m := c.members[l].Status().Members; slices.Contains(m.Voters, "f/1") {
			t.Fatalf("seed %d: %s after f/1 received its last message: got members %+v, want it replaced", seed, DefaultCatchUp, m)
		}
	}
}

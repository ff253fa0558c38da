package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/agreement"
)

// carriesSettled reports whether a message carries the member set that follows a replacement: without outgoing voters, and with id as a
// voter.
func carriesSettled(m agreement.Message, id string) bool {
	for _, e := range m.Entries {
		if e.Kind != agreement.MembersChange {
			continue
		}
		if set, err := agreement.DecodeMembers(e.Data); err == nil && !set.Joint() && set.Has(id) && !isLearner(set, id) {
			return true
		}
	}
	return false
}

func isLearner(m agreement.Members, id string) bool {
	for _, l := range m.Learners {
		if l == id {
			return true
		}
	}
	return false
}

// Guards against a replacement that is answered while only the leader holds the member set without the outgoing voter: if the leader is
// lost then, the others still need a majority of the old voters, of which one has lost its disk, and elect nobody.
func TestReplacementAnsweredOnceSettled(t *testing.T) {
	var withheld atomic.Pointer[string] // identity of the new voter while its set is kept back
	// Syncs may take half a second beside other work, so the usual election timeout of the tests would change the leader.
	g := newGroup(t, threeNames, WithElection(1500*time.Millisecond, 20*time.Millisecond))
	keep := func(m agreement.Message) bool {
		id := withheld.Load()
		return id != nil && carriesSettled(m, *id)
	}
	g.mu.Lock()
	g.drop = keep
	g.mu.Unlock()
	l := g.leader()
	g.propose(l, 5)
	lost := threeNames[0]
	if agreement.Name(l.ID()) == lost {
		lost = threeNames[1]
	}
	_ = g.members[lost].Close()
	n := g.start(lost, t.TempDir())
	if err := l.AddLearner(t.Context(), n.ID()); err != nil {
		t.Fatalf("AddLearner: %v", err)
	}
	g.await("the learner has caught up", func() bool { return g.states[lost].Load() == 5 })
	id := n.ID()
	withheld.Store(&id)
	answered := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := l.Promote(ctx, id)
		for ; err != nil && ctx.Err() == nil; err = l.Promote(ctx, id) { // the leader may not know yet that the learner has caught up
			time.Sleep(10 * time.Millisecond)
		}
		answered <- err
	}()
	g.await("the joint set is committed", func() bool { return l.Status().Members.Has(id) && !isLearner(l.Status().Members, id) })
	select {
	case err := <-answered:
		t.Fatalf("promotion while nobody else holds the new set: got it answered with %v, want it to wait", err)
	case <-time.After(100 * time.Millisecond):
	}
	withheld.Store(nil)
	if err := <-answered; err != nil {
		t.Fatalf("promotion once the new set is committed: got %v, want no error", err)
	}
	_ = l.Close()
	if got, want := g.propose(g.leader(), 1), uint64(6); got != want {
		t.Errorf("version after the loss of the leader: got %d, want %d", got, want)
	}
}

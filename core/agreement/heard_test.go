package agreement

import (
	"testing"
	"time"
)

// Guards against a follower that, once it leads, takes a member for silent that its leader has heard, or for alive that its leader has not.
func TestHeartbeatsTellSilences(t *testing.T) {
	r := newLoaded(t)
	heartbeat := Message{Kind: Heartbeat, From: "b/1", To: "a/1", Term: 3}
	heartbeat.Silences = []Silence{{ID: "c/1", Age: 3 * time.Second}}
	r.Step(at(5*time.Second), heartbeat)
	if got, want := r.Status().Heard["c/1"], at(2*time.Second); !got.Equal(want) {
		t.Errorf("a member that the leader has not heard for 3 s was last heard at %v, want %v", got, want)
	}
	heartbeat.Silences = nil
	r.Step(at(6*time.Second), heartbeat)
	if got, want := r.Status().Heard["c/1"], at(6*time.Second); !got.Equal(want) {
		t.Errorf("a member that the leader hears was last heard at %v, want %v", got, want)
	}
}

// Guards against a new leader that replaces a voter before it has listened: the leader before it may have been the one cut off.
func TestNewLeaderListens(t *testing.T) {
	target := Target{Announced: []string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1"}, Voters: 5, CatchUp: testCatchUp}
	listening := target.silence() / listenDivisor
	for _, c := range []struct {
		led  time.Duration
		want bool
	}{{listening - time.Millisecond, false}, {listening, true}} {
		s := planStatus("a/1", "b/1!", "c/1", "d/1", "e/1", "f/1+")
		s.LeaderSince = planStart.Add(-c.led)
		if change, got := NextChange(planStart, s, target); got != c.want {
			t.Errorf("%s after the election: got change %+v (%v), want one: %v", c.led, change, got, c.want)
		}
	}
}

// Guards against a leader that keeps the silence of a member to itself: followers hear nothing of each other, so after the next election
// the silence would begin anew.
func TestNextLeaderKnowsSilence(t *testing.T) {
	c := newCluster(t, 5, 1)
	c.run(4 * time.Second)
	former := c.leader()
	lost := difference(c.running(), []string{former})[0]
	c.lose(lost)
	at := c.now
	c.run(3 * time.Second)
	delete(c.members, former)
	c.awaitOtherLeader(former)
	heard := c.members[c.leader()].Status().Heard[lost]
	if late := heard.Sub(at); late > defaultElectionTimeout {
		t.Errorf("the next leader takes %s for alive until %s after its loss, want at most %s", lost, late, defaultElectionTimeout)
	}
}

package peer

import (
	"testing"
	"time"
)

// Guards against a restarted node that learns the leader but waits before it reads the floor, and refuses calls until then.
func TestLeaderEndsThePauseBeforeProving(t *testing.T) {
	const long, short = 2 * time.Second, 20 * time.Millisecond
	tests := []struct {
		name    string
		leaders []string
		pause   time.Duration
		early   bool
	}{
		{"a leader is known", []string{"a"}, long, true},
		{"another leader is known", []string{"a", "b"}, long, true},
		{"no leader is known", []string{""}, short, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := &Follower{leaderChanged: make(chan struct{}, 1)}
			for _, n := range c.leaders {
				f.recordLeader(n)
			}
			began := time.Now()
			f.waitForLeaderChange(t.Context(), c.pause)
			if got := time.Since(began) < c.pause; got != c.early {
				t.Errorf("pause ended early: got %v, want %v", got, c.early)
			}
		})
	}
	f := &Follower{leaderChanged: make(chan struct{}, 1), leader: "a"}
	f.recordLeader("a")
	if len(f.leaderChanged) != 0 {
		t.Error("the same leader again: got a signal, want none")
	}
}

package agreement

import (
	"testing"
	"time"
)

// Load pattern: all replicas lose power at once. Guards against a group that waits a whole election timeout although no leader
// can be alive, and against early campaigns beside a leader that was heard.
func TestCampaignAfterStart(t *testing.T) {
	tests := []struct {
		name  string
		heard bool
		least time.Duration // before the first campaign
		most  time.Duration
	}{
		{"no leader known since the start", false, defaultHeartbeat, defaultElection / 3},
		{"a leader was heard", true, defaultElection, 2 * defaultElection},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for _, share := range []float64{0, 0.5, 0.99} {
				r, err := New(WithID("a/1"), WithLog(State{Term: 2}, Snapshot{Index: 1, Term: 1, Members: trio}, nil),
					WithRandom(func(d time.Duration) time.Duration { return time.Duration(share * float64(d)) }))
				if err != nil {
					t.Fatal(err)
				}
				r.Tick(at(0))
				if c.heard {
					r.Step(at(0), Message{Kind: Heartbeat, From: "b/1", To: "a/1", Term: 2})
				}
				var got time.Duration
				for r.Status().Role == Follower {
					got += time.Millisecond
					r.Tick(at(got))
				}
				if got < c.least || got > c.most {
					t.Errorf("first campaign with %v of the random part: got %v, want %v to %v", share, got, c.least, c.most)
				}
			}
		})
	}
}

// Load pattern: all replicas lose power at once, again and again. Guards against early campaigns that keep splitting the votes.
func TestGroupReturnsSoon(t *testing.T) {
	const within = defaultElection
	for seed := range int64(50) {
		c := newCluster(t, 5, seed)
		c.run(10 * time.Second)
		if c.leader() == "" {
			t.Fatalf("seed %d: no leader to begin with", seed)
		}
		for _, id := range c.ids() {
			c.start(id)
		}
		c.network = nil
		c.run(within)
		if c.leader() == "" {
			t.Errorf("seed %d: no leader %v after all replicas restarted", seed, within)
		}
	}
}

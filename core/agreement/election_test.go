package agreement

import (
	"testing"
	"time"
)

// Load pattern: all replicas lose power at once. Guards against a group that waits a whole election timeout although no leader
// can be alive, and against early campaigns after a leader was heard.
func TestCampaignAfterStart(t *testing.T) {
	tests := []struct {
		name  string
		heard bool
		least time.Duration // minimum time until the first campaign
		most  time.Duration // maximum time until the first campaign
	}{
		{"no leader known since the start", false, defaultHeartbeatInterval, defaultElectionTimeout / 3},
		{"a leader was heard", true, defaultElectionTimeout, 2 * defaultElectionTimeout},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for _, share := range []float64{0, 0.5, 0.99} {
				r, err := New(WithID("a/1"), WithLog(HardState{Term: 2}, Snapshot{Index: 1, Term: 1, Members: threeVoters}, nil),
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
	const within = defaultElectionTimeout
	for seed := range int64(50) {
		c := newCluster(t, 5, seed)
		c.run(10 * time.Second)
		if c.leader() == "" {
			t.Fatalf("seed %d: got no leader 10 s after the first start", seed)
		}
		for _, id := range c.ids() {
			c.start(id)
		}
		c.network = nil
		c.run(within)
		if c.leader() == "" {
			t.Errorf("seed %d: got no leader within %v after all replicas restarted", seed, within)
		}
	}
}

// runUntilLeader advances time until there is a leader, for at most the time limit. The replicas tick at staggered times, and
// each message is delivered after transit.
func (c *cluster) runUntilLeader(limit, tick, transit time.Duration) {
	const step = 5 * time.Millisecond
	var sent []time.Duration // time since the start at which each message in c.network was sent
	for elapsed := time.Duration(0); elapsed < limit && c.leader() == ""; elapsed += step {
		c.now = c.now.Add(step)
		for i, id := range c.ids() {
			if (elapsed+time.Duration(i)*step)%tick == 0 {
				c.members[id].Tick(c.now)
				c.carryOutEffects(id)
			}
		}
		for len(sent) < len(c.network) {
			sent = append(sent, elapsed)
		}
		for len(sent) > 0 && sent[0]+transit <= elapsed {
			sent = sent[1:]
			c.deliver(0)
		}
	}
}

// Load pattern: all replicas lose power at once and start within a few milliseconds. Guards against replicas that campaign at
// the same time, split the votes, and retry at the same time, while every node waits for a leader to prove its version.
func TestFirstElectionAfterPowerLoss(t *testing.T) {
	const election, heartbeat = 600 * time.Millisecond, 100 * time.Millisecond
	const within = election / 2
	const seeds = 100
	tests := []struct {
		name          string
		tick, transit time.Duration // time between ticks; delay of a message, including the sync of a vote
	}{
		{"short ticks", 5 * time.Millisecond, 10 * time.Millisecond},
		{"long ticks", 25 * time.Millisecond, 10 * time.Millisecond},
		{"slow links", 5 * time.Millisecond, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			slowest, total := time.Duration(0), time.Duration(0)
			for seed := range int64(seeds) {
				c := newCluster(t, 5, seed)
				c.run(10 * time.Second)
				c.options = []Option{WithElectionTimeout(election), WithHeartbeatInterval(heartbeat)}
				for _, id := range c.ids() {
					c.start(id)
				}
				c.network = nil
				began := c.now
				c.runUntilLeader(10*election, tt.tick, tt.transit)
				took := c.now.Sub(began)
				slowest, total = max(slowest, took), total+took
			}
			t.Logf("a leader after %s on average, %s at most", total/seeds, slowest)
			if slowest > within {
				t.Errorf("slowest of %d: got a leader after %s, want %s at most", seeds, slowest, within)
			}
		})
	}
}

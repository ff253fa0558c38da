package quota

import (
	"testing"
	"time"
)

const second = time.Second

// Guards against refusals below the quota, requests above the bound, unused quota while callers wait, and a message for each request.
func TestSteadyDemand(t *testing.T) {
	for _, c := range []struct {
		name     string
		limit    Limit
		demand   float64
		nodes    int
		used     float64 // least part of the quota
		refused  float64 // largest part of the requests that one bucket at a single place would not refuse
		asksRate float64 // largest number of requests to the coordinator per second
	}{
		{"below the quota, all nodes", Limit{100, 50}, 62, 65, 0, 0.005, 220},
		{"below the quota, one node", Limit{100, 50}, 62, 1, 0, 0.005, 20},
		{"below the quota, no burst", Limit{100, 0}, 62, 65, 0, 0.03, 220},
		{"close to the quota", Limit{100, 50}, 95, 65, 0, 0.02, 260},
		{"large and close to the quota", Limit{600, 300}, 560, 65, 0, 0.02, 260},
		{"a few requests a second at each node", Limit{100, 50}, 250, 65, 0.95, 1, 260},
		{"far above, all nodes", Limit{100, 50}, 750, 65, 0.95, 1, 260},
		{"far above, three nodes", Limit{100, 50}, 750, 3, 0.95, 1, 100},
		{"far above, one node", Limit{100, 50}, 750, 1, 0.95, 1, 50},
		{"far above, no burst", Limit{100, 0}, 750, 65, 0.95, 1, 260},
		{"large, far above, all nodes", Limit{600, 300}, 4500, 65, 0.95, 1, 300},
		{"large, far above, no burst", Limit{600, 0}, 4500, 65, 0.95, 1, 300},
		{"large, far above, one node without burst", Limit{600, 0}, 4500, 1, 0.95, 1, 50},
		{"tiny, three nodes", Limit{2, 2}, 6, 3, 0.95, 1, 30},
		{"tiny, all nodes", Limit{2, 2}, 20, 65, 0.95, 1, 260},
		{"tiny and below the quota", Limit{2, 2}, 1, 3, 0, 0.05, 10},
		{"less than one a second", Limit{0.5, 1}, 3, 3, 0.95, 1, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			const length = 40 * second
			s := newSim(t, 7, map[string]Limit{"a": c.limit})
			s.demand("a", spread(c.demand, c.nodes))
			s.run(length)
			s.checkBound("a", c.limit, 0)
			s.checkUsed("a", c.limit, 5*second, length, c.used)
			runs, refusals := len(s.runs["a"]), len(s.refusals["a"])
			_, ideal := s.ideal("a", c.limit, 0, length)
			if got := float64(refusals-ideal) / float64(runs+refusals); got > c.refused {
				t.Errorf("refused: got %d of %d requests, %.4f more than the %d of one bucket, want at most %.4f", refusals, runs+refusals, got, ideal, c.refused)
			}
			if got := float64(s.asks) / length.Seconds(); got > c.asksRate {
				t.Errorf("requests to the coordinator: got %.0f per second, want at most %.0f", got, c.asksRate)
			}
			if s.slowest > MaxWait {
				t.Errorf("wait for a verdict: got %v, want at most %v", s.slowest, MaxWait)
			}
		})
	}
}

// moving returns a demand that is all on the first nodes and then all on others.
func moving(total float64, at time.Duration) func(int, time.Duration) float64 {
	return func(node int, now time.Duration) float64 {
		if (node < 8) == (now < at) && node < 16 {
			return total / 8
		}
		return 0
	}
}

// Guards against a bound that is exceeded, or a quota that is not used, when demand or nodes change while the coordinator stays.
func TestChangingDemand(t *testing.T) {
	limit := Limit{100, 50}
	t.Run("demand moves between hosts", func(t *testing.T) {
		s := newSim(t, 3, map[string]Limit{"a": limit})
		s.demand("a", moving(300, 15*second))
		s.run(30 * second)
		s.checkBound("a", limit, 0)
		s.checkUsed("a", limit, 5*second, 14*second, 0.95)
		s.checkUsed("a", limit, 15*second, 17*second, 0.9)
		s.checkUsed("a", limit, 17*second, 30*second, 0.95)
	})
	t.Run("usual demand moves between hosts", func(t *testing.T) {
		s := newSim(t, 4, map[string]Limit{"a": limit})
		s.demand("a", moving(62, 15*second))
		s.run(30 * second)
		s.checkBound("a", limit, 0)
		if got, most := len(s.refusals["a"]), 20; got > most {
			t.Errorf("refusals below the quota: got %d, want at most %d", got, most)
		}
	})
	t.Run("one customer at 7.5 times its usual beside others", func(t *testing.T) {
		others := Limit{40, 20}
		s := newSim(t, 5, map[string]Limit{"a": limit, "b": others, "c": others})
		s.demand("a", func(_ int, at time.Duration) float64 {
			if at < 10*second {
				return 62.0 / simNodes
			}
			return 7.5 * 62 / simNodes
		})
		s.demand("b", spread(25, 6))
		s.demand("c", spread(25, 65))
		s.run(30 * second)
		s.checkBound("a", limit, 0)
		s.checkUsed("a", limit, 11*second, 30*second, 0.95)
		for _, c := range []string{"b", "c"} {
			s.checkBound(c, others, 0)
			_, ideal := s.ideal(c, others, 0, 30*second)
			if got, most := len(s.refusals[c])-ideal, 15; got > most {
				t.Errorf("refusals of %s: got %d more than one bucket, want at most %d", c, got, most)
			}
		}
	})
	t.Run("waves of demand after quiet times", func(t *testing.T) {
		s := newSim(t, 6, map[string]Limit{"a": limit})
		s.demand("a", func(_ int, at time.Duration) float64 {
			if at%(6*second) < 3*second {
				return 0.2
			}
			return 20
		})
		s.run(40 * second)
		s.checkBound("a", limit, 0)
	})
	t.Run("admitted and then refused without running", func(t *testing.T) {
		s := newSim(t, 7, map[string]Limit{"a": limit})
		for _, n := range s.nodes {
			s.arrivals(n, "a", func() bool { return s.random.Float64() < 0.5 }, func(time.Duration) float64 { return 400.0 / simNodes })
		}
		s.run(30 * second)
		s.checkBound("a", limit, 0)
		s.checkUsed("a", limit, 5*second, 30*second, 0.95)
	})
}

// Guards against a lowered limit that nodes or the coordinator go on to exceed, and against state of a customer that is gone.
func TestLimitChanges(t *testing.T) {
	before, after := Limit{100, 50}, Limit{20, 5}
	t.Run("lowered", func(t *testing.T) {
		s := newSim(t, 8, map[string]Limit{"a": before})
		s.demand("a", spread(400, 65))
		s.at(15*second, func() { s.limits["a"] = after })
		s.run(30 * second)
		s.checkBound("a", before, 0)
		s.checkBound("a", after, 17*second)
		s.checkUsed("a", after, 20*second, 30*second, 0.95)
	})
	t.Run("raised", func(t *testing.T) {
		s := newSim(t, 8, map[string]Limit{"a": after})
		s.demand("a", spread(400, 65))
		s.at(15*second, func() { s.limits["a"] = before })
		s.run(30 * second)
		s.checkUsed("a", before, 17*second, 30*second, 0.95)
		s.checkBound("a", before, 0)
	})
	t.Run("withdrawn", func(t *testing.T) {
		s := newSim(t, 9, map[string]Limit{"a": before})
		s.demand("a", func(_ int, at time.Duration) float64 {
			if at > 10*second {
				return 0
			}
			return 2
		})
		s.at(10*second, func() { delete(s.limits, "a") })
		s.run(40 * second)
		if got := len(s.replicas[0].coordinator.buckets); got != 0 {
			t.Errorf("buckets: got %d, want 0", got)
		}
		for _, n := range s.nodes {
			if got := len(n.local.accounts); got != 0 {
				t.Fatalf("accounts at a node: got %d, want 0", got)
			}
		}
	})
}

// Guards against a request of a quiet customer that is refused, or that waits longer than one round trip, while its quota is free.
func TestQuietNode(t *testing.T) {
	limit := Limit{2, 2}
	s := newSim(t, 10, map[string]Limit{"a": limit})
	for i := range 20 {
		s.at(time.Duration(5+3*i)*second, func() { s.request(s.nodes[i*3], "a", nil) })
	}
	s.run(70 * second)
	if got := len(s.runs["a"]); got != 20 {
		t.Errorf("served: got %d, want 20", got)
	}
	if most := 30 * time.Millisecond; s.slowest > most {
		t.Errorf("wait: got %v, want at most %v", s.slowest, most)
	}
}

// Guards against refused callers that return together, or before there is room.
func TestRetryAfter(t *testing.T) {
	limit := Limit{20, 5}
	s := newSim(t, 11, map[string]Limit{"a": limit})
	s.demand("a", func(node int, at time.Duration) float64 {
		if node > 2 || at > 10*second && at < 10500*time.Millisecond || at > 11*second {
			return 0
		}
		return 30.0 / 3
	})
	s.run(12 * second)
	distinct := map[int64]int{}
	for _, d := range s.returns {
		if d < minRetryAfter || d > maxRetryAfter {
			t.Fatalf("Retry-After: got %v, want %v to %v", d, minRetryAfter, maxRetryAfter)
		}
		distinct[d.Milliseconds()/10]++
	}
	for at, n := range distinct {
		if n > len(s.returns)/10 {
			t.Errorf("Retry-After of about %d ms: got %d of %d, want them spread", at*10, n, len(s.returns))
		}
	}
	if len(s.returns) < 50 {
		t.Errorf("refusals: got %d, want at least 50", len(s.returns))
	}
}

// Guards against a Retry-After that is not true: callers that return when they are told should find room, and not much later than there is.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   Limit
		nodes   int
		burst   int           // requests at one moment
		longest time.Duration // until the last of them is served, over some seeds
	}{
		{"three nodes", Limit{20, 5}, 3, 65, 5 * second},
		{"one node", Limit{20, 5}, 1, 65, 5 * second},
		{"all nodes", Limit{100, 50}, 65, 350, 6 * second},
		{"tiny", Limit{2, 2}, 3, 8, 9 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			returns, again := 0, 0
			var last time.Duration
			for seed := range uint64(12) {
				s := newSim(t, seed, map[string]Limit{"a": c.limit})
				var request func(n *simNode, first bool)
				request = func(n *simNode, first bool) {
					s.play(n, "a", func(v Verdict) {
						if v.Granted {
							last = max(last, s.now.Sub(s.begin)-5*second)
							return
						}
						if first {
							returns++
						} else {
							again++
						}
						s.after(v.RetryAfter, func() { request(n, false) })
					})
				}
				for i := range c.burst {
					s.at(5*second+time.Duration(i)*time.Millisecond/4, func() { request(s.nodes[i%c.nodes], true) })
				}
				s.run(30 * second)
			}
			t.Logf("refused at first %d, refused again %d, last served after %v", returns, again, last)
			if again > returns/3 {
				t.Errorf("returned callers: got %d refused again after %d first refusals, want at most a third", again, returns)
			}
			if last > c.longest {
				t.Errorf("last caller: got served after %v, want at most %v", last, c.longest)
			}
		})
	}
}

// Guards against refusals or unused quota where processes with a small part of a core answer slowly.
func TestSlowMessages(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   Limit
		demand  float64
		used    float64
		refused float64
	}{
		{"below the quota", Limit{100, 50}, 62, 0, 0.02}, // two round trips in a row take longer than a request may wait
		{"far above", Limit{100, 50}, 500, 0.95, 1},
		{"far above, large", Limit{600, 300}, 1500, 0.95, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(t, 13, map[string]Limit{"a": c.limit})
			s.latency = 40 * time.Millisecond
			s.demand("a", spread(c.demand, simNodes))
			s.run(30 * second)
			s.checkBound("a", c.limit, 0)
			s.checkUsed("a", c.limit, 5*second, 30*second, c.used)
			const filled = 2 * second // the bucket is empty when the term begins
			arrived, ideal := s.ideal("a", c.limit, filled, 30*second)
			refusals := count(s.refusals["a"], s.begin.Add(filled), s.now)
			if got := float64(refusals-ideal) / float64(arrived); got > c.refused {
				t.Errorf("refused: got %.4f of the requests more than one bucket, want at most %.4f", got, c.refused)
			}
		})
	}
}

// Guards against a coordinator that grants without bounds to a node with a newer version, or nothing after a quota was removed.
func TestCustomerUnknownToCoordinator(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]Limit{"free": {}}
	c := NewCoordinator(func(customer string) (Limit, bool) {
		l, ok := limits[customer]
		return l, ok
	})
	p := c.Decide(now, Standing{Leads: true, Term: 1, Nodes: 1}, Request{Node: "n", Incarnation: 1, Number: 1, Asks: []Ask{
		{Customer: "new", Waiting: 3, Need: 3, Want: 5}, {Customer: "free", Waiting: 3, Need: 3, Want: 5},
	}})
	if g := p.Grants[0]; g.Tokens != 0 || g.Wait <= 0 {
		t.Errorf("unknown customer: got %+v, want no tokens and a wait", g)
	}
	if g := p.Grants[1]; g.Tokens != 5 || g.Wait != 0 {
		t.Errorf("customer without a quota: got %+v, want all tokens", g)
	}
}

// Load pattern: callers return after refusals, so that a part or all of the requests are late. Guards against a quota that is not used
// because late requests are refused while there are tokens.
func TestLateRequestsUseTheQuota(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  Limit
		demand float64
		nodes  int
		late   float64
	}{
		{"all late", Limit{100, 50}, 250, 65, 1},
		{"most late", Limit{100, 50}, 250, 65, 0.7},
		{"few nodes", Limit{100, 50}, 750, 6, 0.9},
		{"in time below the quota", Limit{100, 50}, 130, 10, 0.5},
		{"no burst", Limit{100, 0}, 250, 65, 0.5},
		{"tiny", Limit{2, 2}, 6, 3, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(t, 3, map[string]Limit{"a": c.limit})
			s.late = c.late
			s.demand("a", spread(c.demand, c.nodes))
			s.run(30 * second)
			s.checkBound("a", c.limit, 0)
			s.checkUsed("a", c.limit, 5*second, 30*second, 0.95)
		})
	}
}

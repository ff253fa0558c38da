package quota

import (
	"testing"
	"time"
)

// failure is a fault that is played during a test.
type failure struct {
	name string
	play func(s *sim)
	from time.Duration // time from which the quota must be used again
}

// failures plays each fault of docs/hard-load.md at 10 s.
func failures() []failure {
	const at = 10 * second
	return []failure{
		{"leader lost, a new one after 1 s", func(s *sim) {
			s.at(at, func() { s.replicas[0].dead, s.replicas[0].leads = true, false })
			s.at(at+second, func() { s.elect(1) })
		}, 17 * second},
		{"leader frozen for 4 s and woken beside a new one", func(s *sim) {
			s.at(at, func() {
				s.replicas[0].frozen = true
				s.replicas[0].confirmed = s.now.Add(-60 * time.Millisecond)
			})
			s.at(at+1200*time.Millisecond, func() { s.elect(1) })
			s.at(at+4*second, func() {
				r := s.replicas[0]
				r.frozen = false
				for _, handle := range r.delayed {
					handle()
				}
			})
			s.at(at+4500*time.Millisecond, func() {
				r := s.replicas[0]
				r.leads, r.leader, r.term = false, "r1", s.replicas[1].term
			})
		}, 17 * second},
		{"half of the nodes partitioned with the old leader", func(s *sim) {
			cut := false
			s.linked = func(n, r int) bool { return !cut || (n%2 == 0) == (r == 0) }
			s.at(at, func() {
				cut = true
				s.replicas[0].confirmed = s.now.Add(-60 * time.Millisecond)
			})
			s.at(at+900*time.Millisecond, func() { s.elect(1) })
			s.at(at+1200*time.Millisecond, func() { s.replicas[0].leads, s.replicas[0].leader = false, "" })
			s.at(at+12*second, func() { cut = false })
		}, 25 * second},
		{"half of the nodes cut off from all replicas", func(s *sim) {
			cut := false
			s.linked = func(n, _ int) bool { return !cut || n%2 == 0 }
			s.at(at, func() { cut = true })
			s.at(at+8*second, func() { cut = false })
		}, 21 * second},
		{"answers to half of the nodes are lost", func(s *sim) {
			cut := false
			s.lost = func(n int) bool { return cut && n%2 == 1 }
			s.at(at, func() { cut = true })
			s.at(at+8*second, func() { cut = false })
		}, 21 * second},
		{"herd restart of 55% of the nodes", func(s *sim) {
			s.at(at, func() {
				for i, n := range s.nodes {
					if i%20 < 11 {
						s.after(time.Duration(s.random.Float64()*float64(second)), func() { s.startNode(n) })
					}
				}
			})
		}, 13 * second},
		{"herd restart while the leader is lost", func(s *sim) {
			s.at(at, func() {
				s.replicas[0].dead, s.replicas[0].leads = true, false
				for i, n := range s.nodes {
					if i%20 < 11 {
						s.after(time.Duration(s.random.Float64()*float64(second)), func() { s.startNode(n) })
					}
				}
			})
			s.at(at+second, func() { s.elect(1) })
		}, 17 * second},
		{"three changes of the leader in a row", func(s *sim) {
			s.at(at, func() { s.elect(1) })
			s.at(at+1500*time.Millisecond, func() { s.elect(2) })
			s.at(at+3*second, func() { s.elect(0) })
		}, 17 * second},
		{"no leader for 10 s", func(s *sim) {
			s.at(at, func() { s.replicas[0].leads = false })
			s.at(at+10*second, func() { s.elect(2) })
		}, 25 * second},
	}
}

// Guards against requests beyond the bound in each failure, with demand far above the quota, around it, and with demand that rises at the
// moment of the failure, and against a quota that is not used again after it.
func TestFailures(t *testing.T) {
	for _, f := range failures() {
		for _, d := range []struct {
			name  string
			limit Limit
			nodes int
			usual float64 // requests per second until the failure
			after float64 // requests per second after it
		}{
			{"far above", Limit{100, 50}, 65, 500, 500},
			{"far above, no burst", Limit{100, 0}, 65, 500, 500},
			{"large", Limit{600, 300}, 65, 1500, 1500},
			{"large, no burst", Limit{600, 0}, 65, 1500, 1500},
			{"rising", Limit{100, 50}, 65, 62, 465},
			{"rising, large, no burst", Limit{600, 0}, 65, 370, 1800},
			{"rising, few nodes", Limit{100, 100}, 4, 62, 465},
			{"tiny", Limit{2, 2}, 3, 6, 6},
		} {
			t.Run(f.name+"/"+d.name, func(t *testing.T) {
				t.Parallel()
				seeds := uint64(2)
				if testing.Short() { // the race detector takes ten times as long
					seeds, d.usual, d.after = 1, min(d.usual, 2*d.limit.Rate), min(d.after, 2*d.limit.Rate)
				}
				for seed := range seeds {
					s := newSim(t, seed, map[string]Limit{"a": d.limit})
					s.demand("a", func(node int, at time.Duration) float64 {
						switch {
						case node >= d.nodes:
							return 0
						case at < 10*second:
							return d.usual / float64(d.nodes)
						}
						return d.after / float64(d.nodes)
					})
					f.play(s)
					s.run(30 * second)
					s.checkBound("a", d.limit, 0)
					s.checkUsed("a", d.limit, f.from, 30*second, 0.95)
				}
			})
		}
	}
}

// Guards against refusals below the quota while the leader changes.
func TestUsualDemandThroughFailures(t *testing.T) {
	for _, f := range failures()[:2] {
		t.Run(f.name, func(t *testing.T) {
			limit := Limit{100, 50}
			s := newSim(t, 1, map[string]Limit{"a": limit})
			s.demand("a", spread(62, 65))
			f.play(s)
			s.run(30 * second)
			s.checkBound("a", limit, 0)
			got := float64(len(s.refusals["a"])) / float64(len(s.arrived["a"]))
			if got > 0.05 {
				t.Errorf("refused: got %.3f of the requests, want at most 0.05", got)
			}
			t.Logf("refused: %.4f", got)
		})
	}
}

// Guards against grants of a replica that no majority confirms, of an earlier term, or to a request that another one has overtaken.
func TestDecideRefuses(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCoordinator(func(string) (Limit, bool) { return Limit{100, 50}, true })
	ask := Request{Node: "n", Incarnation: 1, Number: 5, Asks: []Ask{{Customer: "a", Waiting: 1, Need: 1, Want: 1}}}
	leads := Standing{Leads: true, Term: 7, Leader: "r", Nodes: 1}
	if p := c.Decide(now, leads, ask); p.Term != 7 {
		t.Fatalf("leader: got term %d, want 7", p.Term)
	}
	now = now.Add(second)
	for _, tt := range []struct {
		name     string
		standing Standing
		number   uint64
	}{
		{"not the leader", Standing{Term: 7, Leader: "r"}, 6},
		{"never confirmed", Standing{Leads: true, Term: 7, Leader: "r", Confirmed: -1}, 6},
		{"not confirmed lately", Standing{Leads: true, Term: 7, Leader: "r", Confirmed: MaxConfirmationAge + 1}, 6},
		{"earlier term", Standing{Leads: true, Term: 6, Leader: "r"}, 6},
		{"overtaken", leads, 5},
	} {
		ask.Number = tt.number
		if p := c.Decide(now, tt.standing, ask); p.Term != 0 || len(p.Grants) != 0 {
			t.Errorf("%s: got %+v, want no grant", tt.name, p)
		}
	}
	ask.Number = 6
	if p := c.Decide(now, leads, ask); p.Term != 7 || p.Grants[0].Tokens < 1 {
		t.Errorf("leader after these: got %+v, want a token", p)
	}
}

// Guards against grants of a deposed leader that a node applies, and against tokens that a node uses after they expired.
func TestAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{100, 50}
	l := NewLocal("n", 1)
	answer := func(term uint64, tokens int) bool {
		l.Ask(now, "r")
		return l.Answer(now, "r", Response{Term: term, Number: 1, Grants: []Grant{{Customer: "a", Tokens: tokens}}})
	}
	_, w := l.Take(now, "a", limit)
	if w == nil || !answer(3, 2) || !(<-w.Decided).Granted {
		t.Fatal("first request: got no token, want one")
	}
	if answer(2, 100) {
		t.Error("grant of an earlier term: got it applied, want it ignored")
	}
	if v, _ := l.Take(now, "a", limit); !v.Granted {
		t.Error("second request: got no token, want the second")
	}
	if v, _ := l.Take(now, "a", limit); v.Granted {
		t.Error("third request: got a token of an earlier term, want none")
	}
	answer(3, 5)
	now = now.Add(tokenLife)
	if v, _ := l.Take(now, "a", limit); v.Granted {
		t.Error("after the life of the tokens: got a token, want none")
	}
}

// Load pattern: callers return after a refusal because of the quota. Guards against late requests that wait for tokens which others of the
// customer could use in time, and against late ones that get no token although the node has one left.
func TestLateRequestsYield(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int // granted, of which the first request takes one
		scarce bool
		hold   time.Duration // wait that the coordinator states
		want   string
	}{
		{"enough tokens", 3, false, 0, "token"},
		{"short of tokens", 1, true, 0, "refused"},
		{"coordinator has none", 1, false, time.Second, "refused"},
		{"short of tokens, one left", 2, true, 0, "token"},
		{"no token, not short", 1, false, 0, "waits"},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			limit := Limit{100, 50}
			l := NewLocal("n", 1)
			_, first := l.Take(now, "a", limit)
			l.Ask(now, "r")
			l.Answer(now, "r", Response{Term: 1, Number: 1, Grants: []Grant{{Customer: "a", Tokens: c.tokens, Scarce: c.scarce, Wait: c.hold}}})
			if first == nil || !(<-first.Decided).Granted {
				t.Fatal("first request: got no token, want one")
			}
			got := "refused"
			switch v, w := l.TakeLate(now, "a", limit); {
			case w != nil:
				got = "waits"
			case v.Granted:
				got = "token"
			}
			if got != c.want {
				t.Errorf("late request: got %s, want %s", got, c.want)
			}
		})
	}
}

// Load pattern: requests wait long at a full endpoint and are refused. Guards against tokens that are spent again for each of them, so that
// all run at once when the endpoint has room.
func TestGiveBackTime(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want bool // the token can be spent again
	}{{giveBackTime, true}, {giveBackTime + time.Millisecond, false}} {
		now := time.Unix(1000, 0)
		limit := Limit{100, 50}
		l := NewLocal("n", 1)
		_, first := l.Take(now, "a", limit)
		l.Ask(now, "r")
		l.Answer(now, "r", Response{Term: 1, Number: 1, Grants: []Grant{{Customer: "a", Tokens: 1}}})
		v := <-first.Decided
		l.GiveBack(now.Add(c.took), now, "a", v)
		if again, _ := l.Take(now.Add(c.took), "a", limit); again.Granted != c.want {
			t.Errorf("refused after %s: got the token again %v, want %v", c.took, again.Granted, c.want)
		}
	}
}

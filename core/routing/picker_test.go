package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"godwitspindle/core/config"
)

var start = time.Unix(1_700_000_000, 0)

func service(n int, domains ...string) *config.Service {
	s := &config.Service{Name: "ledger"}
	for i := range n {
		s.Endpoints = append(s.Endpoints, config.Endpoint{Service: "ledger", Name: fmt.Sprint(i), Domain: domains[i%len(domains)], Slots: 12})
	}
	return s
}

func picker(opts ...Option) *Picker {
	r := rand.New(rand.NewPCG(1, 2))
	return New(append([]Option{WithRandom(r.IntN), WithDomain("a")}, opts...)...)
}

// countDecisions counts the choices of n decisions by name of the endpoint; if hold is set, it starts a call at each choice and does
// not end it.
func countDecisions(t *testing.T, p *Picker, c Call, n int, hold bool) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		d, err := p.Decide(c)
		if err != nil {
			t.Fatalf("Decide: %v", err)
		}
		counts[d.Endpoint.Name]++
		if hold {
			p.Start(d.Endpoint.Key(), c.Now)
		}
	}
	return counts
}

func complete(p *Picker, key string, n int, o Observation) {
	for range n {
		p.Start(key, start)
		p.Done(key, o)
	}
}

// Guards against a report or observation that has no effect, or so large an effect that an endpoint gets all calls or too few.
func TestShares(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name      string
		domains   []string
		setup     func(p *Picker)
		at        time.Duration // time of the decisions, from start
		hold      bool          // see countDecisions
		low, high int           // bounds on the calls to endpoint 0, of 1,000
	}{
		{"even", []string{"a"}, func(*Picker) {}, 0, false, 200, 300},
		{"slow endpoint", []string{"a"}, func(p *Picker) {
			complete(p, "ledger/0", 20, Observation{Took: 40 * ms})
			for _, k := range []string{"ledger/1", "ledger/2", "ledger/3"} {
				complete(p, k, 20, Observation{Took: 5 * ms})
			}
		}, 0, false, 0, 10},
		{"false idle report of a slow endpoint", []string{"a"}, func(p *Picker) {
			complete(p, "ledger/0", 20, Observation{Took: 40 * ms})
			p.RecordLoad("ledger/0", 0, start)
			for _, k := range []string{"ledger/1", "ledger/2", "ledger/3"} {
				complete(p, k, 20, Observation{Took: 5 * ms})
				p.RecordLoad(k, 1, start)
			}
		}, 0, false, 0, 10},
		{"idle report is no better than none", []string{"a"}, func(p *Picker) { p.RecordLoad("ledger/0", 0, start) }, 0, false, 200, 300},
		{"negative report is no better than none", []string{"a"}, func(p *Picker) { p.RecordLoad("ledger/0", -9, start) }, 0, false, 200, 300},
		{"fresh busy report", []string{"a"}, func(p *Picker) { p.RecordLoad("ledger/0", 1, start) }, 0, false, 0, 10},
		{"stale busy report", []string{"a"}, func(p *Picker) { p.RecordLoad("ledger/0", 1, start) }, 11 * time.Second, false, 200, 300},
		{"fading busy report under load", []string{"a"}, func(p *Picker) { p.RecordLoad("ledger/0", 1, start) }, 4 * time.Second, true, 205, 240},
		{"fast failures", []string{"a"}, func(p *Picker) { complete(p, "ledger/0", 4, Observation{Took: ms, Failed: true}) }, 0, false, 0, 10},
		{"other domain when idle", []string{"b", "a"}, func(*Picker) {}, 0, false, 0, 10},
		{"other domain under load", []string{"b", "a"}, func(*Picker) {}, 0, true, 150, 245},
		{"refusal says nothing about health", []string{"a"}, func(p *Picker) { complete(p, "ledger/0", 9, Observation{NotRun: true}) }, 0, false, 200, 300},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, s := picker(), service(4, c.domains...)
			call := Call{Service: s, Now: start}
			_, _ = p.Decide(call)
			c.setup(p)
			call.Now = start.Add(c.at)
			if got := countDecisions(t, p, call, 1000, c.hold)["0"]; got < c.low || got > c.high {
				t.Errorf("calls to endpoint 0: got %d, want %d to %d", got, c.low, c.high)
			}
		})
	}
}

// Guards against a slow endpoint that is never tried again after it recovers.
func TestSlowEndpointReturns(t *testing.T) {
	tests := []struct {
		name      string
		busy      int           // calls in flight at the fast endpoint
		at        time.Duration // time of the decisions, from start
		low, high int           // bounds on the calls to the slow endpoint, of 1,000
	}{
		{"still slow", 4, time.Second, 0, 0},
		{"under load after 50 s", 4, 50 * time.Second, 1000, 1000},
		{"idle after 50 s", 0, 50 * time.Second, 0, 0},
		{"idle after 60 s", 0, time.Minute, 400, 600},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, s := picker(), service(2, "a")
			_, _ = p.Decide(Call{Service: s, Now: start})
			complete(p, "ledger/0", 20, Observation{Took: 400 * time.Millisecond})
			complete(p, "ledger/1", 20, Observation{Took: 5 * time.Millisecond})
			for range c.busy {
				p.Start("ledger/1", start)
			}
			got := countDecisions(t, p, Call{Service: s, Now: start.Add(c.at)}, 1000, false)["0"]
			if got < c.low || got > c.high {
				t.Errorf("calls to the slow endpoint: got %d, want %d to %d", got, c.low, c.high)
			}
		})
	}
}

// Guards against calls to endpoints that were tried, drained or ejected, and against ejecting more than a third of them.
func TestExclusion(t *testing.T) {
	p, s := picker(), service(6, "a")
	call := Call{Service: s, Now: start}
	_, _ = p.Decide(call)
	for i := range 6 {
		complete(p, fmt.Sprintf("ledger/%d", i), ejectFailures, Observation{Failed: true})
	}
	got := countDecisions(t, p, call, 600, false)
	if len(got) != 4 {
		t.Errorf("endpoints used after all failed: got %v, want 4 of 6 (cap of a third)", got)
	}
	if got[fmt.Sprint(0)] != 0 {
		t.Errorf("ejected endpoint: got %d calls, want 0", got["0"])
	}
	p.Avoid("ledger/2", start.Add(time.Second), "draining")
	call.Tried = []string{"ledger/3", "ledger/4"}
	if got := countDecisions(t, p, call, 100, false); got["5"] != 100 {
		t.Errorf("with 2 ejected, 1 avoided, 2 tried: got %v, want only 5", got)
	}
	p.Avoid("ledger/5", start.Add(2*time.Second), "draining")
	d, err := p.Decide(call)
	if err != nil || d.Reason != ReasonLastResort {
		t.Errorf("only ejected left: got %v %v, want reason %s", d.Reason, err, ReasonLastResort)
	}
	call.Tried = append(call.Tried, "ledger/0", "ledger/1")
	var none *NoEndpointError
	if _, err := p.Decide(call); !errors.As(err, &none) || none.RetryAfter != time.Second || none.Avoided != 2 || none.Tried != 4 {
		t.Errorf("nothing left: got %+v, want 2 avoided, 4 tried, after 1 s", err)
	}
	call.Now = start.Add(1500 * time.Millisecond)
	if d, err := p.Decide(call); err != nil || d.Endpoint.Name != "2" {
		t.Errorf("after expiry of the avoidance: got %v %v, want 2", d, err)
	}
}

// Guards against a full share for a cold endpoint, and against state that outlives the incarnation or the endpoint.
func TestLifecycle(t *testing.T) {
	p, s := picker(), service(4, "a")
	_, _ = p.Decide(Call{Service: s, Now: start})
	p.Avoid("ledger/0", start.Add(time.Hour), "draining")
	p.Retain(func(string) bool { return true }) // as for each new snapshot; endpoint 4 must still begin with a slow start
	next := service(5, "a")
	next.Endpoints[0].Incarnation = 2
	call := Call{Service: next, Now: start.Add(time.Second)}
	if got := countDecisions(t, p, call, 1000, true); got["0"] == 0 || got["0"] > 150 || got["4"] > 150 {
		t.Errorf("cold endpoints 0 and 4: got %v, want some but under 150 each", got)
	}
	for i := range 5 {
		for p.lookup(fmt.Sprintf("ledger/%d", i)).outstanding.Load() > 0 {
			p.Done(fmt.Sprintf("ledger/%d", i), Observation{NotRun: true})
		}
	}
	call.Now = start.Add(12 * time.Second)
	if got := countDecisions(t, p, call, 1000, false); got["4"] < 150 {
		t.Errorf("warm endpoint 4: got %v, want at least 150", got)
	}
	p.Retain(func(k string) bool { return k != "ledger/4" })
	if p.lookup("ledger/4") != nil || p.lookup("ledger/3") == nil {
		t.Error("Retain: got wrong states, want only ledger/4 dropped")
	}
	p.Done("ledger/4", Observation{}) // a late Done must not panic
}

// Guards against small or uneven subsets, and against subsets that change when an unrelated endpoint is removed.
func TestSubset(t *testing.T) {
	s := service(200, "a", "b", "c")
	subsets := map[string]int{}
	for n := range 300 {
		p := New(WithNode(fmt.Sprint("node", n)), WithDomain("a"), WithSubset(8))
		chosen := p.selectEndpoints(s, AnyRelease)
		if len(chosen) != 8 {
			t.Fatalf("subset: got %d, want 8", len(chosen))
		}
		for _, i := range chosen {
			subsets[s.Endpoints[i].Key()]++
		}
		if n > 0 {
			continue
		}
		smaller := *s
		smaller.Endpoints = smaller.Endpoints[:199]
		unchanged := 0
		for _, i := range p.selectEndpoints(&smaller, AnyRelease) {
			if slices.Contains(chosen, i) {
				unchanged++
			}
		}
		if unchanged < 7 {
			t.Errorf("subset after one removal: got %d the same, want at least 7", unchanged)
		}
	}
	for k, n := range subsets {
		if n > 45 {
			t.Errorf("%s: in %d of 300 subsets, want at most 45 (mean 12 to 18)", k, n)
		}
	}
}

// Guards against data races (with -race) and deadlocks between decisions, observations, new snapshots and dropped endpoints,
// and against a count of outstanding calls that does not return to zero.
func TestConcurrent(t *testing.T) {
	p := New(WithDomain("a"))
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			s := service(6, "a", "b")
			for i := range 500 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				d, err := p.Decide(Call{Service: s, Now: now})
				if err != nil {
					continue
				}
				k := d.Endpoint.Key()
				p.Start(k, now)
				p.RecordLoad(k, 0.5, now)
				p.Done(k, Observation{Took: time.Millisecond, Failed: i%3 == g%3})
				if i%100 == 0 {
					p.Avoid(k, now.Add(time.Millisecond), "draining")
					p.Retain(func(key string) bool { return key != "ledger/5" })
				}
			}
		})
	}
	group.Wait()
	for i := range 5 {
		if got := p.lookup(fmt.Sprint("ledger/", i)).outstanding.Load(); got != 0 {
			t.Errorf("outstanding calls of %d: got %d, want 0", i, got)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{5, 200} {
		p, s := New(WithRandom(rand.IntN), WithDomain("a"), WithNode("n")), service(n, "a", "b", "c")
		call := Call{Service: s, Now: start, Tried: []string{"ledger/1"}}
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = p.Decide(call)
			}
		})
		b.Run(fmt.Sprint("parallel,endpoints=", n), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(q *testing.PB) {
				for q.Next() {
					d, _ := p.Decide(call)
					p.Start("ledger/3", start)
					p.Done("ledger/3", Observation{Took: time.Millisecond})
					_ = d
				}
			})
		})
	}
}

// Guards against calls to an endpoint that has stated that it leaves: as the last resort, or after this node has forgotten the
// endpoint because the agreed set did not list it for a while. Another process of the endpoint gets calls again.
func TestLeavingEndpoint(t *testing.T) {
	left := map[uint64]bool{}
	p := picker(WithLeaving(func(_ string, incarnation uint64) bool { return left[incarnation] }))
	now := time.Unix(1000, 0)
	s := service(1, "a")
	incarnation, key := s.Endpoints[0].Incarnation, s.Endpoints[0].Key()
	want := func(step string, s *config.Service, chosen bool) {
		t.Helper()
		if _, err := p.Decide(Call{Service: s, Now: now}); (err == nil) != chosen {
			t.Errorf("%s: got error %v, want a choice: %v", step, err, chosen)
		}
	}
	want("before", s, true)
	p.Leave(key, incarnation+1)
	want("another process left", s, true)
	left[incarnation] = true
	p.Leave(key, incarnation)
	p.Avoid(key, now.Add(time.Second), Unreachable)
	want("after the statement", s, false)
	now = now.Add(time.Hour)
	want("an hour later", s, false)
	p.Retain(func(string) bool { return false })
	again := *s
	want("listed again", &again, false)
	next := service(1, "a")
	next.Endpoints[0].Incarnation = incarnation + 1
	want("next process", next, true)
}

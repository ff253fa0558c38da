package routing

import (
	"testing"
	"time"
)

// Load pattern: endpoints that tell their occupancy and expected times. Guards against fast endpoints that get no more than slow ones, a
// slow spell that is followed late or remembered for long, an endpoint that never gets a call again, and calls that leave their failure
// domain without need or stay although they would be late.
func TestCompletion(t *testing.T) {
	const usual, objective = 200 * time.Millisecond, 600 * time.Millisecond
	tell := func(p *Picker, key string, occupancy float64, expected time.Duration) {
		for range 20 { // more than one report, since means follow slowly
			p.RecordOccupancy(key, occupancy, start)
			p.RecordExpected(key, "read", Load{Occupancy: occupancy, Expected: expected}, start)
		}
	}
	all := func(p *Picker, n int, occupancy float64) {
		for i := range n {
			tell(p, service(n, "a").Endpoints[i].Key(), occupancy, usual)
		}
	}
	tests := []struct {
		name      string
		domains   []string
		objective time.Duration
		setup     func(p *Picker)
		at        time.Duration // time of the decisions, from start
		tried     []string
		low, high int // bounds on the calls to endpoint 0, of 1,000
	}{
		{"even", []string{"a"}, objective, func(p *Picker) { all(p, 4, 0.5) }, 0, nil, 0, 400},
		{"slow spell", []string{"a"}, objective, func(p *Picker) {
			all(p, 4, 0.5)
			p.RecordExpected("ledger/0", "read", Load{Occupancy: 0.5, Expected: 5 * usual / 2}, start)
		}, 0, nil, 1, 60},
		{"after a slow spell", []string{"a"}, objective, func(p *Picker) {
			all(p, 4, 0.5)
			p.RecordExpected("ledger/0", "read", Load{Occupancy: 0.5, Expected: 5 * usual / 2}, start)
			p.RecordOccupancy("ledger/0", 0.5, start.Add(4*time.Second))
			p.RecordOccupancy("ledger/1", 0.8, start.Add(4*time.Second))
			p.RecordOccupancy("ledger/2", 0.8, start.Add(4*time.Second))
			p.RecordOccupancy("ledger/3", 0.8, start.Add(4*time.Second))
		}, 4 * time.Second, nil, 400, 1000},
		{"always slow, still observed", []string{"a"}, objective, func(p *Picker) { all(p, 4, 0.2); tell(p, "ledger/0", 0.2, 8*usual) }, 0, nil, 1, 60},
		{"fast", []string{"a"}, objective, func(p *Picker) { all(p, 4, 0.7); tell(p, "ledger/0", 0.7, usual/2) }, 0, nil, 400, 1000},
		{"fast, but full", []string{"a"}, objective, func(p *Picker) { all(p, 4, 0.5); tell(p, "ledger/0", 1.5, usual/2) }, 0, nil, 0, 60},
		{"other domain, near ones have room", []string{"b", "a"}, objective, func(p *Picker) { all(p, 4, 0.9); tell(p, "ledger/0", 0, usual) }, 0, nil, 0, 0},
		{"other domain, near ones are full, but in time", []string{"b", "a"}, objective, func(p *Picker) { all(p, 4, 1.1); tell(p, "ledger/0", 0, usual) }, 0, nil, 0, 0},
		{"other domain, near ones are late", []string{"b", "a"}, objective, func(p *Picker) { all(p, 4, 2); tell(p, "ledger/0", 0, usual); tell(p, "ledger/2", 0, usual) }, 0, nil, 300, 700},
		{"other domain, all are late", []string{"b", "a"}, objective, func(p *Picker) { all(p, 4, 2) }, 0, nil, 0, 0},
		{"other domain, near ones are busy, no objective", []string{"b", "a"}, 0, func(p *Picker) { all(p, 4, 1.4); tell(p, "ledger/0", 0, usual); tell(p, "ledger/2", 0, usual) }, 0, nil, 300, 700},
		{"other domain, refused twice", []string{"b", "a"}, objective, func(p *Picker) { all(p, 6, 0.9); tell(p, "ledger/0", 0, usual) }, 0, []string{"ledger/1", "ledger/3"}, 200, 1000},
		{"refuses half of its calls", []string{"a"}, objective, func(p *Picker) {
			all(p, 4, 0.5)
			for i := range 40 {
				p.RecordRefusal("ledger/0", i%2 == 0, start)
			}
		}, 0, nil, 0, 60},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := 4
			if len(c.tried) > 0 {
				n = 6
			}
			p, s := picker(), service(n, c.domains...)
			call := Call{Service: s, Now: start, Kind: "read", Objective: c.objective, Tried: c.tried}
			_, _ = p.Decide(call)
			c.setup(p)
			call.Now = start.Add(c.at)
			if got := countDecisions(t, p, call, 1000, false)["0"]; got < c.low || got > c.high {
				t.Errorf("calls to endpoint 0: got %d, want %d to %d", got, c.low, c.high)
			}
		})
	}
}

// Guards against calls to the endpoint on the node's host although its queue, which the node knows, makes them late.
func TestOwnLoad(t *testing.T) {
	for _, c := range []struct {
		occupancy float64
		low, high int // bounds on the calls to the endpoint on the node's host, of 1,000
	}{{0.6, 950, 1000}, {1.8, 0, 60}} {
		s := service(4, "a")
		s.Endpoints[0].Node = "n0"
		p := picker(WithNode("n0"), WithLocalPreference(4), WithOwnLoad(func(string, string, time.Time) (Load, bool) {
			return Load{Occupancy: c.occupancy, Expected: 200 * time.Millisecond}, true
		}))
		call := Call{Service: s, Now: start, Kind: "read"}
		_, _ = p.Decide(call)
		for _, e := range s.Endpoints {
			p.RecordOccupancy(e.Key(), 0.6, start)
			p.RecordExpected(e.Key(), "read", Load{Occupancy: 0.6, Expected: 200 * time.Millisecond}, start)
		}
		if got := countDecisions(t, p, call, 1000, false)["0"]; got < c.low || got > c.high {
			t.Errorf("occupancy %v: calls to the endpoint on the node's host: got %d, want %d to %d", c.occupancy, got, c.low, c.high)
		}
	}
}

// Measures the cost of a decision among endpoints that tell expected times.
func BenchmarkCompletion(b *testing.B) {
	s := service(30, "a", "b", "c")
	p := New(WithDomain("a"), WithNode("n0"), WithLocalPreference(4))
	call := Call{Service: s, Now: start, Kind: "read", Objective: time.Second}
	_, _ = p.Decide(call)
	for _, e := range s.Endpoints {
		p.RecordExpected(e.Key(), "read", Load{Occupancy: 0.6, Expected: 200 * time.Millisecond}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = p.Decide(call)
	}
}

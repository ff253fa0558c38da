package routing

import (
	"testing"
	"time"
)

// Load pattern: answers of several kilobytes between hosts with little bandwidth. Guards against calls to other hosts although
// the endpoint on the node's host has room, and against calls to that endpoint although it is full, slow, failing or was tried.
func TestOwnEndpoint(t *testing.T) {
	tests := []struct {
		name         string
		setup        func(p *Picker)
		tried        []string // keys of endpoints that the call has tried
		noPreference bool     // whether the picker is created without WithLocalPreference
		wantOwn      bool
	}{
		{"idle", func(*Picker) {}, nil, false, true},
		{"some calls", func(p *Picker) { p.RecordOccupancy("ledger/20", 0.8, start) }, nil, false, true},
		{"full", func(p *Picker) { p.RecordOccupancy("ledger/20", 1, start) }, nil, false, false},
		{"tried", func(*Picker) {}, []string{"ledger/20"}, false, false},
		{"avoided", func(p *Picker) { p.Avoid("ledger/20", start.Add(time.Second), Unreachable) }, nil, false, false},
		{"slow", func(p *Picker) {
			for i := range 24 {
				complete(p, service(24, "a", "b").Endpoints[i].Key(), 10, Observation{Took: 10 * time.Millisecond})
			}
			complete(p, "ledger/20", 10, Observation{Took: 100 * time.Millisecond})
		}, nil, false, false},
		{"failing", func(p *Picker) { complete(p, "ledger/20", 3, Observation{Took: time.Millisecond, Failed: true}) }, nil, false, false},
		{"without WithLocalPreference", func(*Picker) {}, nil, true, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := service(24, "a", "b")
			s.Endpoints[20].Node = "n20"
			opts := []Option{WithNode("n20")}
			if !c.noPreference {
				opts = append(opts, WithLocalPreference(4))
			}
			p := picker(opts...)
			countDecisions(t, p, Call{Service: s, Now: start}, 1, false) // the first decision adds the endpoints
			c.setup(p)
			got := countDecisions(t, p, Call{Service: s, Tried: c.tried, Now: start}, 200, false)["20"]
			if c.wantOwn && got != 200 || !c.wantOwn && got > 100 {
				t.Errorf("calls to the endpoint on the node's host: got %d of 200, want all: %v", got, c.wantOwn)
			}
		})
	}
}

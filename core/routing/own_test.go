package routing

import (
	"testing"
	"time"
)

// Load pattern: answers of several kilobytes from hosts with thin links. Guards against calls that leave their host although
// the endpoint beside the node has room, and against calls that stay there although it is full, slow, failing or was tried.
func TestOwnEndpoint(t *testing.T) {
	tests := []struct {
		name  string
		setup func(p *Picker)
		tried []string
		far   bool // the picker does not prefer what is near
		own   bool
	}{
		{"idle", func(*Picker) {}, nil, false, true},
		{"some calls", func(p *Picker) { p.Occupied("ledger/20", 0.8, start) }, nil, false, true},
		{"full", func(p *Picker) { p.Occupied("ledger/20", 1, start) }, nil, false, false},
		{"tried", func(*Picker) {}, []string{"ledger/20"}, false, false},
		{"avoided", func(p *Picker) { p.Avoid("ledger/20", start.Add(time.Second), Unreachable) }, nil, false, false},
		{"slow", func(p *Picker) {
			for i := range 24 {
				done(p, service(24, "a", "b").Endpoints[i].Key(), 10, Observation{Took: 10 * time.Millisecond})
			}
			done(p, "ledger/20", 10, Observation{Took: 100 * time.Millisecond})
		}, nil, false, false},
		{"failing", func(p *Picker) { done(p, "ledger/20", 3, Observation{Took: time.Millisecond, Failed: true}) }, nil, false, false},
		{"nearness does not count", func(*Picker) {}, nil, true, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := service(24, "a", "b")
			s.Endpoints[20].Node = "n20"
			opts := []Option{WithNode("n20")}
			if !c.far {
				opts = append(opts, WithNear(4))
			}
			p := picker(opts...)
			counts(t, p, Call{Service: s, Now: start}, 1, false) // the endpoints are known
			c.setup(p)
			got := counts(t, p, Call{Service: s, Tried: c.tried, Now: start}, 200, false)["20"]
			if c.own && got != 200 || !c.own && got > 100 {
				t.Errorf("calls to the endpoint beside the node: got %d of 200, want all %v", got, c.own)
			}
		})
	}
}

package store

import (
	"fmt"
	"testing"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// numbered is a change of everything under the operator's own number.
func numbered(number, builds uint64, service string) *wire.Change {
	return &wire.Change{
		Id: fmt.Sprintf("%d-%d-%s", number, builds, service), Number: number, Builds: builds,
		Body: &wire.Change_Content{Content: &wire.Content{
			Register: register(service),
			Sets:     []*wire.RuleSet{rules("main", service, 100)},
			Bounds:   &wire.Bounds{Name: config.CallerBounds, Body: number},
		}},
	}
}

// Guards against two changes on top of one number that are both accepted, against an accepted one that is refused when it
// is sent again, and against a change through the other interface that is overwritten unnoticed.
func TestNumberedChanges(t *testing.T) {
	tests := []struct {
		name   string
		change *wire.Change
		want   string
	}{
		{"first", numbered(3, 0, "archive"), "accepted 1 content"},
		{"sent again", numbered(3, 0, "archive"), "accepted 1 content"},
		{"another first", numbered(4, 0, "ledger"), "conflict 1"},
		{"next", numbered(7, 3, "ledger"), "accepted 4 content"},
		{"race on the same base", numbered(7, 3, "counter"), "conflict 4"},
		{"number does not grow", numbered(7, 7, "counter"), "invalid number"},
		{"unknown service", func() *wire.Change {
			c := numbered(9, 7, "ledger")
			c.Id = "odd"
			c.GetContent().Sets[0].Routes[0].Service = "missing"
			return c
		}(), "invalid rules/main/route/main-ledger.service"},
		{"rules without a number", change("r", 4, rules("more", "ledger", 50)), "accepted 8 rules/more"},
		{"on top of the number before them", numbered(9, 7, "ledger"), "conflict 8"},
		{"on top of theirs", numbered(9, 8, "ledger"), "accepted 10 content"},
		{"the first again, long after", numbered(3, 0, "archive"), "accepted 1 content"},
	}
	s := New()
	for i, c := range tests {
		got := outcome(s.Apply(uint64(i+1), changed(c.change)))
		if len(got) < len(c.want) || got[:len(c.want)] != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
		s = restore(t, s)
	}
	if got := s.Changes()[len(s.Changes())-1].GetNumber(); got != 9 {
		t.Errorf("number of the newest change: got %d, want 9", got)
	}
	table, err := config.NewTable(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if b, ok := table.Bounds(); !ok || b.Body != 9 {
		t.Errorf("bounds in force: got %+v, want those of change 9", b)
	}
}

// Guards against calls that reach another backend server, and against a node that takes versions from itself: a host is
// replaced by another one with its address.
func TestAddressIsUsedAgain(t *testing.T) {
	s := New()
	s.Apply(1, changed(change("a", 0, register("archive", "ledger"))))
	s.Apply(2, member(&wire.Membership{
		Joins:     []*wire.Node{{Name: "old", Address: "10.0.0.1:7000", Incarnation: 1}, {Name: "other", Address: "10.0.0.2:7000", Incarnation: 2}},
		Endpoints: []*wire.Endpoint{{Service: "archive", Name: "e1", Node: "old"}, {Service: "archive", Name: "e2", Node: "other"}},
	}))
	s.Apply(3, member(&wire.Membership{
		Joins:     []*wire.Node{{Name: "new", Address: "10.0.0.1:7000", Incarnation: 3}},
		Endpoints: []*wire.Endpoint{{Service: "ledger", Name: "e3", Node: "new"}},
	}))
	nodes, endpoints := s.Snapshot().Members()
	var got []string
	for _, n := range nodes {
		got = append(got, n.GetName())
	}
	for _, e := range endpoints {
		got = append(got, e.GetName())
	}
	if want := "[new other e2 e3]"; fmt.Sprint(got) != want {
		t.Errorf("nodes and endpoints: got %v, want %s", got, want)
	}
}

package store

import (
	"fmt"
	"testing"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// numberedChange returns a change of the whole content with an operator number.
func numberedChange(number, builds uint64, service string) *wire.Change {
	return &wire.Change{
		Id: fmt.Sprintf("%d-%d-%s", number, builds, service), Number: number, Builds: builds,
		Body: &wire.Change_Content{Content: &wire.Content{
			Register: register(service),
			Sets:     []*wire.RuleSet{rules("main", service, 100)},
			Bounds:   &wire.Bounds{Name: config.CallerBounds, Body: number},
		}},
	}
}

// Guards against two accepted changes that build on the same number, against a resend of an accepted change that is refused, and
// against a numbered change that overwrites one without a number.
func TestNumberedChanges(t *testing.T) {
	tests := []struct {
		name   string
		change *wire.Change
		want   string
	}{
		{"first", numberedChange(3, 0, "archive"), "accepted 1 content"},
		{"resent", numberedChange(3, 0, "archive"), "accepted 1 content"},
		{"another first", numberedChange(4, 0, "ledger"), "conflict 1"},
		{"next", numberedChange(7, 3, "ledger"), "accepted 4 content"},
		{"race on the same base", numberedChange(7, 3, "counter"), "conflict 4"},
		{"number does not grow", numberedChange(7, 7, "counter"), "invalid number"},
		{"unknown service", func() *wire.Change {
			c := numberedChange(9, 7, "ledger")
			c.Id = "odd"
			c.GetContent().Sets[0].Routes[0].Service = "missing"
			return c
		}(), "invalid rules/main/route/main-ledger.service"},
		{"rules without a number", change("r", 4, rules("more", "ledger", 50)), "accepted 8 rules/more"},
		{"builds on the number before the rules", numberedChange(9, 7, "ledger"), "conflict 8"},
		{"builds on the number of the rules", numberedChange(9, 8, "ledger"), "accepted 10 content"},
		{"late resend of the first", numberedChange(3, 0, "archive"), "accepted 1 content"},
	}
	s := New()
	for i, c := range tests {
		got := describe(s.Apply(uint64(i+1), changeCommand(c.change)))
		if len(got) < len(c.want) || got[:len(c.want)] != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
		s = restoredCopy(t, s)
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

// Guards against calls that reach the wrong backend server, and against a node that uses itself as its upstream, when a new host
// takes over the address of a replaced one.
func TestAddressIsUsedAgain(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("a", 0, register("archive", "ledger"))))
	s.Apply(2, membership(&wire.Membership{
		Joins:     []*wire.Node{{Name: "old", Address: "10.0.0.1:7000", Incarnation: 1}, {Name: "other", Address: "10.0.0.2:7000", Incarnation: 2}},
		Endpoints: []*wire.Endpoint{{Service: "archive", Name: "e1", Node: "old"}, {Service: "archive", Name: "e2", Node: "other"}},
	}))
	s.Apply(3, membership(&wire.Membership{
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

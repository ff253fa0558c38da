package store

import (
	"fmt"
	"testing"

	"godwitspindle/core/wire"
)

// Guards against a process that has left for good and is a member again: a late announcement of it reaches the leader after a restart of
// its node, a change of the leader, a loss of power or a revert of the configuration.
func TestDepartedProcessStaysOut(t *testing.T) {
	node := &wire.Node{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
	endpoint := func(incarnation uint64) *wire.Endpoint {
		return &wire.Endpoint{Service: "a", Name: "e", Node: "n", Incarnation: incarnation}
	}
	join := func(incarnation uint64) *wire.Command {
		return membership(&wire.Membership{Joins: []*wire.Node{node}, Endpoints: []*wire.Endpoint{endpoint(incarnation)}})
	}
	depart := func(incarnation uint64) *wire.Command {
		return membership(&wire.Membership{Departed: []*wire.Departure{{Service: "a", Name: "e", Incarnation: incarnation}}})
	}
	s := New()
	for i, c := range []struct {
		name    string
		command *wire.Command
		listed  uint64 // incarnation of the listed endpoint; 0 for none
	}{
		{"service", changeCommand(change("1", 0, register("a"))), 0},
		{"announced", join(7), 7},
		{"departure of an earlier process", depart(6), 7},
		{"departure", depart(7), 0},
		{"late announcement", join(7), 0},
		{"late announcement of the earlier process", join(6), 0},
		{"revert", changeCommand(change("2", 1, uint64(1))), 0},
		{"late announcement after the revert", join(7), 0},
		{"later process", join(8), 8},
		{"departure that is sent again", depart(7), 8},
		{"departure before the announcement", depart(9), 8},
		{"announcement that the departure overtook", join(9), 8},
		{"silent process, whose lease ends", membership(&wire.Membership{Removed: []string{"a/e"}}), 0},
		{"silent process, which is heard again", join(8), 8},
		{"departure without incarnation", depart(0), 8},
	} {
		s = restoredCopy(t, s)
		s.Apply(uint64(i+1), c.command)
		if got := s.members.endpoints["a/e"].GetIncarnation(); got != c.listed {
			t.Errorf("%s: got incarnation %d listed, want %d", c.name, got, c.listed)
		}
	}
	if !s.HasEnded(endpoint(7)) || s.HasEnded(endpoint(8)) {
		t.Errorf("ended: got %v, %v for the departed and the running process, want true, false", s.HasEnded(endpoint(7)), s.HasEnded(endpoint(8)))
	}
}

// Guards against a record of departures that grows without limit, and that forgets a recent one because the endpoint is an old one.
func TestDeparturesAreBounded(t *testing.T) {
	m := newMembers()
	depart := func(name string, incarnation uint64) {
		m.depart(&wire.Departure{Service: "a", Name: name, Incarnation: incarnation})
	}
	depart("old", 1)
	for i := range MaxRetiredKeys - 1 {
		depart(fmt.Sprint("e", i), 1)
	}
	for i := range uint64(maxFormerIncarnations) {
		depart("old", 2+i)
	}
	depart("new", 1)
	if got, want := len(m.retired), MaxRetiredKeys; got != want || len(m.former) != want {
		t.Errorf("keys: got %d in order and %d, want %d", got, len(m.former), want)
	}
	if m.hasEnded("endpoint/a/old", 1) || !m.hasEnded("endpoint/a/old", 2) || !m.hasEnded("endpoint/a/old", 1+maxFormerIncarnations) {
		t.Errorf("incarnations of the endpoint that left most often: got %v, want the last %d", m.former["endpoint/a/old"], maxFormerIncarnations)
	}
	if m.hasEnded("endpoint/a/e0", 1) || !m.hasEnded("endpoint/a/e1", 1) {
		t.Error("got the endpoint that left first kept or a later one dropped, want only the first dropped")
	}
}

// Guards against odd departures that end a replica or take room from others.
func TestOddDepartures(t *testing.T) {
	m := newMembers()
	for _, d := range []*wire.Departure{
		nil,
		{},
		{Service: "a", Name: "e"},
		{Service: "a", Incarnation: 1},
		{Name: "e", Incarnation: 1},
		{Service: "a/b", Name: "e", Incarnation: 1},
		{Service: "A", Name: "e", Incarnation: 1},
		{Service: "a", Name: "\x00", Incarnation: 1},
	} {
		if got := m.depart(d); got != nil || len(m.retired) > 0 {
			t.Errorf("%v: got %v and %d keys kept, want no effect", d, got, len(m.retired))
		}
	}
}

// Guards against a process that is a member again after a leave that does not name it: the node beside it has restarted and does not know
// the process, so the one that was listed last is meant. A process that states no incarnation may come back.
func TestDepartureOfLastProcess(t *testing.T) {
	const nodeIncarnation = 1
	node := &wire.Node{Name: "n", Address: "127.0.0.1:1", Incarnation: nodeIncarnation}
	join := func(incarnation uint64) *wire.Membership {
		e := &wire.Endpoint{Service: "a", Name: "e", Node: "n", Incarnation: incarnation}
		return &wire.Membership{Joins: []*wire.Node{node}, Endpoints: []*wire.Endpoint{e}}
	}
	last := &wire.Membership{Departed: []*wire.Departure{{Service: "a", Name: "e", Last: true}}}
	s := New()
	for i, c := range []struct {
		name   string
		change *wire.Membership
		listed uint64 // incarnation of the listed endpoint; 0 for none
	}{
		{"leave of an unknown endpoint", last, 0},
		{"announced", join(7), 7},
		{"the node leaves", &wire.Membership{Leaves: []string{"n"}}, 0},
		{"leave", last, 0},
		{"late announcement", join(7), 0},
		{"later process", join(8), 8},
		{"its lease ends", &wire.Membership{Removed: []string{"a/e"}}, 0},
		{"it is heard again", join(8), 8},
		{"its lease ends again", &wire.Membership{Removed: []string{"a/e"}}, 0},
		{"leave after the lease", last, 0},
		{"late announcement after the lease", join(8), 0},
		{"third process", join(9), 9},
		{"leave while listed", last, 0},
		{"late announcement of the third process", join(9), 0},
		{"process without incarnation", join(nodeIncarnation), nodeIncarnation},
		{"its leave", last, nodeIncarnation},
		{"the lease of the process without incarnation ends", &wire.Membership{Removed: []string{"a/e"}}, 0},
		{"leave of the process without incarnation", last, 0},
		{"process without incarnation again", join(nodeIncarnation), nodeIncarnation},
	} {
		s = restoredCopy(t, s)
		s.Apply(uint64(i+1), membership(c.change))
		if got := s.members.endpoints["a/e"].GetIncarnation(); got != c.listed {
			t.Errorf("%s: got incarnation %d listed, want %d", c.name, got, c.listed)
		}
	}
}

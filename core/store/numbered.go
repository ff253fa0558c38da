package store

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// newestChange returns the newest accepted change, or nil.
func (s *Store) newestChange() *wire.Accepted {
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1].accepted
}

// numberFor returns the operator number under which a change is stored. After a numbered change, one without a number gets the
// next number, so that an operator who still builds on the earlier number gets a conflict.
func (s *Store) numberFor(c *wire.Change) uint64 {
	if current := s.newestChange().GetNumber(); c.GetNumber() == 0 && current > 0 {
		return current + 1
	}
	return c.GetNumber()
}

// decideNumbered checks a change with an operator number. The change must build on the newest accepted change and have a higher
// number, so that of two changes with the same predecessor only one is accepted.
func (s *Store) decideNumbered(c *wire.Change) (*proposal, *wire.Result) {
	current := s.newestChange()
	if c.GetBuilds() != current.GetNumber() {
		return nil, &wire.Result{Body: &wire.Result_Conflict{Conflict: &wire.Conflict{Winner: current}}}
	}
	if c.GetNumber() <= current.GetNumber() {
		return nil, refusal(Invalid, &wire.Fault{Field: "number", Expected: fmt.Sprintf("a number above the current %d", current.GetNumber())})
	}
	return s.propose(s.content, c)
}

// contentFromWire converts the body of a change that replaces the whole content of base, and sorts the rule sets by name.
func contentFromWire(w *wire.Content, base *content) *content {
	var sets []*wire.RuleSet
	for _, r := range w.GetSets() {
		sets = append(sets, normalizeSet(r))
	}
	slices.SortFunc(sets, func(a, b *wire.RuleSet) int { return strings.Compare(a.GetSet(), b.GetSet()) })
	register := w.GetRegister()
	if register == nil {
		register = &wire.Register{}
	}
	c := &content{register: register, sets: sets, bounds: w.GetBounds()}
	return newContent(c.withCustomers(w.GetCustomers(), base), base)
}

// checkSetNames returns a fault for each rule set without a valid name, which would be lost or misread once stored.
func checkSetNames(sets []*wire.RuleSet) []*wire.Fault {
	var faults []*wire.Fault
	for _, r := range sets {
		if !config.ValidName(r.GetSet()) {
			faults = append(faults, &wire.Fault{Field: "sets", Expected: "a valid name for each rule set"})
		}
	}
	return faults
}

// Kinds of the parts of a content in the marshalled state.
const (
	partRules uint64 = iota
	partRegister
	partBounds
	partCustomers
)

func partKind(p proto.Message) uint64 {
	switch p.(type) {
	case *wire.Register:
		return partRegister
	case *wire.Bounds:
		return partBounds
	case *wire.Content:
		return partCustomers
	}
	return partRules
}

// newPart returns an empty part of a kind, or nil for an unknown kind.
func newPart(kind uint64) proto.Message {
	switch kind {
	case partRules:
		return new(wire.RuleSet)
	case partRegister:
		return new(wire.Register)
	case partBounds:
		return new(wire.Bounds)
	case partCustomers:
		return new(wire.Content)
	}
	return nil
}

package store

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// newest returns the newest accepted change, or nil.
func (s *Store) newest() *wire.Accepted {
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1].accepted
}

// number returns the number of an accepted change. Once changes carry numbers, one that does not takes the next, so that
// an operator who builds on an earlier number notices it.
func (s *Store) number(c *wire.Change) uint64 {
	if current := s.newest().GetNumber(); c.GetNumber() == 0 && current > 0 {
		return current + 1
	}
	return c.GetNumber()
}

// decideNumbered judges a change that carries the operator's own number. It must build on the newest accepted change, and
// its number must be higher, so that two changes on top of the same one are never both accepted.
func (s *Store) decideNumbered(c *wire.Change) (*proposal, *wire.Result) {
	current := s.newest()
	if c.GetBuilds() != current.GetNumber() {
		return nil, &wire.Result{Body: &wire.Result_Conflict{Conflict: &wire.Conflict{Winner: current}}}
	}
	if c.GetNumber() <= current.GetNumber() {
		return nil, refuse(Invalid, &wire.Fault{Field: "number", Expected: fmt.Sprintf("a number above the current %d", current.GetNumber())})
	}
	return s.propose(s.content, c)
}

// whole returns the content of a change that replaces everything, in the form that the store keeps.
func whole(w *wire.Content) *content {
	var sets []*wire.RuleSet
	for _, r := range w.GetSets() {
		sets = append(sets, normal(r))
	}
	slices.SortFunc(sets, func(a, b *wire.RuleSet) int { return strings.Compare(a.GetSet(), b.GetSet()) })
	register := w.GetRegister()
	if register == nil {
		register = &wire.Register{}
	}
	return newContent(register, sets, w.GetBounds())
}

// checkSets refuses what would be lost or misread when a whole content is stored.
func checkSets(sets []*wire.RuleSet) []*wire.Fault {
	var faults []*wire.Fault
	for _, r := range sets {
		if !config.ValidName(r.GetSet()) {
			faults = append(faults, &wire.Fault{Field: "sets", Expected: "the name of each rule set"})
		}
	}
	return faults
}

// Kinds of a part of a content in the marshalled form.
const (
	partRules uint64 = iota
	partRegister
	partBounds
)

func kindOf(p proto.Message) uint64 {
	switch p.(type) {
	case *wire.Register:
		return partRegister
	case *wire.Bounds:
		return partBounds
	}
	return partRules
}

// partOf returns an empty part of a kind, or nil for a kind that is not known.
func partOf(kind uint64) proto.Message {
	switch kind {
	case partRules:
		return new(wire.RuleSet)
	case partRegister:
		return new(wire.Register)
	case partBounds:
		return new(wire.Bounds)
	}
	return nil
}

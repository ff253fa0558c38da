package store

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// Maximum lengths of the texts of a change, in bytes.
const (
	MaxID     = 128
	MaxAuthor = 256
	MaxReason = 1024
)

// record is an accepted change in the history; content is nil once it has been evicted.
type record struct {
	accepted *wire.Accepted
	content  *content
}

// acceptedID maps the id of an accepted change to its result, so that a resend gets the same answer.
type acceptedID struct {
	id       string
	digest   string // bodyDigest of the change
	accepted *wire.Accepted
}

// partNameCustomers is the part of a change that sets the customers only.
const partNameCustomers = "customers"

// proposal is the effect of a change that passed all checks.
type proposal struct {
	content     *content
	part        string
	differences []*wire.Difference
}

// Changes returns the accepted changes in the history, newest last; callers must not modify the messages.
func (s *Store) Changes() []*wire.Accepted {
	list := make([]*wire.Accepted, 0, len(s.history))
	for _, r := range s.history {
		list = append(list, r.accepted)
	}
	return list
}

// Plan returns the result that Apply would return, without applying the change; a change that would be newly
// accepted has version 0.
func (s *Store) Plan(c *wire.Change) *wire.Result {
	p, answer := s.decide(c)
	if answer == nil {
		answer = acceptedResult(s.newAccepted(0, c, p))
	}
	answer.Version = s.snapshot.Version()
	return answer
}

func (s *Store) applyChange(index uint64, c *wire.Change, dirty *[]string) *wire.Result {
	p, answer := s.decide(c)
	if answer != nil {
		return answer
	}
	*dirty = append(*dirty, changedKeys(s.content, p.content, s.members)...)
	a := s.newAccepted(index, c, p)
	s.content = p.content
	*dirty = append(*dirty, s.abandonRollouts()...)
	s.appendHistory(&record{accepted: a, content: p.content.withoutEntries()})
	r := &acceptedID{id: c.GetId(), digest: bodyDigest(c), accepted: a}
	s.ids[r.id] = r
	s.idOrder = append(s.idOrder, r)
	return acceptedResult(a)
}

func (s *Store) newAccepted(version uint64, c *wire.Change, p *proposal) *wire.Accepted {
	return &wire.Accepted{
		Version:     version,
		Id:          c.GetId(),
		Author:      c.GetAuthor(),
		Reason:      c.GetReason(),
		Time:        s.time,
		Part:        p.part,
		Differences: p.differences,
		Number:      s.numberFor(c),
		Builds:      c.GetBuilds(),
	}
}

func acceptedResult(a *wire.Accepted) *wire.Result {
	return &wire.Result{Body: &wire.Result_Accepted{Accepted: a}}
}

func refusal(code string, faults ...*wire.Fault) *wire.Result {
	return &wire.Result{Body: &wire.Result_Refusal{Refusal: &wire.Refusal{Code: code, Faults: faults}}}
}

// decide returns the proposal of a valid new change, or else the result to answer with. It looks for a resend before it checks
// the base: once a change is accepted, its own base is no longer the newest version.
func (s *Store) decide(c *wire.Change) (*proposal, *wire.Result) {
	if faults := checkTexts(c); len(faults) > 0 {
		return nil, refusal(Invalid, faults...)
	}
	if a := s.ids[c.GetId()]; a != nil {
		if a.digest != bodyDigest(c) {
			return nil, refusal(Reused, &wire.Fault{Field: "id", Expected: fmt.Sprintf(
				"an unused id; change %d by %s has this id and other content", a.accepted.GetVersion(), a.accepted.GetAuthor())})
		}
		return nil, acceptedResult(a.accepted)
	}
	if c.GetNumber() > 0 {
		return s.decideNumbered(c)
	}
	if c.GetBase() > s.snapshot.Version() {
		return nil, refusal(Invalid, &wire.Fault{Field: "base", Expected: fmt.Sprintf(
			"a version of at most the current %d", s.snapshot.Version())})
	}
	if c.GetBase() < s.evictedVersion {
		return nil, refusal(Expired, &wire.Fault{Field: "base", Expected: fmt.Sprintf(
			"a version of at least %d; older changes are no longer in the history", s.evictedVersion)})
	}
	if conflict := s.conflict(c); conflict != nil {
		return nil, &wire.Result{Body: &wire.Result_Conflict{Conflict: conflict}}
	}
	return s.propose(s.content, c)
}

// conflict returns nil if no change was accepted after the base of c. Otherwise it returns the newest accepted change and the
// fields that both c and the changes after the base modify or, if there are none, all fields that the newest change modifies.
// If the content of the base is evicted, c counts as modifying the fields in which it differs from the current content.
func (s *Store) conflict(c *wire.Change) *wire.Conflict {
	base, first := &content{register: &wire.Register{}}, len(s.history)
	for first > 0 && s.history[first-1].accepted.GetVersion() > c.GetBase() {
		first--
	}
	if first == len(s.history) {
		return nil
	}
	if first > 0 {
		base = s.history[first-1].content
	}
	if base == nil {
		base = s.content
	}
	base = base.withEntries()
	winner := s.history[len(s.history)-1].accepted
	var theirs []*wire.Difference
	for _, r := range s.history[first:] {
		theirs = append(theirs, r.accepted.GetDifferences()...)
	}
	answer := &wire.Conflict{Winner: winner}
	if p, _ := s.propose(base, c); p != nil {
		answer.Fields = overlap(p.differences, theirs)
	}
	if len(answer.GetFields()) == 0 {
		for _, d := range winner.GetDifferences() {
			answer.Fields = append(answer.Fields, fieldPath(d))
		}
	}
	return answer
}

// propose applies a change to a content and validates the whole result.
func (s *Store) propose(base *content, c *wire.Change) (*proposal, *wire.Result) {
	p := &proposal{}
	switch b := c.GetBody().(type) {
	case *wire.Change_Register:
		p.part = "register"
		p.content = base.withRegister(b.Register)
	case *wire.Change_Rules:
		p.part = "rules/" + b.Rules.GetSet()
		// The validation below does not see the name of an empty set, since an empty set is removed.
		if !config.ValidName(b.Rules.GetSet()) {
			return nil, refusal(Invalid, &wire.Fault{Field: "set", Expected: "a valid name of a rule set"})
		}
		p.content = base.withRules(normalizeSet(b.Rules))
	case *wire.Change_Customers:
		p.part = partNameCustomers
		p.content = newContent(base.withCustomers(b.Customers.GetCustomers(), base), base)
	case *wire.Change_Content:
		p.part = "content"
		if faults := checkSetNames(b.Content.GetSets()); len(faults) > 0 {
			return nil, refusal(Invalid, faults...)
		}
		p.content = contentFromWire(b.Content, base)
	case *wire.Change_Edit:
		p.part = "content"
		w := base.expand(c)
		if w == nil {
			return nil, refusal(Mismatch, &wire.Fault{Field: "edit", Expected: "an edit of the newest content; send the whole content"})
		}
		if faults := checkSetNames(w.GetSets()); len(faults) > 0 {
			return nil, refusal(Invalid, faults...)
		}
		p.content = contentFromWire(w, base)
	case *wire.Change_Revert:
		p.part = fmt.Sprintf("revert/%d", b.Revert)
		// The customers stay as they are in the base, since those of the older version may hold keys that were withdrawn since.
		for _, r := range s.history {
			if r.accepted.GetVersion() == b.Revert && r.content != nil {
				p.content = newContent(r.content.withCustomers(base.customers.GetCustomers(), base), base)
			}
		}
		if p.content == nil {
			return nil, refusal(Missing, &wire.Fault{Field: "revert", Expected: fmt.Sprintf(
				"the version of a change whose content is still in the history, not %d", b.Revert)})
		}
	default:
		return nil, refusal(Invalid, &wire.Fault{Field: "body", Expected: "a register, rules, customers, a whole content or version to revert to"})
	}
	if err := config.Validate(p.content.wire()); err != nil {
		return nil, refusal(Invalid, validationFaults(err)...)
	}
	p.differences = differences(base, p.content)
	return p, nil
}

func validationFaults(err error) []*wire.Fault {
	var e *config.InvalidError
	if errors.As(err, &e) {
		return e.Wire()
	}
	return []*wire.Fault{{Field: "file", Expected: err.Error()}}
}

func checkTexts(c *wire.Change) []*wire.Fault {
	var faults []*wire.Fault
	check := func(field, value string, limit int) {
		if len(value) > limit || !utf8.ValidString(value) || strings.ContainsRune(value, 0) {
			faults = append(faults, &wire.Fault{Field: field, Expected: fmt.Sprintf("UTF-8 text without NUL, %d bytes at most", limit)})
		}
	}
	check("id", c.GetId(), MaxID)
	check("author", c.GetAuthor(), MaxAuthor)
	check("reason", c.GetReason(), MaxReason)
	if c.GetId() == "" {
		faults = append(faults, &wire.Fault{Field: "id", Expected: "a non-empty id"})
	}
	return faults
}

// bodyDigest returns the SHA-256 of the body, number and builds of a change; an edit carries the digest of its whole content. The
// base is left out, since a tool may read a newer base before it resends a change.
func bodyDigest(c *wire.Change) string {
	if e := c.GetEdit(); e != nil {
		return string(e.GetDigest())
	}
	body := &wire.Change{Body: c.GetBody(), Number: c.GetNumber(), Builds: c.GetBuilds()}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return ""
	}
	hash := sha256.Sum256(data)
	return string(hash[:])
}

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

// Bounds of the texts of a change, in bytes.
const (
	MaxID     = 128
	MaxAuthor = 256
	MaxReason = 1024
)

// record is one accepted change; content is nil once it is out of retention.
type record struct {
	accepted *wire.Accepted
	content  *content
}

// answered remembers the answer to a change id.
type answered struct {
	id       string
	sum      string // SHA-256 of the body
	accepted *wire.Accepted
}

// proposal is a change that passed all checks.
type proposal struct {
	content     *content
	part        string
	differences []*wire.Difference
}

// Changes returns the accepted changes that are kept, newest last; the messages must not be modified.
func (s *Store) Changes() []*wire.Accepted {
	list := make([]*wire.Accepted, 0, len(s.history))
	for _, r := range s.history {
		list = append(list, r.accepted)
	}
	return list
}

// Plan answers a change as Apply would, without effect. The planned answer has version 0, since no version is given.
func (s *Store) Plan(c *wire.Change) *wire.Result {
	p, answer := s.decide(c)
	if answer == nil {
		answer = accept(s.accepted(0, c, p))
	}
	answer.Version = s.snapshot.Version()
	return answer
}

func (s *Store) change(index uint64, c *wire.Change, dirty *[]string) *wire.Result {
	p, answer := s.decide(c)
	if answer != nil {
		return answer
	}
	*dirty = append(*dirty, changedKeys(s.content, p.content, s.members)...)
	a := s.accepted(index, c, p)
	s.content = p.content
	s.keep(&record{accepted: a, content: p.content.bare()})
	r := &answered{id: c.GetId(), sum: sum(c), accepted: a}
	s.ids[r.id] = r
	s.order = append(s.order, r)
	return accept(a)
}

func (s *Store) accepted(version uint64, c *wire.Change, p *proposal) *wire.Accepted {
	return &wire.Accepted{
		Version:     version,
		Id:          c.GetId(),
		Author:      c.GetAuthor(),
		Reason:      c.GetReason(),
		Time:        s.time,
		Part:        p.part,
		Differences: p.differences,
		Number:      s.number(c),
		Builds:      c.GetBuilds(),
	}
}

func accept(a *wire.Accepted) *wire.Result {
	return &wire.Result{Body: &wire.Result_Accepted{Accepted: a}}
}

func refuse(code string, faults ...*wire.Fault) *wire.Result {
	return &wire.Result{Body: &wire.Result_Refusal{Refusal: &wire.Refusal{Code: code, Faults: faults}}}
}

// decide returns either what the change would do or its answer. The order matters: a resend is recognized before its
// base is judged, because its own acceptance made that base old.
func (s *Store) decide(c *wire.Change) (*proposal, *wire.Result) {
	if faults := checkTexts(c); len(faults) > 0 {
		return nil, refuse(Invalid, faults...)
	}
	if a := s.ids[c.GetId()]; a != nil {
		if a.sum != sum(c) {
			return nil, refuse(Reused, &wire.Fault{Field: "id", Expected: fmt.Sprintf(
				"an id that is not in use; change %d by %s has it with other content", a.accepted.GetVersion(), a.accepted.GetAuthor())})
		}
		return nil, accept(a.accepted)
	}
	if c.GetNumber() > 0 {
		return s.decideNumbered(c)
	}
	if c.GetBase() > s.snapshot.Version() {
		return nil, refuse(Invalid, &wire.Fault{Field: "base", Expected: fmt.Sprintf(
			"a version up to the current %d", s.snapshot.Version())})
	}
	if c.GetBase() < s.forgotten {
		return nil, refuse(Expired, &wire.Fault{Field: "base", Expected: fmt.Sprintf(
			"a version of at least %d, where the kept history begins", s.forgotten)})
	}
	if conflict := s.conflict(c); conflict != nil {
		return nil, &wire.Result{Body: &wire.Result_Conflict{Conflict: conflict}}
	}
	return s.propose(s.content, c)
}

// conflict names the newest change above the base, and what it and the others above the base share with the proposed one.
func (s *Store) conflict(c *wire.Change) *wire.Conflict {
	base, at := &content{register: &wire.Register{}}, len(s.history)
	for at > 0 && s.history[at-1].accepted.GetVersion() > c.GetBase() {
		at--
	}
	if at == len(s.history) {
		return nil
	}
	if at > 0 {
		base = s.history[at-1].content
	}
	if base == nil {
		base = s.content
	}
	base = base.full()
	winner := s.history[len(s.history)-1].accepted
	var theirs []*wire.Difference
	for _, r := range s.history[at:] {
		theirs = append(theirs, r.accepted.GetDifferences()...)
	}
	answer := &wire.Conflict{Winner: winner}
	if p, _ := s.propose(base, c); p != nil {
		answer.Fields = overlap(p.differences, theirs)
	}
	if len(answer.GetFields()) == 0 {
		for _, d := range winner.GetDifferences() {
			answer.Fields = append(answer.Fields, label(d))
		}
	}
	return answer
}

// propose applies a change to content and validates the result as a whole.
func (s *Store) propose(base *content, c *wire.Change) (*proposal, *wire.Result) {
	p := &proposal{}
	switch b := c.GetBody().(type) {
	case *wire.Change_Register:
		p.part = "register"
		p.content = newContent(b.Register, base.sets, base.bounds)
	case *wire.Change_Rules:
		p.part = "rules/" + b.Rules.GetSet()
		// Checked here as well, since an empty set is removed and so never reaches the validation below.
		if !config.ValidName(b.Rules.GetSet()) {
			return nil, refuse(Invalid, &wire.Fault{Field: "set", Expected: "the name of a rule set"})
		}
		p.content = base.withRules(normal(b.Rules))
	case *wire.Change_Content:
		p.part = "content"
		if faults := checkSets(b.Content.GetSets()); len(faults) > 0 {
			return nil, refuse(Invalid, faults...)
		}
		p.content = whole(b.Content)
	case *wire.Change_Edit:
		p.part = "content"
		w := base.expand(c)
		if w == nil {
			return nil, refuse(Mismatch, &wire.Fault{Field: "edit", Expected: "an edit of the newest content; send the whole one"})
		}
		if faults := checkSets(w.GetSets()); len(faults) > 0 {
			return nil, refuse(Invalid, faults...)
		}
		p.content = whole(w)
	case *wire.Change_Revert:
		p.part = fmt.Sprintf("revert/%d", b.Revert)
		for _, r := range s.history {
			if r.accepted.GetVersion() == b.Revert && r.content != nil {
				p.content = r.content.full()
			}
		}
		if p.content == nil {
			return nil, refuse(Missing, &wire.Fault{Field: "revert", Expected: fmt.Sprintf(
				"the version of a change whose content is kept, not %d", b.Revert)})
		}
	default:
		return nil, refuse(Invalid, &wire.Fault{Field: "body", Expected: "a register, rules, a whole content or a version to revert to"})
	}
	if err := config.Validate(p.content.wire()); err != nil {
		return nil, refuse(Invalid, faultsOf(err)...)
	}
	p.differences = differences(base, p.content)
	return p, nil
}

func faultsOf(err error) []*wire.Fault {
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
			faults = append(faults, &wire.Fault{Field: field, Expected: fmt.Sprintf("text of at most %d bytes", limit)})
		}
	}
	check("id", c.GetId(), MaxID)
	check("author", c.GetAuthor(), MaxAuthor)
	check("reason", c.GetReason(), MaxReason)
	if c.GetId() == "" {
		faults = append(faults, &wire.Fault{Field: "id", Expected: "an id"})
	}
	return faults
}

// sum identifies the content of a change, also where an edit stands for it; the base is left out, since a tool that resends may
// have read a newer one.
func sum(c *wire.Change) string {
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

package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/internal/pack"
	"godwitspindle/core/wire"
)

// formatVersion is the version of the marshalled state.
const formatVersion = 1

// StateError reports that the state could not be marshalled or restored.
type StateError struct{ Err error }

// Error returns the cause and says that it concerns the replicated state.
func (e *StateError) Error() string { return fmt.Sprintf("replicated state: %v", e.Err) }

// Unwrap lets errors.Is and errors.As find the cause.
func (e *StateError) Unwrap() error { return e.Err }

// Marshal encodes the whole state; equal states give equal bytes. Registers, rule sets, bounds and customers that versions
// share are written once.
func (s *Store) Marshal() ([]byte, error) {
	w := new(pack.Writer)
	w.Uint(formatVersion)
	w.Uint(s.index)
	w.Int(s.time)
	w.Uint(s.evictedVersion)
	err := s.writeHistory(w)
	for _, f := range []func() ([]byte, error){s.snapshot.Marshal, s.claims.Marshal, s.quarantine.Marshal, s.members.marshal} {
		if err != nil {
			break
		}
		var data []byte
		data, err = f()
		w.Bytes(data)
	}
	if err != nil {
		return nil, &StateError{Err: err}
	}
	return w.Data(), nil
}

// writeHistory writes each distinct part once, then the contents as lists of part numbers, then the history's
// changes, then all kept ids.
func (s *Store) writeHistory(w *pack.Writer) error {
	numbers := make(map[proto.Message]uint64)
	var parts []proto.Message
	contents := []*content{s.content}
	for _, r := range s.history {
		contents = append(contents, r.content)
	}
	for _, c := range contents {
		if c == nil {
			continue
		}
		for _, p := range c.parts() {
			if _, known := numbers[p]; !known {
				numbers[p] = uint64(len(parts))
				parts = append(parts, p)
			}
		}
	}
	w.Uint(uint64(len(parts)))
	for _, p := range parts {
		w.Uint(partKind(p))
		if err := w.Message(p); err != nil {
			return err
		}
	}
	w.Uint(uint64(len(contents)))
	for _, c := range contents {
		if c == nil {
			w.Uint(0)
			continue
		}
		list := c.parts()
		w.Uint(uint64(len(list)))
		for _, p := range list {
			w.Uint(numbers[p])
		}
	}
	for _, r := range s.history {
		if err := w.Message(r.accepted); err != nil {
			return err
		}
	}
	return s.writeIDs(w)
}

// writeIDs writes the digest and the change of each accepted id; a change in the history is written as its version only.
func (s *Store) writeIDs(w *pack.Writer) error {
	kept := make(map[*wire.Accepted]bool, len(s.history))
	for _, r := range s.history {
		kept[r.accepted] = true
	}
	w.Uint(uint64(len(s.idOrder)))
	for _, a := range s.idOrder {
		w.Text(a.digest)
		w.Bool(kept[a.accepted])
		if kept[a.accepted] {
			w.Uint(a.accepted.GetVersion())
			continue
		}
		if err := w.Message(a.accepted); err != nil {
			return err
		}
	}
	return nil
}

// Restore replaces the state by a marshalled one; on an error (*StateError) the store is unchanged.
func (s *Store) Restore(data []byte) error {
	n := New()
	// Claims are restored last and in place, so that the table keeps its configured limits.
	r := pack.NewReader(data)
	if v := r.Uint(); r.Err() == nil && v != formatVersion {
		return &StateError{Err: &pack.Error{Detail: fmt.Sprintf("unsupported format %d, want %d", v, formatVersion)}}
	}
	n.index = r.Uint()
	n.time = r.Int()
	n.evictedVersion = r.Uint()
	n.readHistory(r)
	snapshot, claims, suspects, members := r.Bytes(), r.Bytes(), r.Bytes(), r.Bytes()
	if err := r.Close(); err != nil {
		return &StateError{Err: err}
	}
	var err error
	if n.snapshot, err = config.Unmarshal(snapshot); err != nil {
		return &StateError{Err: err}
	}
	n.rollouts = n.snapshot.Rollouts() // the snapshot holds all of their state
	if err := n.quarantine.Restore(suspects); err != nil {
		return &StateError{Err: err}
	}
	if n.members, err = unmarshalMembers(members); err != nil {
		return &StateError{Err: err}
	}
	if err := s.claims.Restore(claims); err != nil {
		return &StateError{Err: err}
	}
	n.claims = s.claims
	n.contentBytes = MaxContentBytes + 1 // above the limit, so that the next change makes trimContents compute it
	*s = *n
	return nil
}

func (s *Store) readHistory(r *pack.Reader) {
	var parts []proto.Message
	for range r.Count() {
		m := newPart(r.Uint())
		if m == nil {
			r.Fail("unknown kind of part; a register, a rule set, bounds or customers expected")
			return
		}
		r.Message(m)
		parts = append(parts, m)
	}
	var contents []*content
	for range r.Count() {
		contents = append(contents, readContent(r, parts))
	}
	if len(contents) == 0 || contents[0] == nil {
		r.Fail("current content missing")
		return
	}
	s.content = contents[0].withEntries()
	byVersion := make(map[uint64]*wire.Accepted)
	for _, c := range contents[1:] {
		a := new(wire.Accepted)
		r.Message(a)
		s.history = append(s.history, &record{accepted: a, content: c})
		byVersion[a.GetVersion()] = a
	}
	for range r.Count() {
		a := &acceptedID{digest: r.Text()}
		if r.Bool() {
			a.accepted = byVersion[r.Uint()]
		} else {
			a.accepted = new(wire.Accepted)
			r.Message(a.accepted)
		}
		a.id = a.accepted.GetId()
		s.ids[a.id] = a
		s.idOrder = append(s.idOrder, a)
	}
}

func readContent(r *pack.Reader, parts []proto.Message) *content {
	c := new(content)
	count := r.Count()
	for range count {
		n := r.Uint()
		if n >= uint64(len(parts)) {
			r.Fail("part number out of range")
			return nil
		}
		switch p := parts[n].(type) {
		case *wire.Register:
			c.register = p
		case *wire.RuleSet:
			c.sets = append(c.sets, p)
		case *wire.Bounds:
			c.bounds = p
		case *wire.Content:
			c.customers = p
		}
	}
	if count == 0 {
		return nil
	}
	return c
}

func (m *members) marshal() ([]byte, error) {
	w := new(pack.Writer)
	c := &wire.Membership{}
	for _, k := range slices.Sorted(maps.Keys(m.nodes)) {
		c.Joins = append(c.Joins, m.nodes[k])
	}
	for _, k := range slices.Sorted(maps.Keys(m.endpoints)) {
		c.Endpoints = append(c.Endpoints, m.endpoints[k])
	}
	c.Unlisted = m.unlisted()
	if err := w.Message(c); err != nil {
		return nil, err
	}
	w.Uint(uint64(len(m.retired)))
	for _, k := range m.retired {
		w.Text(k)
		w.Uint(uint64(len(m.former[k].ended)))
		for _, n := range m.former[k].ended {
			w.Uint(n)
		}
	}
	return w.Data(), nil
}

// unlisted returns the processes that were listed last, of endpoints that were unlisted without a departure.
func (m *members) unlisted() []*wire.Departure {
	var list []*wire.Departure
	for _, k := range m.retired {
		if f := m.former[k]; f.last != 0 {
			_, endpoint, _ := strings.Cut(k, "/")
			service, name, _ := strings.Cut(endpoint, "/")
			list = append(list, &wire.Departure{Service: service, Name: name, Incarnation: f.last})
		}
	}
	return list
}

func unmarshalMembers(data []byte) (*members, error) {
	m := newMembers()
	r := pack.NewReader(data)
	c := new(wire.Membership)
	r.Message(c)
	for _, n := range c.GetJoins() {
		m.nodes[n.GetName()] = n
	}
	for _, e := range c.GetEndpoints() {
		m.endpoints[e.GetService()+"/"+e.GetName()] = e
	}
	for range r.Count() {
		k, f := r.Text(), &former{}
		m.retired = append(m.retired, k)
		m.former[k] = f
		for range r.Count() {
			f.ended = append(f.ended, r.Uint())
		}
	}
	for _, d := range c.GetUnlisted() {
		if f := m.former[config.KeyOf(&wire.Endpoint{Service: d.GetService(), Name: d.GetName()})]; f != nil {
			f.last = d.GetIncarnation()
		}
	}
	return m, r.Close()
}

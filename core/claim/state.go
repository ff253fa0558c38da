package claim

import (
	"container/list"
	"fmt"

	"godwitspindle/core/internal/pack"
	"godwitspindle/core/wire"
)

// StateError reports that claims cannot be marshaled or restored.
type StateError struct{ Err error }

// Error returns the cause, preceded by "claims: ".
func (e *StateError) Error() string { return fmt.Sprintf("claims: %v", e.Err) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Err }

// Marshal returns the claims in a deterministic encoding; it fails with *StateError.
func (t *Table) Marshal() ([]byte, error) {
	var w pack.Writer
	w.Uint(uint64(len(t.claims)))
	for _, l := range []*list.List{t.granted, t.freeClaims} {
		for e := l.Front(); e != nil; e = e.Next() {
			r, _ := e.Value.(*record)
			if err := r.write(&w); err != nil {
				return nil, &StateError{Err: err}
			}
		}
	}
	return w.Data(), nil
}

func (r *record) write(w *pack.Writer) error {
	w.Text(r.route)
	w.Text(r.key)
	w.Uint(uint64(r.state))
	w.Text(r.fingerprint)
	w.Text(r.owner)
	w.Int(r.deadline)
	w.Int(r.since)
	w.Uint(uint64(len(r.released)))
	for _, o := range r.released {
		w.Text(o.owner)
		w.Int(o.deadline)
	}
	w.Bool(r.answer != nil)
	if r.answer == nil {
		return nil
	}
	return w.Message(r.answer)
}

// Restore replaces the table's claims by marshaled ones; if it fails with *StateError, the table is unchanged.
func (t *Table) Restore(data []byte) error {
	n := &Table{}
	n.clear()
	in := pack.NewReader(data)
	for range in.Count() {
		r := readRecord(in)
		if in.Err() != nil {
			break
		}
		n.claims[r.id] = r
		n.bytes += r.size()
		r.element = n.listOf(r.state).PushBack(r)
	}
	if err := in.Close(); err != nil {
		return &StateError{Err: err}
	}
	t.claims, t.granted, t.freeClaims, t.bytes = n.claims, n.granted, n.freeClaims, n.bytes
	return nil
}

func readRecord(in *pack.Reader) *record {
	r := &record{id: id{route: in.Text(), key: in.Text()}}
	r.state = state(in.Uint())
	r.fingerprint = in.Text()
	r.owner = in.Text()
	r.deadline = in.Int()
	r.since = in.Int()
	for range in.Count() {
		r.released = append(r.released, releasedAttempt{owner: in.Text(), deadline: in.Int()})
	}
	if in.Bool() {
		r.answer = new(wire.Answer)
		in.Message(r.answer)
	}
	return r
}

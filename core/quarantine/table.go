package quarantine

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"godwitspindle/core/internal/pack"
	"godwitspindle/core/wire"
)

// Bounds of the table. All replicas must use the same.
const (
	Retention      = 10 * time.Minute // of a suspect, by state time since its last mark
	MaxCount       = 1024             // suspects
	MaxFingerprint = 64               // bytes
	maxSources     = 16               // crashes remembered for each suspect to recognize a resent mark
)

// source is one crash: a process of an endpoint crashes at most once.
type source struct {
	endpoint    string
	incarnation uint64
}

// mark is what is kept of one fingerprint; a cleared one stays for its sources, so that a resent mark does not bring it back.
type mark struct {
	suspect *wire.Suspect
	cleared bool
	sources []source
	place   *list.Element
}

// Table holds the agreed suspects; it is not safe for concurrent use.
type Table struct {
	marks map[string]*mark
	order *list.List // oldest mark first
}

// New returns an empty table.
func New() *Table { return &Table{marks: make(map[string]*mark), order: list.New()} }

// Len returns the number of fingerprints that are kept, cleared ones included.
func (t *Table) Len() int { return len(t.marks) }

// Suspect returns the suspect with a fingerprint; the message must not be modified.
func (t *Table) Suspect(fingerprint []byte) (*wire.Suspect, bool) {
	m := t.marks[string(fingerprint)]
	if m == nil || m.cleared {
		return nil, false
	}
	return m.suspect, true
}

// Apply carries out marks at state time now and returns the fingerprints whose suspects changed, each once, in order.
func (t *Table) Apply(now time.Time, marks []*wire.Mark) []string {
	changed := t.Expire(now)
	for _, m := range marks {
		if len(m.GetFingerprint()) == 0 || len(m.GetFingerprint()) > MaxFingerprint {
			continue
		}
		changed = append(changed, t.apply(now, m)...)
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

// Expire forgets suspects without a mark for the retention, and returns their fingerprints.
func (t *Table) Expire(now time.Time) []string {
	var changed []string
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		m, _ := e.Value.(*mark)
		if m.suspect.GetUntil() > now.UnixMilli() {
			break
		}
		changed = append(changed, t.drop(m))
	}
	return changed
}

func (t *Table) drop(m *mark) string {
	fingerprint := string(m.suspect.GetFingerprint())
	t.order.Remove(m.place)
	delete(t.marks, fingerprint)
	return fingerprint
}

func (t *Table) apply(now time.Time, c *wire.Mark) []string {
	fingerprint := string(c.GetFingerprint())
	m := t.marks[fingerprint]
	if c.GetKind() == wire.MarkKind_MARK_KIND_CLEARED {
		return t.clear(m)
	}
	confirmed := c.GetKind() == wire.MarkKind_MARK_KIND_CONFIRMED
	if !confirmed && c.GetKind() != wire.MarkKind_MARK_KIND_CRASHED {
		return nil
	}
	from := source{endpoint: c.GetEndpoint(), incarnation: c.GetIncarnation()}
	if m != nil && slices.Contains(m.sources, from) {
		return nil
	}
	var changed []string
	if m == nil {
		dropped, ok := t.room(confirmed)
		if !ok {
			return nil
		}
		changed = dropped
		m = &mark{suspect: &wire.Suspect{}}
		m.place = t.order.PushBack(m)
		t.marks[fingerprint] = m
	}
	m.sources = append(m.sources, from)
	if over := len(m.sources) - maxSources; over > 0 {
		m.sources = slices.Delete(m.sources, 0, over)
	}
	crashes := m.suspect.GetCrashes() + 1
	if m.cleared {
		crashes = 1
	}
	m.cleared = false
	// A new message, since the old one may be in use by readers of a snapshot.
	m.suspect = &wire.Suspect{
		Fingerprint: c.GetFingerprint(),
		Crashes:     crashes,
		Quarantined: m.suspect.GetQuarantined() || confirmed,
		Until:       now.Add(Retention).UnixMilli(),
	}
	t.order.MoveToBack(m.place)
	return append(changed, fingerprint)
}

// clear ends the suspicion; a quarantined request stays out until its time is over.
func (t *Table) clear(m *mark) []string {
	if m == nil || m.cleared || m.suspect.GetQuarantined() {
		return nil
	}
	m.cleared = true
	return []string{string(m.suspect.GetFingerprint())}
}

// room makes room for one suspect: the oldest cleared one goes first, then the oldest that is not quarantined. A
// quarantined one goes only for a confirmed one.
func (t *Table) room(confirmed bool) ([]string, bool) {
	if len(t.marks) < MaxCount {
		return nil, true
	}
	var victim *mark
	for e := t.order.Front(); e != nil; e = e.Next() {
		m, _ := e.Value.(*mark)
		if m.cleared {
			victim = m
			break
		}
		if victim == nil && !m.suspect.GetQuarantined() {
			victim = m
		}
	}
	if victim == nil && !confirmed {
		return nil, false
	}
	if victim == nil {
		victim, _ = t.order.Front().Value.(*mark)
	}
	return []string{t.drop(victim)}, true
}

// StateError reports marshalled suspects that cannot be restored.
type StateError struct{ Err error }

// Error formats the failure.
func (e *StateError) Error() string { return fmt.Sprintf("suspects: %v", e.Err) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Err }

// Marshal returns the table in a deterministic form.
func (t *Table) Marshal() ([]byte, error) {
	var w pack.Writer
	w.Uint(uint64(len(t.marks)))
	for e := t.order.Front(); e != nil; e = e.Next() {
		m, _ := e.Value.(*mark)
		if err := w.Message(m.suspect); err != nil {
			return nil, &StateError{Err: err}
		}
		w.Bool(m.cleared)
		w.Uint(uint64(len(m.sources)))
		for _, s := range m.sources {
			w.Text(s.endpoint)
			w.Uint(s.incarnation)
		}
	}
	return w.Data(), nil
}

// Restore replaces the suspects by marshalled ones; on an error (*StateError) the table is unchanged.
func (t *Table) Restore(data []byte) error {
	n := New()
	in := pack.NewReader(data)
	for range in.Count() {
		m := &mark{suspect: new(wire.Suspect)}
		in.Message(m.suspect)
		m.cleared = in.Bool()
		for range in.Count() {
			m.sources = append(m.sources, source{endpoint: in.Text(), incarnation: in.Uint()})
		}
		m.place = n.order.PushBack(m)
		n.marks[string(m.suspect.GetFingerprint())] = m
	}
	if err := in.Close(); err != nil {
		return &StateError{Err: err}
	}
	if len(n.marks) != n.order.Len() {
		return &StateError{Err: &pack.Error{Detail: "a fingerprint twice"}}
	}
	*t = *n
	return nil
}

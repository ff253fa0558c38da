package quarantine

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"godwitspindle/core/internal/pack"
	"godwitspindle/core/wire"
)

// Limits of the table, which must be the same on all replicas.
const (
	Retention      = 10 * time.Minute // time for which a suspect is kept after its last crash, by state time
	MaxCount       = 1024             // maximum number of fingerprints, including cleared ones
	MaxFingerprint = 64               // maximum length of a fingerprint in bytes
	maxSources     = 16               // maximum number of crashes kept per fingerprint to detect resent marks
)

// source identifies one crash: each incarnation of an endpoint crashes at most once.
type source struct {
	endpoint    string
	incarnation uint64
}

// mark is the state of one fingerprint. A cleared mark stays until it expires: its sources show that a resent crash is already
// counted, so that the crash does not restore the suspect.
type mark struct {
	suspect *wire.Suspect
	cleared bool
	sources []source // latest crashes, oldest first
	element *list.Element
}

// Table holds the replicated suspects; it is not safe for concurrent use.
type Table struct {
	marks map[string]*mark
	order *list.List // marks in the order of their last crash, oldest first
}

// New returns an empty table.
func New() *Table { return &Table{marks: make(map[string]*mark), order: list.New()} }

// Len returns the number of fingerprints in the table, including cleared ones.
func (t *Table) Len() int { return len(t.marks) }

// Suspect returns the suspect with the given fingerprint, unless there is none or it is cleared. The caller must not modify the
// message.
func (t *Table) Suspect(fingerprint []byte) (*wire.Suspect, bool) {
	m := t.marks[string(fingerprint)]
	if m == nil || m.cleared {
		return nil, false
	}
	return m.suspect, true
}

// Apply expires suspects, applies marks at state time now and returns the fingerprints that changed, sorted and without
// duplicates. It ignores malformed marks.
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

// Expire removes suspects whose retention has ended, also cleared ones, and returns their fingerprints.
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
	t.order.Remove(m.element)
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
		dropped, ok := t.makeRoom(confirmed)
		if !ok {
			return nil
		}
		changed = dropped
		m = &mark{suspect: &wire.Suspect{}}
		m.element = t.order.PushBack(m)
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
	// Allocate a new message: readers of a snapshot may still use the old one.
	m.suspect = &wire.Suspect{
		Fingerprint: c.GetFingerprint(),
		Crashes:     crashes,
		Quarantined: m.suspect.GetQuarantined() || confirmed,
		Until:       now.Add(Retention).UnixMilli(),
	}
	t.order.MoveToBack(m.element)
	return append(changed, fingerprint)
}

// clear clears a suspect and returns its fingerprint, or nil if there is none or it is already cleared or quarantined.
func (t *Table) clear(m *mark) []string {
	if m == nil || m.cleared || m.suspect.GetQuarantined() {
		return nil
	}
	m.cleared = true
	return []string{string(m.suspect.GetFingerprint())}
}

// makeRoom evicts a mark if the table is full: the oldest cleared one, else the oldest that is not quarantined. If
// all are quarantined, only a confirmed mark evicts the oldest. It returns the evicted fingerprint and whether there is room.
func (t *Table) makeRoom(confirmed bool) ([]string, bool) {
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

// StateError reports that suspects cannot be marshaled or restored.
type StateError struct{ Err error }

// Error returns the cause, preceded by "suspects: ".
func (e *StateError) Error() string { return fmt.Sprintf("suspects: %v", e.Err) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Err }

// Marshal encodes the table deterministically; it fails with *StateError.
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

// Restore replaces the table by marshaled state; if it fails with *StateError, the table is unchanged.
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
		m.element = n.order.PushBack(m)
		n.marks[string(m.suspect.GetFingerprint())] = m
	}
	if err := in.Close(); err != nil {
		return &StateError{Err: err}
	}
	if len(n.marks) != n.order.Len() {
		return &StateError{Err: &pack.Error{Detail: "duplicate fingerprint"}}
	}
	*t = *n
	return nil
}

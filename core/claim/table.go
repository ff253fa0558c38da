package claim

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Bounds of the table. All replicas must use the same.
const (
	Retention   = 24 * time.Hour   // of a claim by state time, from its grant
	MaxDeadline = 10 * time.Minute // of an acquire above state time; twice the longest route deadline, for clock skew
	MaxAnswer   = 16 << 10         // bytes of a stored answer
	MaxCount    = 400_000          // claims; 4.6 new ones a second over the whole retention
	MaxBytes    = 128 << 20        // bytes of claims and answers
	MaxText     = 512              // bytes of a route, key, fingerprint or owner
	maxReleased = 32               // released owners remembered for one claim
	overhead    = 256              // bytes of bookkeeping counted for each claim
)

type id struct{ route, key string }

type state uint8

const (
	running state = iota + 1
	done
	free // only released owners are remembered
)

type record struct {
	id
	state       state
	fingerprint string
	owner       string
	deadline    int64 // Unix milliseconds
	since       int64 // grant, or for a free claim the release; Unix milliseconds
	answer      *wire.Answer
	released    []released
	place       *list.Element // in Table.kept or Table.freed
}

type released struct {
	owner    string
	deadline int64 // of the attempt, Unix milliseconds
}

// Table holds all claims; it is not safe for concurrent use.
type Table struct {
	claims   map[id]*record
	kept     *list.List // running and done, oldest grant first
	freed    *list.List // free, oldest release first
	bytes    int
	maxCount int
	maxBytes int
}

// Option changes a table that is being made.
type Option func(*Table)

// WithBounds sets the greatest number of claims and of their bytes.
func WithBounds(count, bytes int) Option {
	return func(t *Table) { t.maxCount, t.maxBytes = count, bytes }
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{maxCount: MaxCount, maxBytes: MaxBytes}
	t.clear()
	for _, o := range opts {
		o(t)
	}
	return t
}

func (t *Table) clear() {
	t.claims = make(map[id]*record)
	t.kept, t.freed, t.bytes = list.New(), list.New(), 0
}

// Len returns the number of claims that are kept.
func (t *Table) Len() int { return len(t.claims) }

// Bytes returns the size that counts against the bound.
func (t *Table) Bytes() int { return t.bytes }

// Apply carries out one claim command at state time now.
func (t *Table) Apply(now time.Time, c *wire.Claim) *wire.ClaimResult {
	t.Expire(now)
	if oversize(c) {
		return refused()
	}
	ms := now.UnixMilli()
	r := t.claims[id{c.GetRoute(), c.GetKey()}]
	switch c.GetKind() {
	case wire.ClaimKind_CLAIM_KIND_ACQUIRE:
		return t.acquire(ms, c, r)
	case wire.ClaimKind_CLAIM_KIND_FINISH:
		return t.finish(c, r)
	case wire.ClaimKind_CLAIM_KIND_RELEASE:
		return t.release(ms, c, r)
	}
	return refused()
}

func oversize(c *wire.Claim) bool {
	longest := max(len(c.GetRoute()), len(c.GetKey()), len(c.GetFingerprint()), len(c.GetOwner()))
	return longest > MaxText || c.GetOwner() == "" || c.GetKey() == ""
}

func refused() *wire.ClaimResult {
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_REFUSED}
}

// Expire forgets claims past their retention; the cost is one step for each forgotten claim.
func (t *Table) Expire(now time.Time) {
	t.expire(t.kept, now.Add(-Retention).UnixMilli())
	// A released attempt's deadline is at most MaxDeadline above its grant, so after that it needs no memory.
	t.expire(t.freed, now.Add(-MaxDeadline).UnixMilli())
}

func (t *Table) expire(l *list.List, before int64) {
	for e := l.Front(); e != nil; e = l.Front() {
		r, _ := e.Value.(*record)
		if r.since >= before {
			return
		}
		l.Remove(e)
		t.bytes -= r.size()
		delete(t.claims, r.id)
	}
}

func (r *record) size() int {
	n := overhead + len(r.route) + len(r.key) + len(r.fingerprint) + len(r.owner) + proto.Size(r.answer)
	for _, o := range r.released {
		n += len(o.owner) + overhead/8
	}
	return n
}

func (t *Table) acquire(now int64, c *wire.Claim, r *record) *wire.ClaimResult {
	if r == nil || r.state == free {
		return t.grant(now, c, r)
	}
	if r.fingerprint != string(c.GetFingerprint()) {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_MISMATCH}
	}
	if r.state == done {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_DONE, Answer: r.answer, Deadline: r.deadline}
	}
	if now > r.deadline {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_UNKNOWN, Deadline: r.deadline}
	}
	if r.owner == c.GetOwner() {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_GRANTED, Deadline: r.deadline}
	}
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_RUNNING, Deadline: r.deadline}
}

// grant gives a free claim to an attempt, unless that attempt was released, is too late, or the table is full.
func (t *Table) grant(now int64, c *wire.Claim, r *record) *wire.ClaimResult {
	if c.GetDeadline() < now || c.GetDeadline() > now+MaxDeadline.Milliseconds() {
		return refused()
	}
	if r.knows(c.GetOwner()) || r.crowded(now) {
		return refused()
	}
	if r == nil {
		if t.full(c) {
			return refused()
		}
		r = t.add(c)
	}
	t.change(r, func() {
		r.state = running
		r.fingerprint, r.owner, r.deadline = string(c.GetFingerprint()), c.GetOwner(), c.GetDeadline()
		r.since, r.answer = now, nil
		r.prune(now)
	})
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_GRANTED, Deadline: r.deadline}
}

func (r *record) knows(owner string) bool {
	if r == nil {
		return false
	}
	for _, o := range r.released {
		if o.owner == owner {
			return true
		}
	}
	return false
}

// full reports whether the table has no room for a new claim; room for the largest claim without an answer is kept.
func (t *Table) full(c *wire.Claim) bool {
	need := overhead + proto.Size(c)
	return len(t.claims) >= t.maxCount || t.bytes+need > t.maxBytes
}

func (t *Table) add(c *wire.Claim) *record {
	r := &record{id: id{c.GetRoute(), c.GetKey()}, state: free}
	t.claims[r.id] = r
	t.bytes += r.size()
	r.place = t.freed.PushBack(r)
	return r
}

// change edits a record and moves it to the end of the list of its new state when that or its time changed.
func (t *Table) change(r *record, edit func()) {
	since, state := r.since, r.state
	t.bytes -= r.size()
	edit()
	t.bytes += r.size()
	if since == r.since && state == r.state {
		return
	}
	from, to := t.list(state), t.list(r.state)
	if from == to && since == r.since {
		return
	}
	from.Remove(r.place)
	r.place = to.PushBack(r)
}

func (t *Table) list(s state) *list.List {
	if s == free {
		return t.freed
	}
	return t.kept
}

func (t *Table) finish(c *wire.Claim, r *record) *wire.ClaimResult {
	if r == nil || r.state == free || r.owner != c.GetOwner() {
		return refused()
	}
	if r.state == running {
		answer := c.GetAnswer()
		// The outcome is always stored; an answer that does not fit is left out of it.
		if size := proto.Size(answer); size > MaxAnswer || t.bytes+size > t.maxBytes {
			answer = nil
		}
		t.change(r, func() { r.state, r.answer = done, answer })
	}
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_DONE, Answer: r.answer, Deadline: r.deadline}
}

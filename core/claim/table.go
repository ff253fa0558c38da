package claim

import (
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Bounds of the table, which must be the same on all replicas.
const (
	Retention           = 24 * time.Hour   // time for which a claim is kept after its grant, by state time
	MaxDeadline         = 10 * time.Minute // maximum time from state time to a deadline; twice the longest route deadline, for clock skew
	MaxAnswerBytes      = 16 << 10         // maximum size of a stored answer
	MaxClaims           = 400_000          // maximum number of claims: 4.6 new ones a second over the retention
	MaxBytes            = 128 << 20        // maximum size of all claims with their answers
	MaxTextBytes        = 512              // maximum length of a route, key, fingerprint or owner
	maxReleasedAttempts = 32               // maximum number of released attempts that are recorded per claim
	claimOverhead       = 256              // bytes counted per claim in addition to its texts and answer
)

type id struct{ route, key string }

type state uint8

const (
	running state = iota + 1
	done
	free // no attempt holds the claim; only released attempts are recorded
)

type record struct {
	id
	state       state
	fingerprint string
	owner       string // token of the attempt that the claim was granted to; empty if free
	deadline    int64  // deadline of that attempt; Unix milliseconds
	since       int64  // time of the grant, or of the release of a free claim; Unix milliseconds
	answer      *wire.Answer
	released    []releasedAttempt
	element     *list.Element // element of Table.granted or Table.freeClaims
}

type releasedAttempt struct {
	owner    string
	deadline int64 // Unix milliseconds
}

// Table is the state machine of all claims; it is not safe for concurrent use.
type Table struct {
	claims     map[id]*record
	granted    *list.List // running and done claims, oldest grant first
	freeClaims *list.List // free claims, oldest release first
	bytes      int        // sum of the sizes of the claims
	maxCount   int
	maxBytes   int
}

// Option changes a default of New: the bounds MaxClaims and MaxBytes.
type Option func(*Table)

// WithBounds sets the maximum number of claims and the maximum of their total size in bytes, instead of MaxClaims and MaxBytes.
func WithBounds(count, bytes int) Option {
	return func(t *Table) { t.maxCount, t.maxBytes = count, bytes }
}

// New returns an empty table with the default bounds unless WithBounds sets others.
func New(opts ...Option) *Table {
	t := &Table{maxCount: MaxClaims, maxBytes: MaxBytes}
	t.clear()
	for _, o := range opts {
		o(t)
	}
	return t
}

func (t *Table) clear() {
	t.claims = make(map[id]*record)
	t.granted, t.freeClaims, t.bytes = list.New(), list.New(), 0
}

// Len returns the number of claims, including free ones with released attempts.
func (t *Table) Len() int { return len(t.claims) }

// Bytes returns the total size of the claims in bytes, as MaxBytes limits it.
func (t *Table) Bytes() int { return t.bytes }

// Apply drops expired claims and applies one command at state time now. A command that is malformed, breaks a rule or would
// exceed a bound changes nothing and gets REFUSED; but a finish whose answer is too large is stored without the answer.
func (t *Table) Apply(now time.Time, c *wire.Claim) *wire.ClaimResult {
	t.Expire(now)
	if invalidText(c) {
		return refusedResult()
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
	return refusedResult()
}

func invalidText(c *wire.Claim) bool {
	longest := max(len(c.GetRoute()), len(c.GetKey()), len(c.GetFingerprint()), len(c.GetOwner()))
	return longest > MaxTextBytes || c.GetOwner() == "" || c.GetKey() == ""
}

func refusedResult() *wire.ClaimResult {
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_REFUSED}
}

// Expire drops claims whose retention has passed; its cost is proportional to the number of dropped claims.
func (t *Table) Expire(now time.Time) {
	t.expire(t.granted, now.Add(-Retention).UnixMilli())
	// MaxDeadline after the last release, the deadlines of all released attempts have passed, so the claim is not needed.
	t.expire(t.freeClaims, now.Add(-MaxDeadline).UnixMilli())
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
	n := claimOverhead + len(r.route) + len(r.key) + len(r.fingerprint) + len(r.owner) + proto.Size(r.answer)
	for _, o := range r.released {
		n += len(o.owner) + claimOverhead/8
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

// grant gives a free claim to an attempt. It refuses if the attempt was released, if its deadline has passed or is too far
// ahead, or if the table or the record of released attempts is full.
func (t *Table) grant(now int64, c *wire.Claim, r *record) *wire.ClaimResult {
	if c.GetDeadline() < now || c.GetDeadline() > now+MaxDeadline.Milliseconds() {
		return refusedResult()
	}
	if r.hasReleased(c.GetOwner()) || r.releasedFull(now) {
		return refusedResult()
	}
	if r == nil {
		if t.isFull(c) {
			return refusedResult()
		}
		r = t.addFree(c)
	}
	t.update(r, func() {
		r.state = running
		r.fingerprint, r.owner, r.deadline = string(c.GetFingerprint()), c.GetOwner(), c.GetDeadline()
		r.since, r.answer = now, nil
		r.pruneReleased(now)
	})
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_GRANTED, Deadline: r.deadline}
}

func (r *record) hasReleased(owner string) bool {
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

// isFull reports whether a new claim for this command, without an answer, would exceed the bound on claims or bytes.
func (t *Table) isFull(c *wire.Claim) bool {
	need := claimOverhead + proto.Size(c)
	return len(t.claims) >= t.maxCount || t.bytes+need > t.maxBytes
}

func (t *Table) addFree(c *wire.Claim) *record {
	r := &record{id: id{c.GetRoute(), c.GetKey()}, state: free}
	t.claims[r.id] = r
	t.bytes += r.size()
	r.element = t.freeClaims.PushBack(r)
	return r
}

// update edits a record and counts its new size. If the edit changes since, or moves the record between granted and free,
// the record goes to the end of the list of its new state.
func (t *Table) update(r *record, edit func()) {
	since, state := r.since, r.state
	t.bytes -= r.size()
	edit()
	t.bytes += r.size()
	if since == r.since && state == r.state {
		return
	}
	from, to := t.listOf(state), t.listOf(r.state)
	if from == to && since == r.since {
		return
	}
	from.Remove(r.element)
	r.element = to.PushBack(r)
}

func (t *Table) listOf(s state) *list.List {
	if s == free {
		return t.freeClaims
	}
	return t.granted
}

func (t *Table) finish(c *wire.Claim, r *record) *wire.ClaimResult {
	if r == nil || r.state == free || r.owner != c.GetOwner() {
		return refusedResult()
	}
	if r.state == running {
		answer := c.GetAnswer()
		// The outcome is always stored, but without an answer that exceeds a bound.
		if size := proto.Size(answer); size > MaxAnswerBytes || t.bytes+size > t.maxBytes {
			answer = nil
		}
		t.update(r, func() { r.state, r.answer = done, answer })
	}
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_DONE, Answer: r.answer, Deadline: r.deadline}
}

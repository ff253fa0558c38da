package claim

import (
	"slices"

	"godwitspindle/core/wire"
)

// release frees a claim for other attempts and remembers the released attempt until its deadline. For a claim that this
// attempt does not hold, the deadline comes from the command and must be the one of the attempt's acquire.
func (t *Table) release(now int64, c *wire.Claim, r *record) *wire.ClaimResult {
	if r.knows(c.GetOwner()) {
		return freed()
	}
	if r != nil && r.state == running && r.owner == c.GetOwner() {
		t.free(now, r, released{owner: r.owner, deadline: r.deadline})
		return freed()
	}
	if r != nil && r.state != free {
		return refused()
	}
	if c.GetDeadline() <= 0 || c.GetDeadline() > now+MaxDeadline.Milliseconds() {
		return refused()
	}
	if c.GetDeadline() < now {
		// An acquire with this deadline is refused from now on, so there is nothing to remember.
		return freed()
	}
	if r.crowded(now) || r == nil && t.full(c) {
		return refused()
	}
	if r == nil {
		r = t.add(c)
	}
	t.free(now, r, released{owner: c.GetOwner(), deadline: c.GetDeadline()})
	return freed()
}

func freed() *wire.ClaimResult {
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_RELEASED}
}

func (t *Table) free(now int64, r *record, o released) {
	t.change(r, func() {
		r.prune(now)
		r.released = append(r.released, o)
		r.state, r.since = free, now
		r.owner, r.fingerprint, r.answer, r.deadline = "", "", nil, 0
	})
}

// prune forgets released attempts whose deadline has passed.
func (r *record) prune(now int64) {
	r.released = slices.DeleteFunc(r.released, func(o released) bool { return o.deadline < now })
}

// crowded reports whether no further attempt can be remembered as released; then none may be granted either.
func (r *record) crowded(now int64) bool {
	if r == nil || len(r.released) < maxReleased {
		return false
	}
	live := 0
	for _, o := range r.released {
		if o.deadline >= now {
			live++
		}
	}
	return live >= maxReleased
}

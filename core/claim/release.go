package claim

import (
	"slices"

	"godwitspindle/core/wire"
)

// release frees a claim for other attempts and records the attempt as released until its deadline. If the claim is already free,
// the deadline comes from the command, which must carry the same deadline as the attempt's acquire. A claim that another attempt
// holds, or that is done, stays.
func (t *Table) release(now int64, c *wire.Claim, r *record) *wire.ClaimResult {
	if r.hasReleased(c.GetOwner()) {
		return releasedResult()
	}
	if r != nil && r.state == running && r.owner == c.GetOwner() {
		t.markFree(now, r, releasedAttempt{owner: r.owner, deadline: r.deadline})
		return releasedResult()
	}
	if r != nil && r.state != free {
		return refusedResult()
	}
	if c.GetDeadline() <= 0 || c.GetDeadline() > now+MaxDeadline.Milliseconds() {
		return refusedResult()
	}
	if c.GetDeadline() < now {
		// An acquire with this deadline is refused from now on, so there is nothing to record.
		return releasedResult()
	}
	if r.releasedFull(now) || r == nil && t.isFull(c) {
		return refusedResult()
	}
	if r == nil {
		r = t.addFree(c)
	}
	t.markFree(now, r, releasedAttempt{owner: c.GetOwner(), deadline: c.GetDeadline()})
	return releasedResult()
}

func releasedResult() *wire.ClaimResult {
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_STATE_RELEASED}
}

func (t *Table) markFree(now int64, r *record, o releasedAttempt) {
	t.update(r, func() {
		r.pruneReleased(now)
		r.released = append(r.released, o)
		r.state, r.since = free, now
		r.owner, r.fingerprint, r.answer, r.deadline = "", "", nil, 0
	})
}

// pruneReleased drops released attempts whose deadline has passed.
func (r *record) pruneReleased(now int64) {
	r.released = slices.DeleteFunc(r.released, func(o releasedAttempt) bool { return o.deadline < now })
}

// releasedFull reports whether no further attempt can be recorded as released. Then no attempt may be granted either, because
// its release could not be recorded.
func (r *record) releasedFull(now int64) bool {
	if r == nil || len(r.released) < maxReleasedAttempts {
		return false
	}
	unexpired := 0
	for _, o := range r.released {
		if o.deadline >= now {
			unexpired++
		}
	}
	return unexpired >= maxReleasedAttempts
}

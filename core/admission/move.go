package admission

import (
	"time"

	"godwitspindle/core/outcome"
)

// moveDivisor divides the time that a movable call may wait before its deadline: after one part it leaves for another endpoint, which
// then has the rest. With three endpoints to try, the first two get a part each.
const moveDivisor = 3

// moveAt returns the time until which a movable call waits at this endpoint, or the zero time for a call that stays.
func (w *queuedCall) moveAt(service time.Duration) time.Time {
	if !w.Movable || w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.arrived.Add(w.Deadline.Sub(w.arrived.Add(service)) / moveDivisor)
}

// moves reports whether a call that starts at the given time at the earliest leaves for another endpoint instead.
func (w *queuedCall) moves(startAt time.Time, service time.Duration) bool {
	at := w.moveAt(service)
	return !at.IsZero() && !startAt.Before(at)
}

// expires reports whether the call can no longer be answered before its deadline.
func (w *queuedCall) expires(now time.Time, service time.Duration) bool {
	return !w.Deadline.IsZero() && now.Add(service).After(w.Deadline)
}

// missedDeadline returns the code of a refusal because the call cannot be answered here before its deadline. Another endpoint may be
// faster, so a movable call is refused as busy, which its caller may retry.
func (r *Request) missedDeadline() outcome.Code {
	if r.Movable {
		return outcome.Busy
	}
	return outcome.DeadlineExceeded
}

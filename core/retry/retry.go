package retry

import (
	"time"

	"godwitspindle/core/outcome"
)

// Action says what to do after a failed attempt.
type Action uint8

// Actions after a failed attempt.
const (
	Stop   Action = iota // return the failure to the caller
	Repick               // try another endpoint; uses no budget
	Retry                // try again; Decide took one retry from the budget; the caller of Decide must take one from the share
)

// MaxRepicks is the maximum number of repicks per call.
const MaxRepicks = 3

// MaxBusyRepicks counts repicks for any reason. At this number or more, a call stops at a busy endpoint. Below it, the call
// repicks. This costs no budget: the busy endpoint sent nothing on.
const MaxBusyRepicks = 2

// MaxShare is the maximum number of retries of a whole call chain.
const MaxShare = 3

// Reasons for a Verdict, as logged.
const (
	ReasonUnavailable   = "moved"    // the endpoint is draining, unreachable or unknown to its node, or refused the request before running it
	ReasonBusy          = "busy"     // the endpoint is busy, so that another one is tried
	ReasonBusyRepicks   = "spills"   // the endpoint is busy and MaxBusyRepicks is reached
	ReasonNotRun        = "notrun"   // the request is proven not to have run, so that it is retried
	ReasonSafe          = "safe"     // the request may have run and is idempotent, so that it is retried
	ReasonAnswered      = "answered" // the backend server responded
	ReasonPermanent     = "final"    // another attempt would also fail, or the caller canceled the request
	ReasonNotIdempotent = "once"     // the request may have run and is not idempotent
	ReasonRepicks       = "repicks"  // MaxRepicks is reached
	ReasonRetries       = "retries"  // the call has used all retries of its route
	ReasonShare         = "share"    // the call chain has no retries left
	ReasonBudget        = "budget"   // the retry budget of this node is exhausted
	ReasonDeadline      = "deadline" // the deadline has passed
)

// FailedAttempt describes a failed attempt of a call.
type FailedAttempt struct {
	Kind       outcome.Kind
	Code       outcome.Code
	Idempotent bool
	Retries    int // maximum number of retries of the route
	Used       int // number of retries already made
	Repicks    int // number of repicks already made
	Share      int // number of retries of the call chain that this node may still make; see Split
	Now        time.Time
	Deadline   time.Time
}

// Verdict is the decision on a FailedAttempt.
type Verdict struct {
	Action Action
	Reason string // one of the Reason constants
}

// Decide decides what to do after a failed attempt; for Retry, it takes one retry from the budget.
func Decide(a FailedAttempt, b *Budget) Verdict {
	switch a.Kind {
	case outcome.None:
		return Verdict{Stop, ReasonAnswered}
	case outcome.NotRun:
		if permanent(a.Code) {
			return Verdict{Stop, ReasonPermanent}
		}
	default: // treat unrecognized kinds as requests that may have run
		if a.Code == outcome.Canceled {
			return Verdict{Stop, ReasonPermanent}
		}
		if !a.Idempotent {
			return Verdict{Stop, ReasonNotIdempotent}
		}
	}
	if !a.Now.Before(a.Deadline) {
		return Verdict{Stop, ReasonDeadline}
	}
	if a.Kind == outcome.NotRun && freeRepick(a.Code) {
		if a.Repicks >= MaxRepicks {
			return Verdict{Stop, ReasonRepicks}
		}
		return Verdict{Repick, ReasonUnavailable}
	}
	if a.Kind == outcome.NotRun && isBusy(a.Code) {
		if a.Repicks >= MaxBusyRepicks {
			return Verdict{Stop, ReasonBusyRepicks}
		}
		return Verdict{Repick, ReasonBusy}
	}
	if a.Used >= a.Retries {
		return Verdict{Stop, ReasonRetries}
	}
	if a.Share <= 0 {
		return Verdict{Stop, ReasonShare}
	}
	if !b.Take(a.Now) {
		return Verdict{Stop, ReasonBudget}
	}
	if a.Kind == outcome.NotRun {
		return Verdict{Retry, ReasonNotRun}
	}
	return Verdict{Retry, ReasonSafe}
}

// freeRepick reports whether the refusal cost the backend server nothing, so that another endpoint is tried without using
// the budget. A node that has restarted refuses with noendpoint until its backend server has announced itself again.
func freeRepick(c outcome.Code) bool {
	return c == outcome.Draining || c == outcome.Unreachable || c == outcome.Refused || c == outcome.NoEndpoint
}

// isBusy reports whether the endpoint cannot respond within the objective and its backend server got nothing.
func isBusy(c outcome.Code) bool { return c == outcome.Busy || c == outcome.Limited }

// permanent reports whether another attempt would be refused too: true for all codes but overload, declined and those of isBusy and freeRepick.
func permanent(c outcome.Code) bool {
	return c != outcome.Overload && c != outcome.Declined && !isBusy(c) && !freeRepick(c)
}

// Initial returns the share of a call that comes from outside the mesh: the retries of its route, at most MaxShare.
func Initial(retries int) int { return min(max(retries, 0), MaxShare) }

// Split divides the share of a call before an attempt: forwarded is sent with the attempt (in Mesh-Meta), kept remains for retries
// by this node. Each retry is counted once, so a whole chain makes at most Initial retries, regardless of its depth.
func Split(share int) (forwarded, kept int) {
	share = min(max(share, 0), MaxShare)
	forwarded = share / 2
	return forwarded, share - forwarded
}

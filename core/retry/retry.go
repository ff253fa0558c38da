package retry

import (
	"time"

	"godwitspindle/core/outcome"
)

// Action is what to do after a failed attempt.
type Action uint8

// Actions.
const (
	Stop   Action = iota // report the failure
	Repick               // choose another endpoint; costs no budget
	Retry                // try again; one unit of budget and share was taken
)

// MaxRepicks is the number of repicks of one call.
const MaxRepicks = 3

// MaxSpills is the number of further endpoints that are asked after one that is busy. Nothing was sent to its backend server.
const MaxSpills = 2

// MaxShare is the largest number of retries that may travel with a call.
const MaxShare = 3

// Reasons of a verdict, for the log line.
const (
	ReasonMoved    = "moved"    // the endpoint is draining, unreachable or not there
	ReasonBusy     = "busy"     // the endpoint is busy, and another one may not be
	ReasonSpills   = "spills"   // MaxSpills are used
	ReasonNotRun   = "notrun"   // proven not to have run
	ReasonSafe     = "safe"     // may have run, and is idempotent
	ReasonAnswered = "answered" // the backend server answered
	ReasonFinal    = "final"    // another attempt would fail as well
	ReasonOnce     = "once"     // may have run, and is not idempotent
	ReasonRepicks  = "repicks"  // MaxRepicks are used
	ReasonRetries  = "retries"  // the route's retries are used
	ReasonShare    = "share"    // no retry is left for the call chain
	ReasonBudget   = "budget"   // the budget of this node is used up
	ReasonDeadline = "deadline" // no time is left
)

// Attempt is a failed attempt of a call.
type Attempt struct {
	Kind       outcome.Kind
	Code       outcome.Code
	Idempotent bool
	Retries    int // retries that the route allows
	Used       int // retries that the call has used
	Repicks    int // repicks that the call has used
	Share      int // retries left for the whole call chain at this node, see Split
	Now        time.Time
	Deadline   time.Time
}

// Verdict is the decision on an Attempt.
type Verdict struct {
	Action Action
	Reason string // one of the Reason constants
}

// Decide decides what to do after a failed attempt; a Retry has taken one unit of the budget.
func Decide(a Attempt, b *Budget) Verdict {
	switch a.Kind {
	case outcome.None:
		return Verdict{Stop, ReasonAnswered}
	case outcome.NotRun:
		if final(a.Code) {
			return Verdict{Stop, ReasonFinal}
		}
	default: // an unknown kind is treated as one that may have run
		if a.Code == outcome.Canceled {
			return Verdict{Stop, ReasonFinal}
		}
		if !a.Idempotent {
			return Verdict{Stop, ReasonOnce}
		}
	}
	if !a.Now.Before(a.Deadline) {
		return Verdict{Stop, ReasonDeadline}
	}
	if a.Kind == outcome.NotRun && moved(a.Code) {
		if a.Repicks >= MaxRepicks {
			return Verdict{Stop, ReasonRepicks}
		}
		return Verdict{Repick, ReasonMoved}
	}
	if a.Kind == outcome.NotRun && a.Code == outcome.Busy {
		if a.Repicks >= MaxSpills {
			return Verdict{Stop, ReasonSpills}
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

// moved reports whether the refusal cost the backend server nothing, so that another endpoint is tried for free. An
// attempt ends with noendpoint at a node that has restarted and whose backend server has not announced itself again.
func moved(c outcome.Code) bool {
	return c == outcome.Draining || c == outcome.Unreachable || c == outcome.Refused || c == outcome.NoEndpoint
}

// final reports whether every endpoint would refuse as well; only overload and busy are worth another attempt besides moved.
func final(c outcome.Code) bool { return c != outcome.Overload && c != outcome.Busy && !moved(c) }

// Initial returns the share of a call that comes from outside the mesh.
func Initial(retries int) int { return min(max(retries, 0), MaxShare) }

// Split divides the share of a call before an attempt: give travels with the attempt (in Mesh-Meta), keep stays for this
// node. A unit is never counted twice, so a whole chain makes at most Initial retries, however deep it is.
func Split(share int) (give, keep int) {
	share = min(max(share, 0), MaxShare)
	give = share / 2
	return give, share - give
}

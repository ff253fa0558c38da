package outcome

import (
	"fmt"
	"time"
)

// Kind says what is known about a request that the system answers itself.
type Kind string

// Kinds of outcome; the empty kind marks an answer that came from the backend server.
const (
	None    Kind = ""        // the backend server answered
	NotRun  Kind = "notrun"  // proven not to have run
	Unknown Kind = "unknown" // may or may not have run
	Lost    Kind = "lost"    // ran, and the answer was lost
)

// Code is a stable machine-readable reason for a failure.
type Code string

// Codes of failure; docs/OPERATIONS.md says what to do about each.
const (
	NoRoute     Code = "noroute"     // no route matches
	Internal    Code = "internal"    // the service is internal and the caller is not
	Depth       Code = "depth"       // the call chain is deeper than MaxDepth
	Unproven    Code = "unproven"    // the node has not proved its configuration floor
	NoEndpoint  Code = "noendpoint"  // the service has no usable endpoint
	Refused     Code = "refused"     // the stream or connection was refused before the request was read
	Overload    Code = "overload"    // slots and queue are full
	Busy        Code = "busy"        // the endpoint cannot answer within the objective; nothing was sent to it
	Late        Code = "deadline"    // the deadline passed or cannot be met
	Draining    Code = "draining"    // the endpoint or node is leaving
	Quarantined Code = "quarantined" // the request crashed backend servers before
	Unreachable Code = "unreachable" // no connection could be made
	Reset       Code = "reset"       // the connection broke before an answer
	Truncated   Code = "truncated"   // the answer broke off
	Claimed     Code = "claimed"     // the idempotency key is held by another run without an outcome
	Mismatch    Code = "mismatch"    // the idempotency key was used for another request
	NoKey       Code = "nokey"       // no claim could be made durable
	Oversize    Code = "oversize"    // the request exceeds a size limit
	Canceled    Code = "canceled"    // the caller went away
)

// MaxDepth is the longest allowed chain of calls, in hops.
const MaxDepth = 24

// Failure is a typed failure of one call.
type Failure struct {
	Code   Code          // stable reason
	Kind   Kind          // what is known about the run
	Status int           // HTTP status code
	Detail string        // one sentence for people
	Call   string        // call id
	After  time.Duration // suggested wait before a retry; 0 for none
	Err    error         // cause, not shown to callers
}

// Error formats the failure for logs.
func (f *Failure) Error() string {
	if f.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", f.Code, f.Kind, f.Detail, f.Err)
	}
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Kind, f.Detail)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

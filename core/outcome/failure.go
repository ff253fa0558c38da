package outcome

import (
	"fmt"
	"time"
)

// Kind says whether a request ran, for a response that the mesh sends in place of the backend server.
type Kind string

// Kinds of outcome; the empty kind marks a response of the backend server.
const (
	None    Kind = ""        // the backend server responded
	NotRun  Kind = "notrun"  // the request is proven not to have run
	Unknown Kind = "unknown" // the request may have run
	Lost    Kind = "lost"    // the request ran and its response was lost
)

// Code is a stable machine-readable reason for a failure.
type Code string

// Failure codes; docs/OPERATIONS.md describes how to handle each.
const (
	NoRoute          Code = "noroute"     // no route matches the request
	Internal         Code = "internal"    // an external caller requested an internal service
	Depth            Code = "depth"       // the call chain is longer than MaxDepth
	Unproven         Code = "unproven"    // the node has not proven its configuration floor
	NoEndpoint       Code = "noendpoint"  // the service has no usable endpoint
	Refused          Code = "refused"     // the stream, connection or call was refused before the request ran
	Overload         Code = "overload"    // the slots and the queue of the endpoint are full
	Declined         Code = "declined"    // the backend server refused the request without running it although it had room
	Busy             Code = "busy"        // the endpoint cannot respond within the objective; nothing was sent to its backend server
	Limited          Code = "limited"     // the rate limit that the endpoint states does not allow the call within the objective; nothing was sent
	Quota            Code = "quota"       // the customer's quota is used up
	Downstream       Code = "downstream"  // a service that the request calls has no room for these calls; the request was not sent
	DeadlineExceeded Code = "deadline"    // the deadline has passed or cannot be met
	Draining         Code = "draining"    // the endpoint or node is draining
	Quarantined      Code = "quarantined" // the request is quarantined, because it has crashed backend servers
	Unreachable      Code = "unreachable" // no connection to the endpoint or node could be opened
	Reset            Code = "reset"       // the connection was lost before the response
	Truncated        Code = "truncated"   // the connection was lost before the end of the response
	Claimed          Code = "claimed"     // another attempt holds the idempotency key and has no outcome yet
	Mismatch         Code = "mismatch"    // the idempotency key was used for another request
	ClaimFailed      Code = "nokey"       // the claim on the idempotency key could not be made durable
	Oversize         Code = "oversize"    // the request exceeds a size limit
	Canceled         Code = "canceled"    // the caller canceled the request or disconnected

	// Codes in a configuration with customers.
	Unauthorized Code = "unauthorized" // the route needs an API key, and the request has no known one
	Orphaned     Code = "orphaned"     // a call without a key names a request that does not run on this host
)

// MaxDepth is the maximum length of a call chain in hops.
const MaxDepth = 24

// Failure is a typed failure of one call.
type Failure struct {
	Code       Code          // machine-readable reason
	Kind       Kind          // whether the request ran
	Status     int           // HTTP status code; a value that is no error status is sent as 502
	Detail     string        // one sentence, readable by people
	Call       string        // call id
	RetryAfter time.Duration // suggested wait before a retry; 0 if there is none
	Err        error         // cause, for logs only
}

// Error formats the failure with its cause for logs.
func (f *Failure) Error() string {
	if f.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", f.Code, f.Kind, f.Detail, f.Err)
	}
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Kind, f.Detail)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

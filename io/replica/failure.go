package replica

import "fmt"

// UnknownOutcomeError reports that a proposal may or may not be accepted; the caller resends the proposal with the same id.
type UnknownOutcomeError struct{ Err error }

// Error advises an operator to resend with the same id, and states the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("replica: the proposal may or may not be accepted; resend it with the same id: %v", e.Err)
}

// Unwrap returns what ended the wait, such as lost leadership, a stop or the end of the context.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// BusyError reports that a request was rejected before it had any effect; Err is nil when too many proposals wait.
type BusyError struct{ Err error }

// Error states why the request was rejected.
func (e *BusyError) Error() string {
	if e.Err == nil {
		return "replica: too many proposals are waiting; retry later"
	}
	return fmt.Sprintf("replica: request rejected without effect: %v", e.Err)
}

// Unwrap returns the cause; nil when too many proposals wait.
func (e *BusyError) Unwrap() error { return e.Err }

// ReadAbandonedError reports a read whose context ended, or whose replica stopped, before it was answered.
type ReadAbandonedError struct{ Err error }

// Error states what ended the read.
func (e *ReadAbandonedError) Error() string {
	return fmt.Sprintf("replica: read ended before a quorum confirmed it: %v", e.Err)
}

// Unwrap returns the error of the context, or *ClosedError if the replica stopped.
func (e *ReadAbandonedError) Unwrap() error { return e.Err }

// ClosedError reports that the replica has stopped; Err is the failure that stopped it, nil after Close.
type ClosedError struct{ Err error }

// Error states whether Close or a failure stopped the replica.
func (e *ClosedError) Error() string {
	if e.Err == nil {
		return "replica: closed"
	}
	return fmt.Sprintf("replica: stopped by a failure: %v", e.Err)
}

// Unwrap returns the failure that stopped the replica.
func (e *ClosedError) Unwrap() error { return e.Err }

// StateError reports that a step failed at a log index; Step is decode, restore, marshal or identity. Index is 0 if a proposal
// could not be marshalled, and for the step identity.
type StateError struct {
	Index uint64
	Step  string
	Err   error
}

// Error names the step and the index, and points to different program versions as a likely cause.
func (e *StateError) Error() string {
	return fmt.Sprintf("replica: %s failed at index %d; all replicas must run the same program version: %v", e.Step, e.Index, e.Err)
}

// Unwrap returns the error of the step.
func (e *StateError) Unwrap() error { return e.Err }

// OptionError reports that a required option is missing, and names the option.
type OptionError struct{ Option string }

// Error names the missing option.
func (e *OptionError) Error() string { return "replica: option " + e.Option + " is missing" }

package replica

import "fmt"

// DoubtError says that a proposal may or may not be accepted: resend it with the same id.
type DoubtError struct{ Err error }

// Error formats the failure.
func (e *DoubtError) Error() string {
	return fmt.Sprintf("replica: the proposal may or may not be accepted; resend it with the same id: %v", e.Err)
}

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Err }

// BusyError says that a request was not taken in, so it has no effect.
type BusyError struct{ Err error }

// Error formats the failure.
func (e *BusyError) Error() string {
	if e.Err == nil {
		return "replica: too many proposals are waiting; retry later"
	}
	return fmt.Sprintf("replica: not taken in: %v", e.Err)
}

// Unwrap returns the cause; nil when the limit of waiting proposals is reached.
func (e *BusyError) Unwrap() error { return e.Err }

// WaitError says that a read was given up before it was confirmed.
type WaitError struct{ Err error }

// Error formats the failure.
func (e *WaitError) Error() string { return fmt.Sprintf("replica: read given up: %v", e.Err) }

// Unwrap returns the cause.
func (e *WaitError) Unwrap() error { return e.Err }

// ClosedError says that the replica has stopped; Err is the failure that stopped it, nil after Close.
type ClosedError struct{ Err error }

// Error formats the failure.
func (e *ClosedError) Error() string {
	if e.Err == nil {
		return "replica: closed"
	}
	return fmt.Sprintf("replica: stopped: %v", e.Err)
}

// Unwrap returns the failure that stopped the replica.
func (e *ClosedError) Unwrap() error { return e.Err }

// StateError says that committed data could not be applied at an index; Step is decode, restore or marshal.
type StateError struct {
	Index uint64
	Step  string
	Err   error
}

// Error formats the failure.
func (e *StateError) Error() string {
	return fmt.Sprintf("replica: %s failed at index %d; all replicas must run the same program version: %v", e.Step, e.Index, e.Err)
}

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Err }

// OptionError names a missing option.
type OptionError struct{ Option string }

// Error formats the failure.
func (e *OptionError) Error() string { return "replica: option " + e.Option + " is missing" }

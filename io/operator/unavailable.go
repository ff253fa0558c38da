package operator

import "fmt"

// NoMajorityError reports that a replica hears no majority of the voters, so that no read or change can be confirmed.
type NoMajorityError struct {
	Hearing Hearing
	Err     error // failure of the request
}

// Error names the missing voters and the cause.
func (e *NoMajorityError) Error() string { return fmt.Sprintf("no majority: %s: %v", e.Hearing, e.Err) }

// Unwrap lets errors.Is and errors.As find the cause.
func (e *NoMajorityError) Unwrap() error { return e.Err }

// UnconfirmedError reports that a replica hears a majority of the voters, but no leader confirmed a request.
type UnconfirmedError struct {
	Leader  string // name of the known leader; empty when none is known
	Hearing Hearing
	Err     error // failure of the request
}

// Error names the leader, the missing voters and the cause.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s; %s: %v", e.title(), e.Hearing, e.Err)
}

func (e *UnconfirmedError) title() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "the leader " + e.Leader + " did not confirm the request"
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Err }

package config

import (
	"fmt"
	"strings"

	"godwitspindle/core/wire"
)

// Fault names an invalid field and states what is expected there.
type Fault struct {
	Field    string
	Expected string
}

// InvalidError lists the faults of a file, a delta or a snapshot, at most maxFaults.
type InvalidError struct{ Faults []Fault }

// Error joins the faults on one line.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		parts = append(parts, f.Field+": expected "+f.Expected)
	}
	return "invalid configuration: " + strings.Join(parts, "; ")
}

// Wire returns the faults as protobuf messages.
func (e *InvalidError) Wire() []*wire.Fault {
	list := make([]*wire.Fault, 0, len(e.Faults))
	for _, f := range e.Faults {
		list = append(list, &wire.Fault{Field: f.Field, Expected: f.Expected})
	}
	return list
}

// StaleError reports a delta whose version Offered is below the held version.
type StaleError struct{ Held, Offered uint64 }

// Error states the offered and the held version.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stale delta: it leads to version %d, below the held version %d", e.Offered, e.Held)
}

// GapError reports a delta whose base version is above the held version.
type GapError struct{ Held, Base uint64 }

// Error states the base and the held version.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta not applicable: its base version %d is above the held version %d", e.Base, e.Held)
}

// DigestError reports that the content of a delta or of a marshalled snapshot does not match its digest.
type DigestError struct {
	Version   uint64
	Got, Want Digest
}

// Error states the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("digest mismatch at version %d: got %v, want %v", e.Version, e.Got, e.Want)
}

// maxFaults is the highest number of faults in an InvalidError; it bounds the answer to a hostile or generated file.
const maxFaults = 1000

// faults collects the faults of an input, up to maxFaults.
type faults struct{ list []Fault }

func (f *faults) add(field, expected string, args ...any) {
	if len(f.list) >= maxFaults {
		return
	}
	if len(args) > 0 {
		expected = fmt.Sprintf(expected, args...)
	}
	f.list = append(f.list, Fault{Field: field, Expected: expected})
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &InvalidError{Faults: f.list}
}

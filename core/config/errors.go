package config

import (
	"fmt"
	"strings"

	"godwitspindle/core/wire"
)

// Fault names a field and what is expected of it.
type Fault struct {
	Field    string
	Expected string
}

// InvalidError lists every fault of an input, a delta or a snapshot.
type InvalidError struct{ Faults []Fault }

// Error lists the faults on one line.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		parts = append(parts, f.Field+": expected "+f.Expected)
	}
	return "invalid configuration: " + strings.Join(parts, "; ")
}

// Wire returns the faults as messages.
func (e *InvalidError) Wire() []*wire.Fault {
	list := make([]*wire.Fault, 0, len(e.Faults))
	for _, f := range e.Faults {
		list = append(list, &wire.Fault{Field: f.Field, Expected: f.Expected})
	}
	return list
}

// StaleError reports a delta to a version below the held one.
type StaleError struct{ Held, Offered uint64 }

// Error formats the failure.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stale delta to version %d: version %d is held", e.Offered, e.Held)
}

// GapError reports a delta whose base is above the held version.
type GapError struct{ Held, Base uint64 }

// Error formats the failure.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta from version %d leaves a gap: version %d is held", e.Base, e.Held)
}

// DigestError reports that the content after a delta is not the announced one.
type DigestError struct {
	Version   uint64
	Got, Want Digest
}

// Error formats the failure.
func (e *DigestError) Error() string {
	return fmt.Sprintf("digest of version %d is %v, announced %v", e.Version, e.Got, e.Want)
}

// maxFaults bounds the answer to a hostile or generated file.
const maxFaults = 1000

// faults collects what is wrong with an input.
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

package peer

import (
	"errors"
	"testing"

	"godwitspindle/core/config"
)

func version(v uint64) *config.Snapshot { return config.NewSnapshot().With(v, nil, nil) }

// Guards against serving a version below one held before (R1): after a restart, after the loss of a disk, and on a node
// without a disk.
func TestHolderFloor(t *testing.T) {
	tests := []struct {
		name    string
		saved   uint64 // floor on disk; 0 for none
		prove   uint64 // floor read from a quorum; 0 for not yet
		offered uint64
		refused bool
		serving bool
	}{
		{"saved floor, older version", 7, 0, 6, true, false},
		{"saved floor, same version", 7, 0, 7, false, true},
		{"no floor on disk, not proven", 0, 0, 9, false, false},
		{"no floor on disk, proven above", 0, 9, 8, true, false},
		{"no floor on disk, proven", 0, 8, 9, false, true},
		{"proven above the saved floor", 5, 9, 8, true, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var saved []uint64
			h, err := NewHolder(WithSavedFloor(c.saved, func(v uint64) error { saved = append(saved, v); return nil }))
			if err != nil {
				t.Fatal(err)
			}
			if c.prove > 0 {
				h.Prove(c.prove)
			}
			err = h.Offer(version(c.offered))
			var below *FloorError
			if got := errors.As(err, &below); got != c.refused {
				t.Errorf("refused: got %v (%v), want %v", got, err, c.refused)
			}
			if got := h.Serving(); got != c.serving {
				t.Errorf("serving: got %v, want %v", got, c.serving)
			}
			if got := len(saved) == 1; got == c.refused {
				t.Errorf("floor saved: got %v, want %v", got, !c.refused)
			}
		})
	}
}

// Guards against serving a version whose floor did not reach the disk: after a restart the node could hold less.
func TestHolderSaveFails(t *testing.T) {
	failure := &FloorError{}
	h, err := NewHolder(WithSavedFloor(3, func(uint64) error { return failure }))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Offer(version(4)); !errors.Is(err, error(failure)) {
		t.Errorf("offer: got %v, want the failure of the disk", err)
	}
	if got := h.View().Snapshot.Version(); got != 0 {
		t.Errorf("held version: got %d, want 0", got)
	}
}

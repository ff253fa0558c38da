package peer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

func version(v uint64) *config.Snapshot { return config.NewSnapshot().With(v, nil, nil) }

// Guards against serving a version older than one served before: after a restart, after the loss of a disk, and on a
// node without a disk.
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

// Guards against serving a version whose floor was not saved: after a restart, the node could serve an older version.
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
		t.Errorf("version in force: got %d, want 0", got)
	}
}

// Guards against a version that fails a check but is partly put in force (entries without their table,
// or the reverse), or whose floor is saved, so that after a restart the node could not return to the version that it serves.
func TestHolderKeepsVersion(t *testing.T) {
	put := func(m proto.Message) []config.Entry {
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return []config.Entry{{Key: config.KeyOf(m), Value: value}}
	}
	held := config.NewSnapshot().With(3, put(&wire.Service{Name: "a"}), nil)
	dangling := held.With(4, put(&wire.Route{Name: "r", Service: "gone", Path: "/"}), nil)
	delta := func(edit func(d *wire.Delta)) *wire.Delta {
		d, _ := held.With(4, put(&wire.Service{Name: "b"}), nil).Delta(3)
		edit(d)
		return d
	}
	for name, swap := range map[string]func(h *Holder) error{
		"offer, route without service": func(h *Holder) error { return h.Offer(dangling) },
		"delta, route without service": func(h *Holder) error { d, _ := dangling.Delta(3); return h.Apply(d) },
		"delta, other digest":          func(h *Holder) error { return h.Apply(delta(func(d *wire.Delta) { d.Digest.Low++ })) },
		"delta, entry lost":            func(h *Holder) error { return h.Apply(delta(func(d *wire.Delta) { d.Entries = nil })) },
		"delta, stale":                 func(h *Holder) error { return h.Apply(delta(func(d *wire.Delta) { d.Version = 2 })) },
	} {
		t.Run(name, func(t *testing.T) {
			var saved []uint64
			h, err := NewHolder(WithSavedFloor(1, func(v uint64) error { saved = append(saved, v); return nil }))
			if err != nil {
				t.Fatal(err)
			}
			if err := h.Offer(held); err != nil {
				t.Fatal(err)
			}
			before := h.View()
			if swap(h) == nil {
				t.Error("got no error, want a refusal")
			}
			if got := h.View(); got != before || !h.Serving() {
				t.Errorf("view: got version %d, serving %v, want version 3 in force with its table", got.Snapshot.Version(), h.Serving())
			}
			if !slices.Equal(saved, []uint64{3}) {
				t.Errorf("floors saved: got %v, want [3]", saved)
			}
		})
	}
}

// Guards against synchronized reconnects: nodes that lose their upstream at the same time must spread their retries.
func TestFollowerBackoff(t *testing.T) {
	for attempt, bound := range map[int]time.Duration{1: 100 * time.Millisecond, 4: 800 * time.Millisecond, 30: 10 * time.Second} {
		var quarters [4]int
		for range 1000 {
			b := newBackoff(0)
			for range attempt - 1 {
				b.Next(0)
			}
			d := b.Next(0)
			if d < 0 || d > bound {
				t.Fatalf("attempt %d: got %s, want up to %s", attempt, d, bound)
			}
			quarters[min(int(4*d/bound), 3)]++
		}
		if least := slices.Min(quarters[:]); least < 150 { // 250 expected; 150 is seven standard deviations below
			t.Errorf("attempt %d: got %v draws in the quarters of %s, want an even spread", attempt, quarters, bound)
		}
	}
}

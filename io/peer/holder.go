package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// View is the version in force on a node: its snapshot and the routing table compiled from it.
type View struct {
	Snapshot *config.Snapshot
	Table    *config.RoutingTable
}

// FloorError reports a version below the floor, the lowest version that the node may serve.
type FloorError struct{ Version, Floor uint64 }

// Error returns a message with both versions.
func (e *FloorError) Error() string {
	return fmt.Sprintf("version %d is below the floor %d", e.Version, e.Floor)
}

// FloorSaveError reports that a new floor could not be made durable; the version before it stays in force, and the same call may succeed
// later, for instance once a full disk has space again.
type FloorSaveError struct {
	Floor uint64
	Err   error
}

// Error returns a message with the floor and the cause.
func (e *FloorSaveError) Error() string { return fmt.Sprintf("save floor %d: %v", e.Floor, e.Err) }

// Unwrap returns the error of the disk.
func (e *FloorSaveError) Unwrap() error { return e.Err }

// Holder stores the version in force on a node and replaces snapshot and routing table together.
type Holder struct {
	save    func(version uint64) error
	onSwap  func(v View)
	mu      sync.Mutex // serializes swaps; guards floor and proven
	floor   uint64
	proven  bool        // the floor is known, from disk or from a quorum
	serving atomic.Bool // read for every call, so it must not wait for a swap
	viewMu  sync.RWMutex
	view    View
	changed chan struct{} // closed and replaced by each swap
}

// HolderOption replaces a default of the Holder that NewHolder returns.
type HolderOption func(*Holder)

// WithSavedFloor sets the floor read from disk, 0 for none, and the function that makes a new floor durable before a swap.
// Without a saved floor, the disk may be the replacement of a lost one, so the floor must be proven as on a node without
// a disk.
func WithSavedFloor(floor uint64, save func(version uint64) error) HolderOption {
	return func(h *Holder) { h.floor, h.save, h.proven = floor, save, floor > 0 }
}

// WithVersionChanged sets the function that is called with the new view after each swap, in the order of the swaps.
func WithVersionChanged(f func(v View)) HolderOption { return func(h *Holder) { h.onSwap = f } }

// NewHolder returns a Holder without a version. It serves once its floor is known, from disk or from Prove, and a version at or
// above the floor is in force.
func NewHolder(opts ...HolderOption) (*Holder, error) {
	empty := config.NewSnapshot()
	table, err := config.NewTable(empty)
	if err != nil {
		return nil, fmt.Errorf("compile the empty snapshot: %w", err)
	}
	h := &Holder{
		save:    func(uint64) error { return nil },
		onSwap:  func(View) {},
		view:    View{Snapshot: empty, Table: table},
		changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(h)
	}
	return h, nil
}

// View returns the version in force.
func (h *Holder) View() View {
	h.viewMu.RLock()
	defer h.viewMu.RUnlock()
	return h.view
}

// Serving reports whether the floor is known and the version in force is at or above it.
func (h *Holder) Serving() bool {
	return h.serving.Load()
}

// Proven reports whether the floor is known, from disk or from Prove.
func (h *Holder) Proven() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proven
}

// Prove marks the holder's floor as known and raises a lower one to floor, a version that a quorum confirmed after this process
// started.
func (h *Holder) Prove(floor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proven = true
	h.floor = max(h.floor, floor)
	h.serving.Store(h.View().Snapshot.Version() >= h.floor)
}

// Apply applies a delta to the snapshot in force and puts the result in force; it fails with *FloorError below the floor.
func (h *Holder) Apply(d *wire.Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.View().Snapshot.Apply(d)
	if err != nil {
		return fmt.Errorf("apply delta to version %d: %w", d.GetVersion(), err)
	}
	return h.swap(next)
}

// Offer puts s in force if it is newer than the version in force, else it has no effect. It fails with *FloorError if s is
// below the floor, and with *FloorSaveError if the new floor cannot be saved.
func (h *Holder) Offer(s *config.Snapshot) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Version() <= h.View().Snapshot.Version() {
		return nil
	}
	return h.swap(s)
}

func (h *Holder) swap(s *config.Snapshot) error {
	if s.Version() < h.floor {
		return &FloorError{Version: s.Version(), Floor: h.floor}
	}
	old := h.View()
	table, err := config.NextTable(old.Table, old.Snapshot, s)
	if err != nil {
		return fmt.Errorf("compile version %d: %w", s.Version(), err)
	}
	if err := h.save(s.Version()); err != nil {
		return &FloorSaveError{Floor: s.Version(), Err: err}
	}
	h.floor = s.Version()
	v := View{Snapshot: s, Table: table}
	h.viewMu.Lock()
	h.view = v
	close(h.changed)
	h.changed = make(chan struct{})
	h.viewMu.Unlock()
	h.serving.Store(h.proven)
	h.onSwap(v)
	return nil
}

// Wait returns the view as soon as its version is above the given one; after wait, or when ctx ends, it returns the current view.
func (h *Holder) Wait(ctx context.Context, above uint64, wait time.Duration) View {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		h.viewMu.RLock()
		v, changed := h.view, h.changed
		h.viewMu.RUnlock()
		if v.Snapshot.Version() > above {
			return v
		}
		select {
		case <-changed:
		case <-timer.C:
			return v
		case <-ctx.Done():
			return v
		}
	}
}

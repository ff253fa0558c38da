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

// View is one version in force on a node: the snapshot and the routing table compiled from it.
type View struct {
	Snapshot *config.Snapshot
	Table    *config.Table
}

// FloorError reports a version below the floor of the node.
type FloorError struct{ Version, Floor uint64 }

// Error names both versions.
func (e *FloorError) Error() string {
	return fmt.Sprintf("version %d is below the floor %d", e.Version, e.Floor)
}

// Holder holds the newest whole version of a node and swaps it in one step.
type Holder struct {
	save    func(version uint64) error
	swapped func(v View)
	mu      sync.Mutex // serializes swaps
	floor   uint64
	proven  bool
	serving atomic.Bool // read on every call, so it must not wait for a swap
	state   sync.RWMutex
	view    View
	changed chan struct{}
}

// HolderOption configures a Holder.
type HolderOption func(*Holder)

// WithSavedFloor sets the floor read from disk, 0 for none, and the function that makes a new floor durable before a swap.
// Without a saved floor the disk may be new because the old one was lost, so the floor has to be proved as on a node
// without a disk.
func WithSavedFloor(floor uint64, save func(version uint64) error) HolderOption {
	return func(h *Holder) { h.floor, h.save, h.proven = floor, save, floor > 0 }
}

// WithSwapped sets a function that is called after each swap, in order.
func WithSwapped(f func(v View)) HolderOption { return func(h *Holder) { h.swapped = f } }

// NewHolder returns a holder without a version. Without a saved floor it serves nothing until Prove was called.
func NewHolder(opts ...HolderOption) (*Holder, error) {
	empty := config.NewSnapshot()
	table, err := config.NewTable(empty)
	if err != nil {
		return nil, fmt.Errorf("compile the empty snapshot: %w", err)
	}
	h := &Holder{
		save:    func(uint64) error { return nil },
		swapped: func(View) {},
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
	h.state.RLock()
	defer h.state.RUnlock()
	return h.view
}

// Serving reports whether the held version is proven to be at or above every version held before.
func (h *Holder) Serving() bool {
	return h.serving.Load()
}

// Proven reports whether the floor is known.
func (h *Holder) Proven() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proven
}

// Prove sets the floor from a read that a quorum confirmed after the start of this process.
func (h *Holder) Prove(floor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proven = true
	h.floor = max(h.floor, floor)
	h.serving.Store(h.View().Snapshot.Version() >= h.floor)
}

// Apply leads the held snapshot by a delta and swaps the result in.
func (h *Holder) Apply(d *wire.Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.View().Snapshot.Apply(d)
	if err != nil {
		return fmt.Errorf("apply delta to version %d: %w", d.GetVersion(), err)
	}
	return h.swap(next)
}

// Offer swaps in a whole snapshot if it is newer than the held one.
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
	held := h.View()
	table, err := config.NextTable(held.Table, held.Snapshot, s)
	if err != nil {
		return fmt.Errorf("compile version %d: %w", s.Version(), err)
	}
	if err := h.save(s.Version()); err != nil {
		return fmt.Errorf("save floor %d: %w", s.Version(), err)
	}
	h.floor = s.Version()
	v := View{Snapshot: s, Table: table}
	h.state.Lock()
	h.view = v
	close(h.changed)
	h.changed = make(chan struct{})
	h.state.Unlock()
	h.serving.Store(h.proven)
	h.swapped(v)
	return nil
}

// Wait returns the view once its version is above the given one, or the current view when wait has passed.
func (h *Holder) Wait(ctx context.Context, above uint64, wait time.Duration) View {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		h.state.RLock()
		v, changed := h.view, h.changed
		h.state.RUnlock()
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

package host

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/outcome"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/operator"
)

// These methods are for adapters that give a process another interface than the mesh's own.

// Ready reports whether the node takes calls of callers: it serves and is not leaving.
func (h *Host) Ready() bool {
	return h.Serving() && h.holder.View().Table.Configured() && !h.leaving.Load()
}

// Announce records an endpoint beside the node, or its renewal.
func (h *Host) Announce(a backend.Announcement) *outcome.Failure { return h.backend.Announce(a) }

// Leave refuses new work for an endpoint beside the node; it reports false for a leave that a later process overtook.
func (h *Host) Leave(a backend.Announcement) bool { return h.backend.Leave(a) }

// LeaveAgreed is Leave, and waits until the version in force no longer names the endpoint. A node that restarts takes up the
// endpoints that the agreed set names, so only then may the leave be acknowledged. It reports false when ctx ends first.
func (h *Host) LeaveAgreed(ctx context.Context, a backend.Announcement) bool {
	if !h.backend.Leave(a) {
		return true // a later process has its place
	}
	for ; ; time.Sleep(agreePause) {
		e, named := h.holder.View().Snapshot.Get("endpoint/" + a.Key())
		if !named || !sameProcess(e.Value, a) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// agreePause is the time between two looks at the version in force.
const agreePause = 10 * time.Millisecond

// sameProcess reports whether an agreed endpoint is the one that leaves, and not a later process of its name.
func sameProcess(value []byte, a backend.Announcement) bool {
	var e wire.Endpoint
	if err := proto.Unmarshal(value, &e); err != nil {
		return true
	}
	return a.Incarnation == 0 || e.GetIncarnation() <= a.Incarnation
}

// Context returns the context of a request that runs at the backend server beside the node, by its id; see
// backend.WithNamed.
func (h *Host) Context(id string) (string, bool) { return h.backend.Context(id) }

// Reseed replaces the seeds after a change of the settings.
func (h *Host) Reseed(seeds []netip.AddrPort) { h.known.reseed(seeds) }

// FormingError says that the control replicas are still too few for what the settings ask.
type FormingError struct{ Losses int }

// Error says what is missing.
func (*FormingError) Error() string {
	return "too few voting replicas to bear the losses that the settings name"
}

// Change commits an operator's change. It fails with *operator.UnavailableError when it is not known whether the change was
// accepted.
func (h *Host) Change(ctx context.Context, c *wire.Change) (*wire.Result, error) {
	return h.change(ctx, c)
}

// Whole returns the newest accepted change with its content as of the call, confirmed by a majority. Without a change both
// are nil.
func (h *Host) Whole(ctx context.Context) (*wire.Accepted, *wire.Content, error) {
	if err := h.confirmed(ctx); err != nil {
		return nil, nil, err
	}
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	list := h.control.store.Changes()
	if len(list) == 0 {
		return nil, nil, nil
	}
	newest := list[len(list)-1]
	content, err := h.control.store.Content(newest.GetVersion())
	if err != nil {
		return nil, nil, &operator.MissingError{Version: newest.GetVersion()}
	}
	return newest, content, nil
}

// Doubtful reports whether an error of Change or Whole leaves open what happened, or may pass.
func Doubtful(err error) bool {
	var unavailable *operator.UnavailableError
	return errors.As(err, &unavailable)
}

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

// The methods in this file are for adapters that replace the mesh's own interface to a process.

// Ready reports whether the node accepts calls: it is serving, has a configuration and is not draining.
func (h *Host) Ready() bool {
	return h.Serving() && h.holder.View().Table.Configured() && !h.stopping()
}

// Announce registers a local endpoint or renews it; the failure is nil if the announcement is accepted.
func (h *Host) Announce(a backend.Announcement) *outcome.Failure { return h.backend.Announce(a) }

// Leave stops new work for a local endpoint. It reports false if a later process has already taken over the endpoint.
func (h *Host) Leave(a backend.Announcement) bool { return h.backend.Leave(a) }

// LeaveAgreed is Leave, but waits until the leave is agreed and the version in force no longer lists the endpoint, and reports false
// if ctx ends first. It reports true at once if a later process has taken over the endpoint. Acknowledge a leave only after
// LeaveAgreed has reported true: a node that restarts adopts the endpoints that the agreed set lists.
func (h *Host) LeaveAgreed(ctx context.Context, a backend.Announcement) bool {
	if !h.backend.Leave(a) {
		return true // a later process has taken over the endpoint
	}
	if a.Incarnation == 0 {
		h.departures.addLast(a.Key())
	}
	for ; ; time.Sleep(agreePollInterval) {
		if h.leaveAgreed(a) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// leaveAgreed reports whether the agreed state keeps the process of a leave out. That the version in force does not list the endpoint
// is not enough: its registration may still be on the way to the leader. A node that holds no proven version cannot say what is listed.
func (h *Host) leaveAgreed(a backend.Announcement) bool {
	if pending, agreed := h.departures.of(a.Key()); !h.holder.Serving() || pending || !agreed {
		return false
	}
	listed, ok := h.holder.View().Snapshot.Get("endpoint/" + a.Key())
	return !ok || !sameProcess(listed.Value, a)
}

// agreePollInterval is the time between checks of the version in force.
const agreePollInterval = 10 * time.Millisecond

// sameProcess reports whether an agreed endpoint may belong to the process that leaves. It is false only if the endpoint has a
// later incarnation than the announcement.
func sameProcess(value []byte, a backend.Announcement) bool {
	var e wire.Endpoint
	if err := proto.Unmarshal(value, &e); err != nil {
		return true
	}
	return a.Incarnation == 0 || e.GetIncarnation() <= a.Incarnation
}

// Context returns the context of a request with the given id that runs at a local backend server; see backend.WithRequestID.
func (h *Host) Context(id string) (string, bool) { return h.backend.Context(id) }

// Reseed replaces the seeds after a change of the settings.
func (h *Host) Reseed(seeds []netip.AddrPort) { h.directory.reseed(seeds) }

// FormingError reports that there are too few control replicas to survive the configured number of losses.
type FormingError struct{ Losses int }

// Error describes the shortage of replicas.
func (*FormingError) Error() string {
	return "too few voting replicas to survive the losses that the settings name"
}

// Change commits an operator's change. An *operator.UnavailableError means that the change may or may not have been accepted.
// A conflict or a refusal is part of the result.
func (h *Host) Change(ctx context.Context, c *wire.Change) (*wire.Result, error) {
	return h.change(ctx, c)
}

// CurrentContent returns the newest accepted change and its content, confirmed by a majority after the call began. Both are
// nil if there is no change yet.
func (h *Host) CurrentContent(ctx context.Context) (*wire.Accepted, *wire.Content, error) {
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

// IsUnavailable reports whether an error of Change or CurrentContent is an *operator.UnavailableError: it may be temporary, or
// it leaves the outcome unknown.
func IsUnavailable(err error) bool {
	var unavailable *operator.UnavailableError
	return errors.As(err, &unavailable)
}

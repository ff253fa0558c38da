package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/rpc"
)

// local is what the node holds for one endpoint beside it.
type local struct {
	turnstile   *turnstile
	guard       *guard
	slots       int
	connections int
}

// endpoint returns the local state of an endpoint, made on first use.
func (h *Host) endpoint(key string) *local {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.locals[key]
	if !ok {
		l = &local{turnstile: newTurnstile(1, 0, h.toGate...), guard: newGuard(key, h.holder.View().Table.Suspect)}
		h.locals[key] = l
	}
	return l
}

// announced takes a new or changed endpoint of a backend server beside the node.
func (h *Host) announced(a backend.Announcement) {
	l := h.endpoint(a.Key())
	h.mu.Lock()
	l.slots, l.connections = a.Slots, a.Connections
	h.mu.Unlock()
	l.turnstile.resume()
	h.resize()
	h.changed()
}

func (h *Host) left(endpoint, _ string) {
	h.endpoint(endpoint).turnstile.drain()
	h.picker.Avoid(endpoint, time.Now().Add(avoidDraining), string(outcome.Draining))
	h.changed()
}

// resize applies the limits of the version in force to the endpoints beside the node.
func (h *Host) resize() {
	t := h.holder.View().Table
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, l := range h.locals {
		slots, connections := l.slots, l.connections
		if e, ok := t.Endpoint(k); ok {
			slots, connections = min(slots, e.Slots), min(connections, e.Connections)
		}
		if slots > 0 {
			l.turnstile.resize(slots, connections)
		}
		l.guard.update(t.Suspect)
	}
}

func (h *Host) admit(ctx context.Context, endpoint string, m hop.Meta) (func(backend.Result), *outcome.Failure) {
	t := h.endpoint(endpoint).turnstile
	if f := t.enter(ctx, requestOf(ctx, m)); f != nil {
		if f.Code == outcome.Busy {
			f.After += rand.N(f.After/2 + 1) // callers that were refused together do not return together
		}
		h.metrics.Refusals.WithLabelValues(string(f.Code)).Inc()
		return nil, f
	}
	h.metrics.Running.Inc()
	return func(r backend.Result) {
		h.metrics.Running.Dec()
		t.leave(m.Call, r)
	}, nil
}

func (h *Host) protect(_ context.Context, endpoint string, m hop.Meta) (func(backend.Result), *outcome.Failure) {
	g := h.endpoint(endpoint).guard
	if f := g.enter(m); f != nil {
		h.metrics.Refusals.WithLabelValues(string(f.Code)).Inc()
		return nil, f
	}
	return func(r backend.Result) { h.marker.add(g.leave(m.Call, r)) }, nil
}

func (h *Host) crashed(c backend.Crash) {
	marks := h.endpoint(c.Endpoint).guard.crash(c)
	h.log.Info("requests marked after a crash", "endpoint", c.Endpoint, "marks", len(marks))
	h.marker.add(marks)
}

func newBackend(h *Host) *backend.Backend {
	return backend.New(append([]backend.Option{
		backend.WithAnnounced(h.announced),
		backend.WithLeft(h.left),
		backend.WithHint(h.picker.Hint),
		backend.WithShed(func(endpoint string, after time.Duration) { h.endpoint(endpoint).turnstile.shed(after) }),
		backend.WithAdmit(h.admit),
		backend.WithGuard(h.protect),
		backend.WithCrashed(h.crashed),
		backend.WithContext(func(m hop.Meta, deadline time.Time) string {
			share := m.Budget
			if h.settings.Retries.Percent > 0 {
				share = retry.MaxShare // the budget that all nodes share bounds the retries of calls below, too
			}
			return caller.Context{Depth: m.Depth, Deadline: deadline, Budget: share}.String()
		}),
		backend.WithLog(h.log.WithName("backend")),
	}, h.toBackend...)...)
}

// identity returns the identity of the control replica of this process, or an empty string.
func (h *Host) identity() string {
	if h.control == nil || !h.known.seeded() {
		return ""
	}
	return h.control.replica.ID()
}

// announcement returns what the node announces about itself.
func (h *Host) announcement(leaving bool) *rpc.AnnounceRequest {
	r := &rpc.AnnounceRequest{
		Node: &wire.Node{
			Name:        h.settings.Name,
			Address:     h.peers.Address().String(),
			Domain:      h.settings.Domain,
			Region:      h.settings.Region,
			Incarnation: h.incarnation,
			Replica:     h.identity(),
			Link:        uint64(h.settings.Link),
		},
		Leaving: leaving,
	}
	for _, a := range h.backend.Endpoints() {
		incarnation := a.Incarnation
		if incarnation == 0 {
			incarnation = h.incarnation
		}
		r.Endpoints = append(r.Endpoints, &wire.Endpoint{
			Service:     a.Service,
			Name:        a.Endpoint,
			Node:        h.settings.Name,
			Slots:       uint32(a.Slots),
			Connections: uint32(a.Connections),
			Incarnation: incarnation,
		})
	}
	return r
}

// do runs a call at an endpoint beside the node and notes on the answer how much of the endpoint is taken.
func (h *Host) do(ctx context.Context, m hop.Meta, r *http.Request) (*http.Response, error) {
	p, err := h.backend.Do(ctx, m, r)
	if err == nil {
		hop.SetLoad(p, h.endpoint(m.Service+"/"+m.Endpoint).turnstile.occupied())
	}
	return p, err
}

// inner runs a call from another node. A failure is logged here, where its cause is known; for calls from this node io/caller
// logs it.
func (h *Host) inner(ctx context.Context, m hop.Meta, r *http.Request) (*http.Response, error) {
	p, err := h.do(context.WithValue(ctx, remoteKey{}, true), m, r)
	if err == nil && h.link != nil {
		h.link.Sent(time.Now(), m.Route, p.ContentLength)
	}
	if err != nil {
		f := hop.AsFailure(err, m.Call)
		h.log.WithName("backend").Info("call refused", "call", m.Call, "endpoint", m.Service+"/"+m.Endpoint, "code", f.Code, "outcome", f.Kind,
			"reason", f.Detail, "error", text(f.Err))
	}
	return p, err
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

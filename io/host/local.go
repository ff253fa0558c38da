package host

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"godwitspindle/core/admission"
	"godwitspindle/core/notice"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/core/rollout"
	"godwitspindle/core/shutdown"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/rpc"
)

// localEndpoint is the admission and quarantine state of one endpoint at this node.
type localEndpoint struct {
	queue       *admissionQueue
	guard       *guard
	slots       int                          // announced slots
	connections int                          // maximum connections, as announced
	process     notice.Process               // current process of the endpoint; guarded by the mutex of the Host
	limitMutex  sync.Mutex                   // serializes changes of limit
	estimate    estimateLog                  // last log line about the estimate of the capacity
	limit       atomic.Pointer[notice.Limit] // last limit that was stated, with rate 0 once it is withdrawn; nil before the first
}

// endpoint returns the state of a local endpoint and creates it on first use.
func (h *Host) endpoint(key string) *localEndpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.locals[key]
	if !ok {
		l = &localEndpoint{queue: newAdmissionQueue(1, 0, h.admissionOptions...), guard: newGuard(key, h.holder.View().Table.Suspect)}
		h.locals[key] = l
	}
	return l
}

// endpointAnnounced handles a new or changed endpoint of a local backend server.
func (h *Host) endpointAnnounced(a backend.Announcement) {
	l, p := h.endpoint(a.Key()), h.process(a)
	h.mu.Lock()
	changed := l.process != p
	l.slots, l.connections, l.process = a.Slots, a.Connections, p
	h.mu.Unlock()
	if changed {
		h.processChanged(l, p)
		l.queue.gate.ResetEstimate()
	}
	l.queue.resume()
	h.departures.announced(a.Key())
	h.resize()
	h.notifyAnnouncer()
}

// drainQueues refuses all calls that wait for local endpoints.
func (h *Host) drainQueues() {
	h.mu.Lock()
	locals := slices.Collect(maps.Values(h.locals))
	h.mu.Unlock()
	for _, l := range locals {
		l.queue.drain()
	}
}

func (h *Host) endpointLeft(endpoint, _ string) {
	h.endpoint(endpoint).queue.drain()
	h.picker.Avoid(endpoint, time.Now().Add(avoidDraining), string(outcome.Draining))
	h.notifyAnnouncer()
}

// resize applies the quarantine of the version in force to the local endpoints, and for each limit the smaller of the version's
// value and the announced one.
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
			l.queue.resize(slots, connections)
		}
		l.guard.update(t.Suspect)
	}
}

func (h *Host) admit(ctx context.Context, endpoint string, m hop.Meta) (func(backend.Result), *outcome.Failure) {
	l := h.endpoint(endpoint)
	if f := h.nested.refusal(endpoint, m); f != nil {
		h.metrics.Refusals.WithLabelValues(string(f.Code)).Inc()
		return nil, f
	}
	q, r := l.queue, admissionRequest(ctx, m)
	r.Movable = h.nested.movable(endpoint, m)
	r.Weight = h.customerWeight(m.Customer)
	if f := q.enter(ctx, r); f != nil {
		l.explainLimit(f)
		if f.Code == outcome.Busy || f.Code == outcome.Limited {
			f.RetryAfter += rand.N(f.RetryAfter/2 + 1) // jitter, so that callers refused together do not retry together
		}
		h.metrics.Refusals.WithLabelValues(string(f.Code)).Inc()
		return nil, f
	}
	if r, ok := ctx.Value(remoteKey{}).(*caller.Request); ok {
		r.Update(func(p *caller.Progress) { p.Sent = time.Now() })
	}
	h.nested.started(endpoint, m)
	h.metrics.Running.Inc()
	h.metrics.Sent.WithLabelValues(sentKind(m)).Inc()
	return func(r backend.Result) {
		h.metrics.Running.Dec()
		q.leave(m.Call, h.nested.ended(m.Call, r))
	}, nil
}

// customerWeight returns the rate of a customer's quota, 0 without one.
func (h *Host) customerWeight(name string) float64 {
	if name == "" {
		return 0
	}
	c, ok := h.holder.View().Table.Customer(name)
	if !ok {
		return 0
	}
	return c.Rate
}

// sentKind is the metrics label of a request that is sent to a backend server.
func sentKind(m hop.Meta) string {
	switch {
	case m.Depth > 1:
		return "nested"
	case m.Resent:
		return "resent"
	}
	return "first"
}

func (h *Host) checkQuarantine(_ context.Context, endpoint string, m hop.Meta) (func(backend.Result), *outcome.Failure) {
	g := h.endpoint(endpoint).guard
	if f := g.enter(m); f != nil {
		h.metrics.Refusals.WithLabelValues(string(f.Code)).Inc()
		return nil, f
	}
	return func(r backend.Result) { h.marker.add(g.leave(m.Call, r)) }, nil
}

func (h *Host) endpointCrashed(c backend.Crash) {
	marks := h.endpoint(c.Endpoint).guard.crash(c)
	h.log.Info("requests marked after a crash", "endpoint", c.Endpoint, "marks", len(marks))
	h.marker.add(marks)
}

func newBackend(h *Host) *backend.Backend {
	return backend.New(append([]backend.Option{
		backend.WithAnnounced(h.endpointAnnounced),
		backend.WithLeft(h.endpointLeft),
		backend.WithDeparted(h.endpointDeparted),
		backend.WithLoad(h.picker.RecordLoad),
		backend.WithShed(func(endpoint string, after time.Duration) { h.endpoint(endpoint).queue.shed(after) }),
		backend.WithNotice(h.endpointNoticed),
		backend.WithLoadReported(h.loadReported),
		backend.WithAdmit(h.admit),
		backend.WithQuarantineCheck(h.checkQuarantine),
		backend.WithCrashed(h.endpointCrashed),
		backend.WithStop(h.decideCall),
		backend.WithContext(func(m hop.Meta, deadline time.Time) string {
			share := m.Budget
			if h.settings.Retries.Percent > 0 {
				share = retry.MaxShare // the shared budget also limits the retries of nested calls
			}
			return caller.Context{Depth: m.Depth, Deadline: deadline, Budget: share, Parent: h.nested.parent(m), Customer: m.Customer}.String()
		}),
		backend.WithLog(h.log.WithName("backend")),
	}, h.backendOptions...)...)
}

// identity returns the identity of the local control replica if replicas are found through seeds, else an empty string.
func (h *Host) identity() string {
	if h.control == nil || !h.directory.seeded() {
		return ""
	}
	return h.control.replica.ID()
}

// announcement returns the node and its local endpoints as they are announced.
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
			Release:     announcedRelease(a.Release),
		})
	}
	return r
}

// announcedRelease returns the release of an announcement, or an empty text if it cannot be agreed.
func announcedRelease(name string) string {
	if len(name) > rollout.MaxRelease || !utf8.ValidString(name) {
		return ""
	}
	return name
}

// decideCall asks the rule of a planned stop for a call. One of another node is bound: if it were cut, that node, which may itself be
// stopping, would answer in place of an endpoint that is at work, and it can send the call elsewhere.
func (h *Host) decideCall(ctx context.Context, now time.Time, w shutdown.Work) shutdown.Decision {
	w.Bound = ctx.Value(remoteKey{}) != nil
	return h.shutdown.Decide(now, w)
}

// callBackend runs a call at a local endpoint and reports the occupancy and the limit of the endpoint in the answer.
func (h *Host) callBackend(ctx context.Context, m hop.Meta, r *http.Request) (*http.Response, error) {
	p, err := h.backend.Do(ctx, m, r)
	key := m.EndpointKey()
	if err != nil {
		return nil, h.nested.classifyRefusal(m, err, func() admission.Stats { return h.endpoint(key).queue.gate.Stats() })
	}
	l := h.endpoint(key)
	setLoad(p, l.queue, m.Route)
	if rate := l.rate(); rate > 0 {
		hop.SetLimit(p, float64(rate))
	}
	return p, nil
}

// serveRemote runs a call from another node. It logs a failure here, where the cause is known; package caller logs the
// failures of calls that start at this node.
func (h *Host) serveRemote(ctx context.Context, m hop.Meta, r *http.Request) (*http.Response, error) {
	h.adoptLimit(m)
	tracked := h.stop.trackRemote(m, h.settings.Name, time.Now())
	p, err := h.callBackend(context.WithValue(ctx, remoteKey{}, tracked), m, r)
	trackAnswer(tracked, p)
	if err == nil && h.link != nil {
		h.link.Sent(time.Now(), m.Route, p.ContentLength)
	}
	if err != nil {
		f, state := hop.AsFailure(err, m.Call), tracked.Progress()
		fields := []any{
			"call", m.Call, "endpoint", m.EndpointKey(), "code", f.Code, "outcome", f.Kind,
			"reason", f.Detail, "error", errorText(f.Err), "waited", waited(state, time.Now()), "took", time.Since(state.Began).String(),
		}
		if m.Customer != "" {
			fields = append(fields, "customer", m.Customer)
		}
		h.log.WithName("backend").Info("call refused", fields...)
	}
	return p, err
}

// waited returns how long a call of another node waited for admission, with its unit.
func waited(p caller.Progress, now time.Time) string {
	if !p.Sent.IsZero() {
		now = p.Sent
	}
	return now.Sub(p.Began).String()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

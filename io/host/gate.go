package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
)

// statusCanceled is the status that proxies commonly log when the client closed the request.
const statusCanceled = 499

// admissionQueue holds calls until the admission gate of one endpoint decides on them.
type admissionQueue struct {
	mu      sync.Mutex // serializes decisions with the registration of waiting calls
	gate    *admission.Gate
	waiting map[string]chan admission.Decision
	timer   *time.Timer
}

func newAdmissionQueue(slots, connections int, opts ...admission.Option) *admissionQueue {
	t := &admissionQueue{
		gate:    admission.New(append([]admission.Option{admission.WithSlots(slots), admission.WithConnections(connections)}, opts...)...),
		waiting: map[string]chan admission.Decision{},
	}
	t.timer = time.AfterFunc(time.Hour, t.tick)
	return t
}

// enter blocks until the call is admitted, or returns the failure that refused it.
func (t *admissionQueue) enter(ctx context.Context, r admission.Request) *outcome.Failure {
	t.mu.Lock()
	d := t.gate.Decide(time.Now(), r)
	if d.Displaced != nil {
		t.deliver([]admission.Decision{*d.Displaced})
	}
	if d.Action != admission.Queue {
		t.mu.Unlock()
		return d.Failure
	}
	answer := make(chan admission.Decision, 1)
	t.waiting[r.Call] = answer
	t.rearm()
	t.mu.Unlock()
	select {
	case d = <-answer:
		return d.Failure
	case <-ctx.Done():
		return t.abandon(ctx, r.Call, answer)
	}
}

// abandon removes a call from the queue. If the call was admitted at the same moment, its slot is released.
func (t *admissionQueue) abandon(ctx context.Context, call string, answer chan admission.Decision) *outcome.Failure {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, call)
	select {
	case d := <-answer:
		if d.Action == admission.Admit {
			t.deliver(t.gate.Done(now, call, 0, false))
		}
	default:
		t.deliver(t.gate.Cancel(now, call))
	}
	if ctx.Err() == context.DeadlineExceeded {
		return &outcome.Failure{
			Code: outcome.Late, Kind: outcome.NotRun, Status: http.StatusGatewayTimeout, Call: call,
			Detail: "the deadline passed in the queue",
		}
	}
	return &outcome.Failure{Code: outcome.Canceled, Kind: outcome.NotRun, Status: statusCanceled, Detail: "the caller went away", Call: call}
}

func (t *admissionQueue) leave(call string, r backend.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Done(time.Now(), call, r.Took, r.OK))
}

func (t *admissionQueue) shed(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Shed(time.Now(), after)
	t.rearm()
}

func (t *admissionQueue) resize(slots, connections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Resize(time.Now(), slots, connections))
}

func (t *admissionQueue) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Drain(time.Now()))
}

func (t *admissionQueue) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Resume()
}

// occupancy returns the running and waiting calls divided by the number of slots.
func (t *admissionQueue) occupancy() float64 {
	s := t.gate.Stats()
	return float64(s.Running+s.Queued) / float64(max(s.Slots, 1))
}

// queued returns the number of waiting calls.
func (t *admissionQueue) queued() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

func (t *admissionQueue) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Tick(time.Now()))
	t.rearm()
}

// rearm sets the timer to the next moment at which the passing of time changes a decision.
func (t *admissionQueue) rearm() {
	next := t.gate.Next()
	if !next.IsZero() {
		t.timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

func (t *admissionQueue) deliver(list []admission.Decision) {
	for _, d := range list {
		answer, ok := t.waiting[d.Call]
		if !ok {
			continue
		}
		delete(t.waiting, d.Call)
		answer <- d
	}
}

// remoteKey is the context key that marks calls from other nodes.
type remoteKey struct{}

func admissionRequest(ctx context.Context, m hop.Meta) admission.Request {
	deadline, _ := ctx.Deadline()
	var objective time.Time
	if m.Aim != 0 {
		objective = time.Now().Add(m.Aim)
	}
	inner := m.Depth > 1 // made by a running request, whose work would be lost by a refusal
	return admission.Request{
		Objective:  objective,
		Again:      m.Again,
		Final:      m.Final || inner && m.Aim != 0,
		Inner:      inner,
		Remote:     ctx.Value(remoteKey{}) != nil,
		Call:       m.Call,
		Caller:     m.Caller,
		Kind:       m.Route,
		Priority:   m.Priority,
		Deadline:   deadline,
		Idempotent: m.Idempotent,
		Late:       m.Late,
	}
}

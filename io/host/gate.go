package host

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/capacity"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
)

// minCapacity keeps the occupancy of an endpoint with a low rate within what an answer can state.
const minCapacity = 0.1

// statusCanceled is the status that proxies commonly log when the client closed the request.
const statusCanceled = 499

// admissionQueue holds calls until the admission gate of one endpoint decides on them.
type admissionQueue struct {
	mu      sync.Mutex // serializes decisions with the registration of waiting calls
	gate    *admission.Gate
	waiting map[string]chan admission.Decision // waiting calls by call id
	timer   *time.Timer
}

func newAdmissionQueue(slots, connections int, opts ...admission.Option) *admissionQueue {
	q := &admissionQueue{
		gate:    admission.New(append([]admission.Option{admission.WithSlots(slots), admission.WithConnections(connections)}, opts...)...),
		waiting: map[string]chan admission.Decision{},
	}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	return q
}

// enter blocks until the call is admitted, is refused or ctx ends. It returns nil if the call is admitted, else the failure.
func (q *admissionQueue) enter(ctx context.Context, r admission.Request) *outcome.Failure {
	q.mu.Lock()
	d := q.gate.Decide(time.Now(), r)
	if d.Displaced != nil {
		q.deliver([]admission.Decision{*d.Displaced})
	}
	if d.Action != admission.Queue {
		q.mu.Unlock()
		return d.Failure
	}
	answer := make(chan admission.Decision, 1)
	q.waiting[r.Call] = answer
	q.rearm()
	q.mu.Unlock()
	select {
	case d = <-answer:
		return d.Failure
	case <-ctx.Done():
		return q.abandon(ctx, r.Call, answer)
	}
}

// abandon removes a call whose context ended from the queue and returns the failure. If the call was admitted at the same
// moment, its slot is released.
func (q *admissionQueue) abandon(ctx context.Context, call string, answer chan admission.Decision) *outcome.Failure {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, call)
	select {
	case d := <-answer:
		if d.Action == admission.Admit {
			q.deliver(q.gate.Done(now, call, 0, false))
		}
	default:
		q.deliver(q.gate.Cancel(now, call))
	}
	if ctx.Err() == context.DeadlineExceeded {
		return &outcome.Failure{
			Code: outcome.DeadlineExceeded, Kind: outcome.NotRun, Status: http.StatusGatewayTimeout, Call: call,
			Detail: "the deadline passed in the queue",
		}
	}
	return &outcome.Failure{Code: outcome.Canceled, Kind: outcome.NotRun, Status: statusCanceled, Detail: "the caller canceled the request", Call: call}
}

func (q *admissionQueue) leave(call string, r backend.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if r.Full || r.Broken {
		q.gate.Rejected(now, r.Broken)
	}
	q.deliver(q.gate.Done(now, call, r.Took, r.OK))
}

func (q *admissionQueue) shed(after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Shed(time.Now(), after)
	q.rearm()
}

func (q *admissionQueue) resize(slots, connections int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.gate.Resize(time.Now(), slots, connections))
}

func (q *admissionQueue) drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.gate.Drain(time.Now()))
}

func (q *admissionQueue) resume() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Resume()
}

// setRate sets the number of calls that may start per second, 0 for no limit.
func (q *admissionQueue) setRate(perSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.gate.SetRate(time.Now(), perSecond))
}

// report passes the load that the backend server reports to the gate.
func (q *admissionQueue) report(r capacity.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.gate.Report(time.Now(), r))
}

// occupancy returns the running and waiting calls as a share of those that the endpoint can run at once.
func (q *admissionQueue) occupancy() float64 {
	s := q.gate.Stats()
	if s.Rate == 0 {
		return float64(s.Running+s.Queued) / float64(max(s.Slots, 1))
	}
	return float64(s.Running+s.Queued) / max(s.Capacity, minCapacity)
}

// queued returns the number of waiting calls.
func (q *admissionQueue) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *admissionQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.gate.Tick(time.Now()))
}

// rearm sets the timer to the next moment at which the passing of time changes a decision.
func (q *admissionQueue) rearm() {
	next := q.gate.Next(time.Now())
	if !next.IsZero() {
		q.timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

// deliver hands decisions to the calls that wait for them. The state of the gate has changed, so the timer is set again.
func (q *admissionQueue) deliver(list []admission.Decision) {
	defer q.rearm()
	for _, d := range list {
		answer, ok := q.waiting[d.Call]
		if !ok {
			continue
		}
		delete(q.waiting, d.Call)
		answer <- d
	}
}

// remoteKey is the context key that marks calls from other nodes.
type remoteKey struct{}

func admissionRequest(ctx context.Context, m hop.Meta) admission.Request {
	deadline, _ := ctx.Deadline()
	var objective time.Time
	if m.Objective != 0 {
		objective = time.Now().Add(m.Objective)
	}
	nested := m.Depth > 1 // made by a running request, whose work would be lost by a refusal
	return admission.Request{
		Objective:    objective,
		Resent:       m.Resent,
		LastAttempt:  m.LastAttempt || nested && m.Objective != 0,
		Nested:       nested,
		Remote:       ctx.Value(remoteKey{}) != nil,
		Call:         m.Call,
		Caller:       cmp.Or(m.Customer, m.Caller),
		Customer:     m.Customer,
		Kind:         m.Route,
		Priority:     m.Priority,
		RouteOffset:  m.RouteOffset,
		Deadline:     deadline,
		Idempotent:   m.Idempotent,
		LateTolerant: m.Late,
	}
}

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

// statusCanceled is the customary status for a caller that went away.
const statusCanceled = 499

// turnstile lets calls wait for the decisions of the admission gate of one endpoint.
type turnstile struct {
	mu      sync.Mutex // orders decisions with the registration of those who wait for them
	gate    *admission.Gate
	waiting map[string]chan admission.Decision
	timer   *time.Timer
}

func newTurnstile(slots, connections int, opts ...admission.Option) *turnstile {
	t := &turnstile{
		gate:    admission.New(append([]admission.Option{admission.WithSlots(slots), admission.WithConnections(connections)}, opts...)...),
		waiting: map[string]chan admission.Decision{},
	}
	t.timer = time.AfterFunc(time.Hour, t.tick)
	return t
}

// enter returns when the call is admitted, or with the failure that refused it.
func (t *turnstile) enter(ctx context.Context, r admission.Request) *outcome.Failure {
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

// abandon takes a call out of the queue; one that was admitted at the same moment gives its slot back.
func (t *turnstile) abandon(ctx context.Context, call string, answer chan admission.Decision) *outcome.Failure {
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

func (t *turnstile) leave(call string, r backend.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Done(time.Now(), call, r.Took, r.OK))
}

func (t *turnstile) shed(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Shed(time.Now(), after)
	t.rearm()
}

func (t *turnstile) resize(slots, connections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Resize(time.Now(), slots, connections))
}

func (t *turnstile) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Drain(time.Now()))
}

func (t *turnstile) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Resume()
}

// occupied returns the calls that run and wait as a share of the slots.
func (t *turnstile) occupied() float64 {
	s := t.gate.Stats()
	return float64(s.Running+s.Queued) / float64(max(s.Slots, 1))
}

// queued returns the number of calls that wait.
func (t *turnstile) queued() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

func (t *turnstile) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(t.gate.Tick(time.Now()))
	t.rearm()
}

// rearm sets the timer to the next moment at which time alone changes a decision.
func (t *turnstile) rearm() {
	next := t.gate.Next()
	if !next.IsZero() {
		t.timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

func (t *turnstile) deliver(list []admission.Decision) {
	for _, d := range list {
		answer, ok := t.waiting[d.Call]
		if !ok {
			continue
		}
		delete(t.waiting, d.Call)
		answer <- d
	}
}

// remoteKey marks the context of a call from another node.
type remoteKey struct{}

func requestOf(ctx context.Context, m hop.Meta) admission.Request {
	deadline, _ := ctx.Deadline()
	var objective time.Time
	if m.Aim != 0 {
		objective = time.Now().Add(m.Aim)
	}
	inner := m.Depth > 1 // made for a request that runs, whose work would be lost
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

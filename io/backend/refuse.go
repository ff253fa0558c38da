package backend

import (
	"context"
	"math/rand/v2"
	"net/http"

	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"
)

// refusal returns a failure if a call may not begin, or not wait for admission, because of its endpoint or of a planned stop.
func (b *Backend) refusal(ctx context.Context, key string, m hop.Meta) *outcome.Failure {
	b.mu.Lock()
	f := b.refusalFor(b.endpoints[key], m.Call)
	b.mu.Unlock()
	if f != nil {
		return f
	}
	return b.stopRefusal(ctx, m)
}

func (b *Backend) refusalFor(e *endpoint, call string) *outcome.Failure {
	f := &outcome.Failure{Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: call}
	switch {
	case b.draining:
		f.Code, f.Detail = outcome.Draining, "the node is draining and takes no new calls"
	case e == nil:
		f.Code, f.Detail = outcome.NoEndpoint, "the endpoint is not announced on this node"
	case e.leaving:
		f.Code, f.Detail = outcome.Draining, "the endpoint is draining and takes no new calls"
	default:
		return nil
	}
	return f
}

// stopRefusal returns a failure if the call may not begin because of a planned stop. The objective that the call carries is the
// time in which its answer is usually due.
func (b *Backend) stopRefusal(ctx context.Context, m hop.Meta) *outcome.Failure {
	deadline, _ := ctx.Deadline()
	d := b.stopRule(ctx, b.now(), shutdown.Work{Deadline: deadline, Expected: max(m.Objective, 0)})
	if d.Allowed {
		return nil
	}
	return &outcome.Failure{
		Code: outcome.Draining, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: m.Call,
		Detail: "the node is stopping and may not finish the call in time", RetryAfter: d.RetryAfter + rand.N(d.RetryAfter+1),
	}
}

// begin records a call as in flight, unless the endpoint began to leave, or a planned stop began, while the call waited for admission.
func (b *Backend) begin(ctx context.Context, key string, l *flight) *outcome.Failure {
	if f := b.stopRefusal(ctx, l.meta); f != nil {
		return f
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[key]
	if f := b.refusalFor(e, l.meta.Call); f != nil {
		return f
	}
	l.endpoint, l.pool, l.announcement = e, e.pool, e.announcement
	l.run = &runningCall{fingerprint: l.meta.Fingerprint, process: e.crashes}
	e.running[l.run] = struct{}{}
	b.running++
	return nil
}

package backend

import (
	"context"
	"errors"
	"net/http"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// errWithdrawn ends the wait of a call for a connection.
var errWithdrawn = &WithdrawnError{}

// WithdrawnError reports that the node which sent a call has withdrawn it before anything was written to the backend server.
type WithdrawnError struct{}

// Error states the withdrawal.
func (*WithdrawnError) Error() string { return "the call was withdrawn before it was sent" }

// Withdraw ends a call that waits for a connection to its backend server, as draining and notrun, and reports whether there was one.
// A call of which something may have been written is not changed.
func (b *Backend) Withdraw(call hop.Withdrawn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancel, ok := b.connecting[call]
	if ok {
		cancel(errWithdrawn)
		delete(b.connecting, call)
	}
	return ok
}

// connect returns a connection for the call. A call that has to wait for one may be withdrawn, and the rule of a planned stop is asked
// again after the wait.
func (l *flight) connect(ctx context.Context) (*conn, *outcome.Failure) {
	if c := l.pool.acquireIdle(); c != nil {
		return c, nil
	}
	b, id := l.backend, hop.Withdrawn{Endpoint: l.endpoint.key, Call: l.meta.Call}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b.mu.Lock()
	b.connecting[id] = cancel
	b.mu.Unlock()
	c, err := l.pool.acquire(waiting)
	b.mu.Lock()
	delete(b.connecting, id)
	b.mu.Unlock()
	f := l.waitFailure(ctx, waiting, err)
	if f == nil {
		return c, nil
	}
	if err == nil {
		l.pool.put(c, true)
	}
	return nil, f
}

// waitFailure returns the failure of a call that waited for a connection, or nil if it may be sent. err is the error of the wait.
func (l *flight) waitFailure(ctx, waiting context.Context, err error) *outcome.Failure {
	switch {
	case errors.Is(context.Cause(waiting), errWithdrawn):
		return l.failure(outcome.Draining, outcome.NotRun, http.StatusServiceUnavailable, "the node that sent the call is stopping and withdrew it", errWithdrawn)
	case err != nil:
		return l.classify(ctx, err, false)
	}
	return l.backend.stopRefusal(ctx, l.meta)
}

package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
)

// reasonStopping is the reason of a Verdict that a planned stop turned into a refusal, for the log.
const reasonStopping = "stop"

const (
	// answerReserve is the part of the time until the end of a planned stop that is kept for passing on an answer.
	answerReserve = 50 * time.Millisecond
	// maxDiscardTime is how long a refused caller may go on sending its body. A close before that would reset the connection, and
	// the caller could lose the refusal.
	maxDiscardTime = 500 * time.Millisecond
)

// waits holds the waits of requests that are not yet sent, or not completely, so that the beginning of a planned stop can limit
// them.
type waits struct {
	mu     sync.Mutex
	decide func(time.Time, shutdown.Work) shutdown.Decision
	all    map[*wait]struct{}
}

// wait is the wait of one request: for its body, a claim or its next attempt.
type wait struct {
	work  shutdown.Work
	limit func(time.Time) // makes the wait end at a time; it must not block
}

// add begins a wait, which ends at the request's deadline or once the request may no longer begin.
func (l *waits) add(now time.Time, w *wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[w] = struct{}{}
	l.apply(now, w)
}

func (l *waits) apply(now time.Time, w *wait) {
	until := l.decide(now, w.work).Until
	if until.IsZero() {
		until = w.work.Deadline
	}
	w.limit(earlier(w.work.Deadline, until))
}

// applyAll limits all waits by the planned stop that has begun.
func (l *waits) applyAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.all {
		l.apply(now, w)
	}
}

// remove ends a wait without changing its limit.
func (l *waits) remove(w *wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, w)
}

// complete ends a wait whose limit must not apply to what follows: the limit becomes a time shortly after the request's deadline.
func (l *waits) complete(w *wait) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.all[w]; ok {
		delete(l.all, w)
		w.limit(w.work.Deadline.Add(writeMargin))
	}
}

// StopBegun limits the waits of requests that are not sent yet. Call it after the function of WithStop has begun to take a planned
// stop into account.
func (h *Handler) StopBegun() { h.waits.applyAll(h.now()) }

// work describes the request for the decision of a planned stop.
func (c *call) work() shutdown.Work {
	return shutdown.Work{Deadline: c.deadline, Expected: c.match.Route.Latency}
}

// stopRefusal returns nil if the request may be sent after a further wait, else the refusal of a planned stop.
func (c *call) stopRefusal(wait time.Duration) *outcome.Failure {
	d := c.handler.stop(c.handler.now().Add(wait), c.work())
	if d.Allowed {
		return nil
	}
	f := c.fail(outcome.Draining, http.StatusServiceUnavailable, "the node is stopping and may not finish the request in time", nil)
	f.RetryAfter = d.RetryAfter + rand.N(d.RetryAfter+1) // jitter, so that callers refused together do not return together
	return f
}

// waitForBody limits the time to read the body. The limit ends with the body, since net/http takes a passed read deadline of a
// running request for the end of its caller: the request would end as cancelled, not at its deadline.
func (c *call) waitForBody() {
	controller := http.NewResponseController(c.w)
	c.bodyWait = &wait{work: c.work(), limit: func(t time.Time) { _ = controller.SetReadDeadline(t) }}
	c.handler.waits.add(c.handler.now(), c.bodyWait)
}

// bodyComplete ends the limit of waitForBody: the body is complete, or the answer has begun.
func (c *call) bodyComplete() {
	if c.bodyWait != nil {
		c.handler.waits.complete(c.bodyWait)
	}
}

// endBodyWait ends the wait for the body of a request that has been answered. During a planned stop, what its caller still sends is
// read for a short time only.
func (c *call) endBodyWait() {
	if c.bodyWait != nil {
		c.handler.waits.remove(c.bodyWait)
	}
}

// limitDiscard bounds how long the rest of the body of an answered request is read during a planned stop.
func (c *call) limitDiscard() {
	now := c.handler.now()
	d := c.handler.stop(now, shutdown.Work{})
	complete := c.r.Body == nil || c.r.Body == http.NoBody || c.body != nil && (c.body.rest == nil || c.body.whole.Load())
	if d.Until.IsZero() || complete {
		return
	}
	c.endBodyWait()
	left := min(maxDiscardTime, max(d.Left-answerReserve, 0))
	_ = http.NewResponseController(c.w).SetReadDeadline(now.Add(left))
}

// waitContext returns a context that ends with the request's, or once the request may no longer be sent because of a planned stop.
// The caller must call done at the end of the wait.
func (c *call) waitContext() (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	now := c.handler.now
	timer := time.AfterFunc(c.deadline.Sub(now()), cancel)
	w := &wait{work: c.work(), limit: func(t time.Time) { timer.Reset(t.Sub(now())) }}
	c.handler.waits.add(now(), w)
	return ctx, func() {
		c.handler.waits.remove(w)
		timer.Stop()
		cancel()
	}
}

// storeLimit returns the time for one attempt to store or release a claim; in a planned stop, it ends before the stop does.
func (h *Handler) storeLimit() time.Duration {
	d := h.stop(h.now(), shutdown.Work{})
	if d.Until.IsZero() {
		return storeTimeout
	}
	return min(storeTimeout, max(d.Left-answerReserve, 0))
}

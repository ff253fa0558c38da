package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/hop"
)

// serveUnkeyed sends a request that needs no claim and passes the answer on.
func (c *call) serveUnkeyed() {
	p, f := c.sendWithRetries()
	if f != nil {
		c.refuse(f)
		return
	}
	c.stream(p)
}

// stream passes an answer on. If the answer breaks off, stream aborts the caller's connection, so that the caller cannot take
// the part for a complete answer.
func (c *call) stream(p *http.Response) {
	c.tracked.Update(func(p *Progress) { p.Answered = true })
	c.enableFullDuplex()
	if err := hop.Copy(c.w, p); err != nil {
		c.answerBroken(err)
		if !c.r.ProtoAtLeast(1, 1) {
			resetConnection(c.w)
		}
		panic(http.ErrAbortHandler)
	}
	c.limitDiscard()
	c.succeeded(p.StatusCode)
}

// resetConnection resets the connection of a caller. For a caller of HTTP/1.0 the close of the connection is the end of an answer of
// unknown length, so only a reset shows that the answer broke off. Under TLS no notice of a regular close is sent.
func resetConnection(w http.ResponseWriter) {
	n, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has ended
	}
	inner := n
	for {
		u, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = u.NetConn()
	}
	if t, ok := inner.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = inner.Close()
	_ = n.Close()
}

// sendWithRetries sends the request until an endpoint answers or no further attempt is allowed or possible. If
// decideRetry allows no retry of a shed request, the backend server's refusal is the answer.
func (c *call) sendWithRetries() (*http.Response, *outcome.Failure) {
	var last *outcome.Failure
	for {
		if f := c.stopRefusal(0); f != nil {
			return nil, c.requestOutcome(f)
		}
		e, f := c.pickEndpoint(last)
		if f != nil {
			return nil, c.requestOutcome(f)
		}
		p, f := c.attempt(e)
		if f == nil {
			return p, nil
		}
		v, f := c.decideRetry(f)
		if !v.Retry && p != nil {
			c.refused = true
			return p, nil // the backend server's refusal is passed on as the answer
		}
		if p != nil {
			_ = p.Body.Close()
		}
		if f.Kind != outcome.NotRun {
			c.mayHaveRun = true
		}
		if !v.Retry || !c.sleep(v.Wait) {
			return nil, c.requestOutcome(f)
		}
		last = f
	}
}

// requestOutcome turns the last attempt's failure into the outcome of the request: notrun becomes unknown if an earlier
// attempt may have run.
func (c *call) requestOutcome(f *outcome.Failure) *outcome.Failure {
	if !c.mayHaveRun || f.Kind != outcome.NotRun {
		return f
	}
	n := *f
	n.Kind = outcome.Unknown
	return &n
}

func (c *call) pickEndpoint(last *outcome.Failure) (config.Endpoint, *outcome.Failure) {
	now := c.handler.now()
	if c.deadline.Sub(now) < time.Millisecond {
		if last != nil {
			return config.Endpoint{}, last
		}
		return config.Endpoint{}, c.fail(outcome.DeadlineExceeded, http.StatusGatewayTimeout, "no endpoint tried: less than 1 ms left before the deadline", nil)
	}
	e, reason, err := c.handler.pick(PickRequest{Route: c.match.Route, Service: c.match.Service, Tried: c.tried, Now: now})
	if err == nil {
		c.endpoint, c.pickReason = e.Key(), reason
		c.tried = append(c.tried, c.endpoint)
		return e, nil
	}
	if last != nil {
		return config.Endpoint{}, last
	}
	return config.Endpoint{}, c.fail(outcome.NoEndpoint, http.StatusServiceUnavailable, "the service has no usable endpoint", err)
}

// attempt sends the request once. If the backend server sheds an idempotent request, attempt returns both its answer and a
// failure.
func (c *call) attempt(e config.Endpoint) (*http.Response, *outcome.Failure) {
	h := c.handler
	begin := h.now()
	m := c.meta
	m.Endpoint, m.Remaining = e.Name, c.deadline.Sub(begin)
	if !c.objective.IsZero() {
		m.Objective, m.Resent, m.LastAttempt = c.objective.Sub(begin), c.resent, c.noResends || c.isLastAttempt()
	}
	m.Budget, c.budget = retry.Split(c.budget)
	ctx, lost := c.bodyContext()
	r := *c.outbound
	r.Body, r.ContentLength = c.body.attemptBody(c.r.ContentLength, lost)
	c.tracked.Update(func(p *Progress) {
		p.Endpoint, p.Host, p.Address, p.Sent = c.endpoint, e.Node, e.Address, begin
		p.Attempts++
	})
	h.attemptStarted(c.endpoint, begin)
	p, err := h.send(ctx, e, m, &r)
	if err == nil {
		c.bodyComplete() // an answer that has begun ends by itself, also if its endpoint still reads the body
		if f := c.readAhead(p); f != nil {
			p, err = nil, f
		}
	}
	lost.detach()
	o := Observation{At: h.now(), Incarnation: e.Incarnation, Release: e.Release, Route: c.match.Route.Name}
	o.Took = o.At.Sub(begin)
	if err != nil {
		o.Failure = hop.AsFailure(err, c.id)
		if o.Failure.Kind == outcome.NotRun {
			c.budget += m.Budget // the request did not run, so no call made for it has used these retries
		}
		h.attemptDone(c.endpoint, o)
		return nil, c.lostOutcome(o.Failure, lost)
	}
	o.Status, o.Leaving, o.Limit, o.Expected = p.StatusCode, hop.Leaving(p), hop.Limit(p), hop.Expected(p)
	if load, ok := hop.Load(p); ok {
		o.Load = load
	}
	c.overhead = -1
	if took, ok := hop.BackendTime(p); ok {
		c.overhead = max(o.At.Sub(c.began)-took, 0)
	}
	h.attemptDone(c.endpoint, o)
	after, shed := hop.Shed(p)
	if !shed || !c.match.Route.Idempotent {
		return p, nil
	}
	return p, &outcome.Failure{
		Code: outcome.Overload, Kind: outcome.Unknown, Status: p.StatusCode, Detail: "the backend server shed the request (503 with Retry-After)",
		Call: c.id, RetryAfter: after,
	}
}

// decideRetry asks the retry policy whether to send again. Whatever the policy says, decideRetry never repeats a
// request that may run only once and may have run, nor one whose body is partly consumed, nor one that a planned stop refuses. It
// also returns the failure of the request if that is not sent again.
func (c *call) decideRetry(f *outcome.Failure) (Verdict, *outcome.Failure) {
	resendable := c.body.resendable()
	v := c.handler.decideRetry(Attempt{
		Route: c.match.Route, Service: c.match.Service.Name, Failure: f, Endpoint: c.endpoint, Repicks: c.repicks, Retries: c.retries, Budget: c.budget,
		Resend: resendable, Deadline: c.deadline, Now: c.handler.now(),
	})
	safe := f.Kind == outcome.NotRun || (c.match.Route.Idempotent && f.Kind == outcome.Unknown)
	v.Retry = v.Retry && safe && resendable && c.ctx.Err() == nil
	if stop := c.stopRefusal(v.Wait); v.Retry && stop != nil {
		v.Retry, v.Reason = false, reasonStopping
		if f.Kind == outcome.NotRun {
			f = stop // its RetryAfter is shorter, because other nodes can serve the request at once
		}
	}
	if v.Retry && v.Repick {
		c.repicks++
	}
	if v.Retry && !v.Repick {
		c.retries++
		c.budget--
	}
	c.retryReason = v.Reason
	if v.Retry { // a failure without another attempt is logged by refuse
		c.handler.log.Info("attempt failed, trying again", "call", c.id, "route", c.match.Route.Name, "endpoint", c.endpoint, "code", f.Code,
			"outcome", f.Kind, "repick", v.Repick, "reason", c.retryReason, "detail", f.Detail, "error", cause(f))
	}
	return v, f
}

// sleep waits before the next attempt. It returns false without waiting if the deadline comes first, or once the request ends.
func (c *call) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	if d >= c.deadline.Sub(c.handler.now()) {
		return false
	}
	ctx, done := c.waitContext()
	defer done()
	return c.pause(ctx, d)
}

// pause waits, at most until ctx ends, and reports whether the request goes on. Whether it may be sent is decided after it.
func (c *call) pause(ctx context.Context, d time.Duration) bool {
	return sleepContext(ctx, d) || c.ctx.Err() == nil
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

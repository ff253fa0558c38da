package caller

import (
	"context"
	"net/http"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/hop"
)

// run carries a request without claim.
func (c *call) run() {
	p, f := c.attempts()
	if f != nil {
		c.refuse(f)
		return
	}
	c.stream(p)
}

// stream passes an answer on; a broken one breaks the caller's connection, so that it is never taken for a whole answer.
func (c *call) stream(p *http.Response) {
	if err := hop.Copy(c.w, p); err != nil {
		c.broken(err)
		panic(http.ErrAbortHandler)
	}
	c.succeeded(p.StatusCode)
}

// attempts sends the request until an endpoint answers or it must not be sent again.
func (c *call) attempts() (*http.Response, *outcome.Failure) {
	var last *outcome.Failure
	for {
		e, f := c.choose(last)
		if f != nil {
			return nil, c.settle(f)
		}
		p, f := c.attempt(e)
		if f == nil {
			return p, nil
		}
		v := c.judge(f)
		if !v.Again && p != nil {
			c.shed = true
			return p, nil // the backend server's own refusal is the answer
		}
		if p != nil {
			_ = p.Body.Close()
		}
		if f.Kind != outcome.NotRun {
			c.doubt = true
		}
		if !v.Again || !c.sleep(v.Wait) {
			return nil, c.settle(f)
		}
		last = f
	}
}

// settle gives the outcome of the whole request: not run only if no attempt may have run.
func (c *call) settle(f *outcome.Failure) *outcome.Failure {
	if !c.doubt || f.Kind != outcome.NotRun {
		return f
	}
	n := *f
	n.Kind = outcome.Unknown
	return &n
}

func (c *call) choose(last *outcome.Failure) (config.Endpoint, *outcome.Failure) {
	now := c.handler.now()
	if c.deadline.Sub(now) < time.Millisecond {
		if last != nil {
			return config.Endpoint{}, last
		}
		return config.Endpoint{}, c.fail(outcome.Late, http.StatusGatewayTimeout, "the deadline passed before an endpoint was tried", nil)
	}
	e, reason, err := c.handler.pick(Pick{Route: c.match.Route, Service: c.match.Service, Tried: c.tried, Now: now})
	if err == nil {
		c.endpoint, c.reason = e.Key(), reason
		c.tried = append(c.tried, c.endpoint)
		return e, nil
	}
	if last != nil {
		return config.Endpoint{}, last
	}
	return config.Endpoint{}, c.fail(outcome.NoEndpoint, http.StatusServiceUnavailable, "the service has no usable endpoint", err)
}

// attempt sends the request once. A backend server that sheds an idempotent request gives both its answer and a failure.
func (c *call) attempt(e config.Endpoint) (*http.Response, *outcome.Failure) {
	h := c.handler
	begin := h.now()
	m := c.meta
	m.Endpoint, m.Remaining = e.Name, c.deadline.Sub(begin)
	if !c.aim.IsZero() {
		m.Aim, m.Again, m.Final = c.aim.Sub(begin), c.again, c.final
	}
	m.Budget, c.budget = retry.Split(c.budget)
	r := *c.out
	r.Body, r.ContentLength = c.body.attempt(c.r.ContentLength)
	h.start(c.endpoint, begin)
	p, err := h.send(c.ctx, e, m, &r)
	o := Observation{At: h.now()}
	o.Took = o.At.Sub(begin)
	if err != nil {
		o.Failure = hop.AsFailure(err, c.id)
		if o.Failure.Kind == outcome.NotRun {
			c.budget += m.Budget // nothing below can have used it
		}
		h.done(c.endpoint, o)
		return nil, o.Failure
	}
	o.Status = p.StatusCode
	if load, ok := hop.Load(p); ok {
		o.Load = load
	}
	c.added = -1
	if took, ok := hop.Took(p); ok {
		c.added = max(o.At.Sub(c.began)-took, 0)
	}
	h.done(c.endpoint, o)
	after, shed := hop.Shed(p)
	if !shed || !c.match.Route.Idempotent {
		return p, nil
	}
	return p, &outcome.Failure{
		Code: outcome.Overload, Kind: outcome.Unknown, Status: p.StatusCode, Detail: "the backend server sheds load",
		Call: c.id, After: after,
	}
}

// judge asks for the retry decision, within what is always forbidden: a second run of a request that may run only once, and
// a second sending of a body that is partly used up.
func (c *call) judge(f *outcome.Failure) Verdict {
	whole := c.body.whole()
	v := c.handler.decide(Attempt{
		Route: c.match.Route, Service: c.match.Service.Name, Failure: f, Endpoint: c.endpoint, Repicks: c.repicks, Retries: c.retries, Budget: c.budget,
		Resend: whole, Deadline: c.deadline, Now: c.handler.now(),
	})
	safe := f.Kind == outcome.NotRun || (c.match.Route.Idempotent && f.Kind == outcome.Unknown)
	v.Again = v.Again && safe && whole && c.ctx.Err() == nil
	if v.Again && v.Repick {
		c.repicks++
	}
	if v.Again && !v.Repick {
		c.retries++
		c.budget--
	}
	c.verdict = v.Reason
	if v.Again { // the last failure is logged with the request
		c.handler.log.Info("attempt failed, trying again", "call", c.id, "route", c.match.Route.Name, "endpoint", c.endpoint, "code", f.Code,
			"outcome", f.Kind, "repick", v.Repick, "reason", c.verdict, "detail", f.Detail, "error", cause(f))
	}
	return v
}

// sleep waits before the next attempt and reports whether there still is one.
func (c *call) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	if d >= c.deadline.Sub(c.handler.now()) {
		return false
	}
	return pause(c.ctx, d)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

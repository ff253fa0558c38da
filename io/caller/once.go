package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// Bounds of requests that run at most once.
const (
	maxAnswerBytes = 16 << 10               // body of an answer that is kept for resends
	claimMargin    = 2 * time.Second        // time after the deadline in which the owner stores its outcome
	storeTimeout   = 2 * time.Second        // for one finish or release
	storeTries     = 3                      // a finish that fails leaves the claim without an outcome
	deniedAfter    = 5 * time.Second        // room comes back only as claims expire
	firstPoll      = 25 * time.Millisecond  // wait for another run's outcome; doubles up to lastPoll
	lastPoll       = 250 * time.Millisecond // four claims a second for each waiting resend
)

// runOnce carries a keyed request that is not idempotent: it runs only under a granted claim.
func (c *call) runOnce() {
	claim := Claim{
		Route: c.match.Route.Name, Key: c.key, Print: c.meta.Print, Owner: c.id, Deadline: c.deadline.Add(claimMargin),
	}
	a, f := c.acquire(claim)
	if f != nil {
		c.refuse(f)
		return
	}
	if a.State == Done {
		c.replay(a.Answer)
		return
	}
	c.granted = true
	p, f := c.attempts()
	if f != nil {
		c.refuse(c.giveBack(claim, f))
		return
	}
	if _, shed := hop.Shed(p); shed {
		// Some backend servers pass on the 503 of an inner call after a part of their work, so it proves nothing. The claim is
		// left without an outcome: a resend is neither run nor given this answer for 24 h, but told that the outcome is unknown.
		c.handler.log.Info("outcome left unknown", "call", c.id, "route", claim.Route, "endpoint", c.endpoint, "status", p.StatusCode)
		hop.Clean(p.Header)
		c.stream(p)
		return
	}
	c.keep(claim, p)
}

// acquire returns when the claim is granted or another run with the key is done.
func (c *call) acquire(claim Claim) (ClaimAnswer, *outcome.Failure) {
	if c.handler.claim == nil {
		return ClaimAnswer{}, c.fail(outcome.NoKey, http.StatusServiceUnavailable, "no claim can be made on this node", nil)
	}
	for wait := firstPoll; ; wait = min(2*wait, lastPoll) {
		a, err := c.handler.claim(c.ctx, claim)
		if err != nil {
			// The claim may yet be committed; it is given back so that a resend need not wait for its deadline.
			c.handler.background(func() { _ = c.store(func(ctx context.Context) error { return c.handler.release(ctx, claim) }, 1) })
			return a, c.fail(outcome.NoKey, http.StatusServiceUnavailable, "no claim could be made durable, so this attempt did not run", err)
		}
		switch a.State {
		case Granted, Done:
			return a, nil
		case Denied:
			f := c.fail(outcome.NoKey, http.StatusServiceUnavailable, "the table of claims takes no more; this attempt did not run", nil)
			f.After = deniedAfter
			return a, f
		case Conflict:
			return a, c.fail(outcome.Mismatch, http.StatusUnprocessableEntity, "the idempotency key was used for another request", nil)
		case Running:
			if c.r.Context().Err() == nil && pause(c.ctx, wait) {
				continue
			}
		}
		f := c.fail(outcome.Claimed, http.StatusConflict, "an earlier request with this key may have run; check before sending a new one", nil)
		f.Kind = outcome.Unknown
		return a, f
	}
}

// replay answers a resend with the stored answer.
func (c *call) replay(a *Answer) {
	if a == nil {
		f := c.fail(outcome.Claimed, http.StatusConflict, "an earlier request with this key ran; its answer was not kept", nil)
		f.Kind = outcome.Lost
		c.refuse(f)
		return
	}
	c.reason, c.added = "replay", -1
	h := c.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set("Mesh-Replay", "1")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
	c.succeeded(a.Status)
}

// giveBack releases the claim of a request that did not run. The caller is told that it did not run only once the release is
// durable; otherwise a resend would be refused although the caller was told that it may send again.
func (c *call) giveBack(claim Claim, f *outcome.Failure) *outcome.Failure {
	if f.Kind != outcome.NotRun {
		return f
	}
	err := c.store(func(ctx context.Context) error { return c.handler.release(ctx, claim) }, 1)
	if err == nil {
		return f
	}
	c.handler.log.Info("claim not released", "call", c.id, "route", claim.Route, "error", err.Error())
	n := *f
	n.Kind, n.After = outcome.Unknown, 0
	return &n
}

// keep passes the answer on and stores it. The answer is read up to the size that is kept before any of it is sent, so that
// one which breaks off within that size is reported as lost.
func (c *call) keep(claim Claim, p *http.Response) {
	head, err := io.ReadAll(io.LimitReader(p.Body, maxAnswerBytes+1))
	if err != nil {
		_ = p.Body.Close()
		c.settleClaim(claim, nil)
		f := c.fail(outcome.Truncated, http.StatusBadGateway, "the request ran; its answer broke off", err)
		f.Kind = outcome.Lost
		c.refuse(f)
		return
	}
	hop.Clean(p.Header)
	rest := p.Body
	if len(head) > maxAnswerBytes {
		c.settleClaim(claim, nil)
		p.Body = joined{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest}
		c.stream(p)
		return
	}
	c.settleClaim(claim, &Answer{Status: p.StatusCode, Header: p.Header.Clone(), Body: head})
	if p.ContentLength < 0 && len(head) > 0 && len(p.Trailer) == 0 {
		p.ContentLength = int64(len(head))
		p.Header.Set("Content-Length", strconv.Itoa(len(head)))
	}
	p.Body = joined{Reader: bytes.NewReader(head), Closer: rest}
	c.stream(p)
}

// settleClaim stores the outcome beside the answer to the caller.
func (c *call) settleClaim(claim Claim, a *Answer) {
	c.handler.background(func() {
		err := c.store(func(ctx context.Context) error { return c.handler.finish(ctx, claim, a) }, storeTries)
		if err != nil {
			c.handler.log.Info("outcome not stored", "call", c.id, "route", claim.Route, "error", err.Error())
		}
	})
}

// store calls f with its own time limit, since the request's may have passed.
func (c *call) store(f func(context.Context) error, tries int) error {
	var err error
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err = f(ctx)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// joined reads from one source and closes another.
type joined struct {
	io.Reader
	io.Closer
}

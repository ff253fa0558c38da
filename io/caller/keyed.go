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

// Limits for requests that run at most once.
const (
	maxAnswerBytes   = 16 << 10               // largest body of an answer that is kept for resends
	claimMargin      = 2 * time.Second        // time after the deadline for the claim's owner to store the outcome
	storeTimeout     = 2 * time.Second        // time for one attempt to store an outcome or to release a claim
	storeAttempts    = 3                      // attempts to store an outcome; if all fail, the claim stays without one
	deniedRetryAfter = 5 * time.Second        // sent with a denied claim; a full claim table gets room only as claims expire
	minPollInterval  = 25 * time.Millisecond  // first wait of a resend between two claims; doubles up to maxPollInterval
	maxPollInterval  = 250 * time.Millisecond // longest wait; then each waiting resend makes at most four claims a second
)

// serveKeyed serves a request with an idempotency key on a route that is not idempotent. The request is sent only under a
// granted claim.
func (c *call) serveKeyed() {
	claim := Claim{
		Route: c.claimRoute(), Key: c.key, Fingerprint: c.meta.Fingerprint, Owner: c.id, Deadline: c.deadline.Add(claimMargin),
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
	p, f := c.sendWithRetries()
	if f != nil {
		c.refuse(c.releaseClaim(claim, f))
		return
	}
	if _, shed := hop.Shed(p); shed {
		// Some backend servers do a part of their work and then pass on the 503 of an inner call, so a 503 does not prove that
		// the request did not run. The claim stays without an outcome: for 24 h a resend is not run and gets no replay of this
		// answer, but a failure that states an unknown outcome.
		c.handler.log.Info("backend server shed a keyed request; its claim stays without an outcome", "call", c.id,
			"route", claim.Route, "endpoint", c.endpoint, "status", p.StatusCode)
		hop.Clean(p.Header)
		c.stream(p)
		return
	}
	c.storeAndStream(claim, p)
}

// claimRoute returns the scope of idempotency keys: the route and the customer, so that no customer is sent the stored answer of
// another one that used the same idempotency key. Names of routes contain no slash.
func (c *call) claimRoute() string {
	if c.customer == nil {
		return c.match.Route.Name
	}
	return c.match.Route.Name + "/" + c.customer.Name
}

// acquire asks for the claim and waits while another request with the key runs. It returns once the claim is granted or the
// other request's outcome is stored. It fails if the claim fails, is denied or conflicts, if the other request ends without a
// stored outcome, and if the caller disconnects or the deadline passes first.
func (c *call) acquire(claim Claim) (ClaimAnswer, *outcome.Failure) {
	if c.handler.claim == nil {
		return ClaimAnswer{}, c.fail(outcome.ClaimFailed, http.StatusServiceUnavailable, "this node cannot claim idempotency keys", nil)
	}
	ctx, done := c.waitContext()
	defer done()
	for wait := minPollInterval; ; wait = min(2*wait, maxPollInterval) {
		if f := c.stopRefusal(0); f != nil {
			return ClaimAnswer{}, f
		}
		a, err := c.handler.claim(ctx, claim)
		if err != nil {
			// The claim may still be committed; it is released so that a resend need not wait for the claim's deadline.
			c.handler.background(func() {
				_ = c.withStoreTimeout(func(ctx context.Context) error { return c.handler.release(ctx, claim) }, 1)
			})
			if f := c.stopRefusal(0); f != nil {
				return a, f
			}
			return a, c.fail(outcome.ClaimFailed, http.StatusServiceUnavailable, "no claim could be made durable, so this attempt did not run", err)
		}
		switch a.State {
		case Granted, Done:
			return a, nil
		case Denied:
			f := c.fail(outcome.ClaimFailed, http.StatusServiceUnavailable, "the claim was denied, so this attempt did not run", nil)
			f.RetryAfter = deniedRetryAfter
			return a, f
		case Conflict:
			return a, c.fail(outcome.Mismatch, http.StatusUnprocessableEntity, "the idempotency key was used for another request", nil)
		case Running:
			if c.r.Context().Err() == nil && c.pause(ctx, wait) {
				continue
			}
		}
		f := c.fail(outcome.Claimed, http.StatusConflict, "an earlier request with this key may have run; check before sending a new one", nil)
		f.Kind = outcome.Unknown
		return a, f
	}
}

// replay answers a resend with the stored answer, or with a failure if the answer was not kept.
func (c *call) replay(a *Answer) {
	if a == nil {
		f := c.fail(outcome.Claimed, http.StatusConflict, "an earlier request with this key ran; its answer was not kept", nil)
		f.Kind = outcome.Lost
		c.refuse(f)
		return
	}
	c.pickReason, c.overhead = "replay", -1
	h := c.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set("Mesh-Replay", "1")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	c.tracked.Update(func(p *Progress) { p.Answered = true })
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
	c.succeeded(a.Status)
}

// releaseClaim releases the claim of a request that did not run. It reports notrun only once the release is durable:
// notrun tells the caller that it may send again, and until the release the resend would be refused.
func (c *call) releaseClaim(claim Claim, f *outcome.Failure) *outcome.Failure {
	if f.Kind != outcome.NotRun {
		return f
	}
	err := c.withStoreTimeout(func(ctx context.Context) error { return c.handler.release(ctx, claim) }, 1)
	if err == nil {
		return f
	}
	c.handler.log.Info("claim could not be released; outcome reported as unknown although the request did not run", "call", c.id,
		"route", claim.Route, "error", err.Error())
	n := *f
	n.Kind, n.RetryAfter = outcome.Unknown, 0
	return &n
}

// storeAndStream stores the answer for resends and passes it on. It reads up to maxAnswerBytes before it sends anything, so that
// an answer that breaks off within that size is reported as lost.
func (c *call) storeAndStream(claim Claim, p *http.Response) {
	head, err := io.ReadAll(io.LimitReader(p.Body, maxAnswerBytes+1))
	if err != nil {
		_ = p.Body.Close()
		c.storeOutcome(claim, nil)
		f := c.fail(outcome.Truncated, http.StatusBadGateway, "the request ran; its answer broke off", err)
		f.Kind = outcome.Lost
		c.refuse(f)
		return
	}
	hop.Clean(p.Header)
	rest := p.Body
	if len(head) > maxAnswerBytes {
		c.storeOutcome(claim, nil)
		p.Body = readCloser{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest}
		c.stream(p)
		return
	}
	c.storeOutcome(claim, &Answer{Status: p.StatusCode, Header: p.Header.Clone(), Body: head})
	if p.ContentLength < 0 && len(head) > 0 && len(p.Trailer) == 0 {
		p.ContentLength = int64(len(head))
		p.Header.Set("Content-Length", strconv.Itoa(len(head)))
	}
	p.Body = readCloser{Reader: bytes.NewReader(head), Closer: rest}
	c.stream(p)
}

// storeOutcome stores the outcome in the background, while the answer goes to the caller.
func (c *call) storeOutcome(claim Claim, a *Answer) {
	c.handler.background(func() {
		err := c.withStoreTimeout(func(ctx context.Context) error { return c.handler.finish(ctx, claim, a) }, storeAttempts)
		if err != nil {
			c.handler.log.Info("outcome of a keyed request could not be stored in its claim", "call", c.id,
				"route", claim.Route, "error", err.Error())
		}
	})
}

// withStoreTimeout calls f until it succeeds, at most tries times. Each call has its own timeout, since the request's deadline may
// have passed. Shutdown ends the calls.
func (c *call) withStoreTimeout(f func(context.Context) error, tries int) error {
	var err error
	for range tries {
		ctx, cancel := context.WithTimeout(c.handler.stores, c.handler.storeLimit())
		err = f(ctx)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// readCloser joins a Reader and a Closer of different sources.
type readCloser struct {
	io.Reader
	io.Closer
}

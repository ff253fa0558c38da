package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
	"godwitspindle/core/shutdown"
	"godwitspindle/core/wire"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
)

const (
	avoidDraining    = 5 * time.Second // time to avoid a draining endpoint; longer than a leave takes to be agreed and distributed
	avoidUnreachable = time.Second     // time to avoid an endpoint to which no connection can be opened
	minRetryAfter    = 300 * time.Millisecond
	// avoidMissing is the time to avoid an endpoint that its node does not know. It covers the moments after the start of a
	// node in which it does not know its endpoints yet. An endpoint that is gone for good leaves the agreed set.
	avoidMissing = 300 * time.Millisecond
	// busyLoad is the load assumed for an endpoint that refused a call: all slots are taken and as many calls wait.
	busyLoad = 2.0
	// resetDelay is the shortest wait before a retry after a broken connection. In that time, a request that crashed a backend
	// server is marked (20 ms for detection, then a commit and its distribution); a retry without the wait would crash another
	// one.
	resetDelay = 100 * time.Millisecond
)

// match finds the route and the service of a request in the version in force. It fails if the node does not serve or has no
// configuration yet; if no route fits or its service is missing, the match has no route.
func (h *Host) match(host, path, method string) (caller.Match, *outcome.Failure) {
	if !h.holder.Serving() {
		return caller.Match{}, &outcome.Failure{
			Code: outcome.Unproven, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: h.retryAfter(time.Since(h.started)),
			Detail: "the node has not yet proved that its configuration is current",
		}
	}
	t := h.holder.View().Table
	if !t.Configured() {
		return caller.Match{}, &outcome.Failure{
			Code: outcome.Unproven, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: h.retryAfter(time.Since(h.started)),
			Detail: "the node holds no operator's configuration yet",
		}
	}
	r, ok := t.Match(host, path, method)
	if !ok {
		return caller.Match{Version: t.Version()}, nil
	}
	s, ok := t.Service(h.splits.service(r))
	if !ok {
		return caller.Match{}, nil
	}
	return caller.Match{Route: r, Service: s, Version: t.Version(), Customers: t, Unconfirmed: h.unconfirmed()}, nil
}

// unconfirmed reports whether the last confirmation by a majority is older than withdrawn keys may be used; see WithRevocation.
func (h *Host) unconfirmed() bool {
	if h.revocation == 0 {
		return false
	}
	age := h.confirmationAge()
	return age < 0 || age > h.revocation
}

// mayRunEarly reports whether a pipelined request may start before earlier requests on its connection are answered. Only
// idempotent requests may, because the caller sends a request again if the connection ends before its answer. While the node
// does not serve or is draining, none may.
func (h *Host) mayRunEarly(r *http.Request) bool {
	if !h.holder.Serving() || h.stopping() {
		return false
	}
	route, ok := h.holder.View().Table.Match(r.Host, hop.RoutePath(r.URL), r.Method)
	return ok && route.Idempotent
}

// retryAfter returns after which time a caller should retry if the node has no proven version. It is the rest of the usual
// start time Timing.Ready, at least minRetryAfter, plus jitter, or 1 s without that setting. up is the time since the process
// started.
func (h *Host) retryAfter(up time.Duration) time.Duration {
	usual := h.settings.Timing.Ready
	if usual == 0 {
		return time.Second
	}
	return max(usual-up, minRetryAfter) + rand.N(minRetryAfter/2)
}

// pick returns an endpoint and the reason for its choice. The first attempt of a request also counts toward the retry budget
// of its service.
func (h *Host) pick(p caller.PickRequest) (config.Endpoint, string, error) {
	if len(p.Tried) == 0 {
		h.budgets.Of(p.Service.Name).Count(p.Now)
	}
	call := routing.Call{
		Service: p.Service, Class: routing.ClassOf(p.Route), Tried: p.Tried, Now: p.Now, Kind: p.Route.Name, Objective: p.Route.Latency,
	}
	c, err := h.rollouts.decide(call, h.picker.Decide)
	if err != nil {
		return config.Endpoint{}, "", err
	}
	return *c.Endpoint, c.Reason, nil
}

// attemptStarted tells the picker and the rollouts that an attempt is sent.
func (h *Host) attemptStarted(endpoint string, now time.Time) {
	h.picker.Start(endpoint, now)
	h.rollouts.begin(endpoint)
}

// observe passes the outcome of an attempt to the picker.
func (h *Host) observe(endpoint string, o caller.Observation) {
	f := o.Failure
	h.noticesObserved(endpoint, o)
	h.rollouts.observe(endpoint, o)
	if f == nil {
		h.picker.RecordOccupancy(endpoint, o.Load, o.At)
		h.picker.RecordExpected(endpoint, o.Route, routing.Load{Occupancy: o.Load, Expected: o.Expected}, o.At)
		h.picker.RecordRefusal(endpoint, false, o.At)
		failed := o.Status >= http.StatusInternalServerError && o.Status != http.StatusServiceUnavailable
		h.picker.Done(endpoint, routing.Observation{Took: o.Took, Failed: failed})
		return
	}
	notRun := f.Kind == outcome.NotRun
	unreachable := f.Code == outcome.Unreachable || f.Code == outcome.Refused
	canceled := f.Code == outcome.Canceled
	h.picker.Done(endpoint, routing.Observation{Took: o.Took, Failed: unreachable || !notRun && !canceled, NotRun: notRun})
	switch f.Code {
	case outcome.Overload, outcome.Declined:
		h.picker.RecordRefusal(endpoint, notRun, o.At)
	case outcome.Busy, outcome.Limited:
		h.picker.RecordOccupancy(endpoint, busyLoad, o.At)
	case outcome.Draining:
		if h.shutdown.Phase(o.At) > shutdown.Notice {
			return // the call may have been withdrawn from the queue of an endpoint that stays
		}
		h.picker.Avoid(endpoint, o.At.Add(avoidDraining), string(f.Code))
	case outcome.NoEndpoint:
		h.picker.Avoid(endpoint, o.At.Add(avoidMissing), routing.Unreachable)
	case outcome.Unreachable:
		h.picker.Avoid(endpoint, o.At.Add(avoidUnreachable), routing.Unreachable)
	}
}

// send sends an attempt to its endpoint. A local endpoint is called without the hop between nodes.
func (h *Host) send(ctx context.Context, e config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error) {
	if e.Node == h.settings.Name {
		return h.callBackend(ctx, m, r)
	}
	m.Limit = h.knownLimit(e)
	return h.hops.Call(ctx, e.Address, m, r)
}

// decide returns whether a failed attempt is retried, with the wait before the retry, or repicked: sent to another endpoint
// without using the retry budget.
func (h *Host) decide(a caller.Attempt) caller.Verdict {
	v := retry.Decide(retry.FailedAttempt{
		Kind:       a.Failure.Kind,
		Code:       a.Failure.Code,
		Idempotent: a.Route.Idempotent,
		Retries:    maxRetries(a),
		Used:       a.Retries,
		Repicks:    a.Repicks,
		Share:      a.Budget,
		Now:        a.Now,
		Deadline:   a.Deadline,
	}, h.budgets.Of(a.Service))
	verdict := caller.Verdict{Retry: v.Action != retry.Stop, Repick: v.Action == retry.Repick, Reason: v.Reason}
	if v.Action == retry.Retry {
		verdict.Wait = a.Failure.RetryAfter
		if a.Failure.Code == outcome.Reset {
			verdict.Wait = max(verdict.Wait, resetDelay)
		}
		h.metrics.Retries.WithLabelValues("retry").Inc()
	}
	if v.Action == retry.Repick {
		h.metrics.Retries.WithLabelValues("repick").Inc()
	}
	return verdict
}

// newBudgets returns the retry budget of each service, with the percentage of the settings and the node's part of the slack
// that all nodes share. Without a percentage in the settings, each node has the default budget.
func (h *Host) newBudgets() *retry.Budgets {
	r := h.settings.Retries
	if r.Percent == 0 {
		return retry.NewBudgets()
	}
	least := func() int64 { return retry.SlackPerNode(r.Slack, len(h.holder.View().Table.Nodes())) }
	return retry.NewBudgets(retry.WithPercent(r.Percent), retry.WithMinimum(least))
}

// maxRetries returns how often a request may be retried. If the request did not run, all attempts of the route may be used.
func maxRetries(a caller.Attempt) int {
	if a.Failure.Kind == outcome.NotRun {
		return max(a.Route.Retries, a.Route.Attempts-1)
	}
	return a.Route.Retries
}

func claimOf(kind wire.ClaimKind, c caller.Claim) *wire.Claim {
	return &wire.Claim{
		Kind:        kind,
		Route:       c.Route,
		Key:         c.Key,
		Fingerprint: c.Fingerprint[:],
		Owner:       c.Owner,
		Deadline:    c.Deadline.UnixMilli(),
	}
}

// claim acquires an idempotency key in the replicated claim table, or returns the state of the key's earlier claim.
func (h *Host) claim(ctx context.Context, c caller.Claim) (caller.ClaimAnswer, error) {
	r, err := h.proposer.Claim(ctx, claimOf(wire.ClaimKind_CLAIM_KIND_ACQUIRE, c))
	if err != nil {
		h.metrics.Claims.WithLabelValues("unavailable").Inc()
		return caller.ClaimAnswer{}, err
	}
	h.metrics.Claims.WithLabelValues(claimLabel(r.GetState())).Inc()
	switch r.GetState() {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		return caller.ClaimAnswer{State: caller.Granted}, nil
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		return caller.ClaimAnswer{State: caller.Running}, nil
	case wire.ClaimState_CLAIM_STATE_DONE:
		return caller.ClaimAnswer{State: caller.Done, Answer: answerOf(r.GetAnswer())}, nil
	case wire.ClaimState_CLAIM_STATE_MISMATCH:
		return caller.ClaimAnswer{State: caller.Conflict}, nil
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return caller.ClaimAnswer{State: caller.Unresolved}, nil
	case wire.ClaimState_CLAIM_STATE_REFUSED:
		return caller.ClaimAnswer{State: caller.Denied}, nil
	}
	return caller.ClaimAnswer{}, &ClaimError{State: r.GetState()}
}

// finish stores the outcome of a claimed request; a nil answer means that the request ran but its answer is not kept.
func (h *Host) finish(ctx context.Context, c caller.Claim, a *caller.Answer) error {
	w := claimOf(wire.ClaimKind_CLAIM_KIND_FINISH, c)
	if a != nil {
		w.Answer = &wire.Answer{Status: uint32(a.Status), Body: a.Body}
		for k, v := range a.Header {
			w.Answer.Headers = append(w.Answer.Headers, &wire.Header{Name: k, Values: v})
		}
	}
	r, err := h.proposer.Claim(ctx, w)
	if err != nil {
		return err
	}
	if r.GetState() != wire.ClaimState_CLAIM_STATE_DONE {
		return &ClaimError{State: r.GetState()}
	}
	return nil
}

// release gives up a claim whose request provably did not run.
func (h *Host) release(ctx context.Context, c caller.Claim) error {
	r, err := h.proposer.Claim(ctx, claimOf(wire.ClaimKind_CLAIM_KIND_RELEASE, c))
	if err != nil {
		return err
	}
	if r.GetState() != wire.ClaimState_CLAIM_STATE_RELEASED {
		return &ClaimError{State: r.GetState()}
	}
	return nil
}

// ClaimError reports that the replicated claim table answered a claim operation with a state other than the expected ones.
type ClaimError struct{ State wire.ClaimState }

// Error names the state of the claim.
func (e *ClaimError) Error() string { return "claim refused: " + claimLabel(e.State) }

func claimLabel(s wire.ClaimState) string {
	switch s {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		return "granted"
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		return "running"
	case wire.ClaimState_CLAIM_STATE_DONE:
		return "done"
	case wire.ClaimState_CLAIM_STATE_MISMATCH:
		return "mismatch"
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return "unknown"
	case wire.ClaimState_CLAIM_STATE_RELEASED:
		return "released"
	}
	return "refused"
}

func answerOf(a *wire.Answer) *caller.Answer {
	if a == nil {
		return nil
	}
	h := make(http.Header, len(a.GetHeaders()))
	for _, k := range a.GetHeaders() {
		h[k.GetName()] = k.GetValues()
	}
	return &caller.Answer{Status: int(a.GetStatus()), Header: h, Body: a.GetBody()}
}

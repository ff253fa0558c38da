package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/hop"
)

// headerIdempotencyKey is the header of the IETF draft "The Idempotency-Key HTTP Header Field".
const headerIdempotencyKey = "Idempotency-Key"

// call is the state of one request while it is handled.
type call struct {
	handler   *Handler
	w         http.ResponseWriter
	r         *http.Request
	id        string
	began     time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	match     Match
	customer  *config.Customer // nil without a customer
	hideKey   bool             // the configuration has customers, so Authorization is not forwarded
	deadline  time.Time
	depth     int
	parent    string    // call id of the run that makes this call; empty if it is not known
	objective time.Time // time by which the answer should arrive, by the route's latency objective; zero for none
	resent    bool      // the caller has sent this request before
	noResends bool      // callers of this route do not send a refused request again
	budget    int       // retries left to this request, not counting those that its attempts passed on
	body      *body
	bodyWait  *wait  // limit of the time to read the body; nil without a body
	key       string // idempotency key; empty when the request needs no claim
	granted   bool   // the claim was granted, so no other request with the key has run or is running
	meta      hop.Meta
	outbound  *http.Request // the request to send, without body and metadata

	endpoint    string        // key of the endpoint of the last attempt
	pickReason  string        // why the endpoint was picked
	retryReason string        // why the last failed attempt was or was not retried
	overhead    time.Duration // see Finished.Overhead
	refused     bool          // the backend server's refusal (503) is passed on as the answer
	tried       []string
	repicks     int
	retries     int
	mayHaveRun  bool // at least one attempt may have run
	tracked     Request
	giveBack    func() // takes back the charge to the customer's quota; nil without one
}

func (c *call) fail(code outcome.Code, status int, detail string, err error) *outcome.Failure {
	return &outcome.Failure{Code: code, Kind: outcome.NotRun, Status: status, Detail: detail, Call: c.id, Err: err}
}

// prepare checks the request and fills the fields of the call. It fails only before anything is sent.
func (c *call) prepare() *outcome.Failure {
	contexts, waitValue := c.r.Header.Values(HeaderContext), c.r.Header.Get(HeaderDeadline)
	hop.Strip(c.r.Header)
	hop.EscapePath(c.r.URL)
	if hop.IsUpgrade(c.r) {
		return c.fail(outcome.Refused, http.StatusNotImplemented, "upgrades and tunnels are not supported", nil)
	}
	if f := c.route(); f != nil {
		return f
	}
	parent, f := c.parentContext(contexts)
	if f != nil {
		return f
	}
	if f := c.authenticate(parent); f != nil {
		return f
	}
	if f := c.inheritLimits(parent, waitValue); f != nil {
		return f
	}
	if f := c.takeQuota(); f != nil {
		return f
	}
	if f := c.readKey(); f != nil {
		return f
	}
	c.tracked.Update(func(p *Progress) { p.Route, p.Deadline = c.match.Route.Name, c.deadline })
	if f := c.stopRefusal(0); f != nil {
		return f
	}
	if f := c.readBody(); f != nil {
		return f
	}
	c.buildOutbound()
	return nil
}

func (c *call) route() *outcome.Failure {
	host := c.r.Host
	if n, _, err := net.SplitHostPort(host); err == nil {
		host = n
	}
	if hasDotSegments(c.r.URL.Path) || len(host) > maxHostBytes {
		// A backend server might resolve dot segments to a path that belongs to another route.
		return c.fail(outcome.NoRoute, http.StatusBadRequest, fmt.Sprintf("dot segments in the path, or a host of more than %d bytes", maxHostBytes), nil)
	}
	m, f := c.handler.match(strings.ToLower(host), hop.RoutePath(c.r.URL), c.r.Method)
	if f != nil {
		return f
	}
	if m.Route == nil || m.Service == nil {
		return c.fail(outcome.NoRoute, http.StatusNotFound, "no route matches the host, path and method", nil)
	}
	if m.Service.Internal && !c.handler.local {
		return c.fail(outcome.Internal, http.StatusForbidden, "the service is internal: only backend servers can call it", nil)
	}
	c.match = m
	return nil
}

// parentContext returns the context of the request that a backend server makes the call for; nil for a request of a caller.
func (c *call) parentContext(contexts []string) (*Context, *outcome.Failure) {
	if !c.handler.local || len(contexts) == 0 {
		return nil, nil
	}
	parent, err := ParseContext(contexts[0])
	if err != nil || len(contexts) > 1 {
		return nil, c.fail(outcome.Depth, http.StatusBadRequest, "the header Mesh-Context is malformed or repeated", err)
	}
	return &parent, nil
}

// inheritLimits sets depth, deadline and retry budget from the route, from the time that the caller waits and, for a call of a
// backend server, from the Mesh-Context of the request that it is made for.
func (c *call) inheritLimits(parent *Context, waitValue string) *outcome.Failure {
	route := c.match.Route
	c.depth, c.deadline, c.budget = 1, c.began.Add(min(route.Deadline, hop.MaxDeadline)), retry.Initial(max(route.Retries, route.Attempts-1))
	wait, stated := parseDeadlineHeader(waitValue)
	if stated {
		c.deadline = earlier(c.deadline, c.began.Add(wait))
	}
	if parent != nil {
		c.depth, c.parent, c.budget = parent.Depth+1, parent.Parent, min(c.budget, parent.Budget)
		c.deadline = earlier(c.deadline, parent.Deadline)
	}
	c.setObjective(wait, stated)
	if c.depth > outcome.MaxDepth {
		return c.fail(outcome.Depth, http.StatusLoopDetected, fmt.Sprintf("the call chain is deeper than %d", outcome.MaxDepth), nil)
	}
	remaining := c.deadline.Sub(c.began)
	if remaining < time.Millisecond {
		return c.fail(outcome.DeadlineExceeded, http.StatusGatewayTimeout, "less than 1 ms is left before the deadline", nil)
	}
	c.ctx, c.cancel = context.WithTimeout(c.r.Context(), remaining)
	// A caller that does not read its answer holds resources only until shortly after its deadline.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeMargin))
	return nil
}

// parseDeadlineHeader returns how long the caller waits, from the value of Mesh-Deadline; false if it is missing or out of
// range.
func parseDeadlineHeader(value string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms >= hop.MaxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// setObjective sets the time by which the answer should arrive. If the caller states how long it still waits, the latency
// objective counts from the caller's first attempt: the stated time shows how long ago that was, even when the route's own
// deadline is shorter. Otherwise, and for calls of backend servers, the objective counts from this attempt.
func (c *call) setObjective(wait time.Duration, stated bool) {
	route := c.match.Route
	if route.Latency <= 0 {
		return
	}
	c.objective = c.began.Add(route.Latency)
	if !stated || c.depth > 1 {
		return // a backend server may make its calls long after the start of the request that they are made for
	}
	elapsed, again := c.handler.callerWaits.Elapsed(route.Name, wait)
	c.objective, c.resent = c.objective.Add(-elapsed), again
	c.noResends = !c.handler.callerWaits.CallersReturn(route.Name)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *call) readKey() *outcome.Failure {
	keys := c.r.Header.Values(headerIdempotencyKey)
	if c.match.Route.Idempotent || len(keys) == 0 {
		return nil
	}
	if !validKey(keys) {
		return c.fail(outcome.Oversize, http.StatusBadRequest, fmt.Sprintf("Idempotency-Key must be one value of 1 to %d bytes", maxKeyBytes), nil)
	}
	c.key = keys[0]
	// The request continues when its caller disconnects, so that a resend finds the answer.
	remaining := c.deadline.Sub(c.began)
	c.cancel()
	c.ctx, c.cancel = context.WithTimeout(context.WithoutCancel(c.r.Context()), remaining)
	return nil
}

// validKey reports whether there is one key of 1 to maxKeyBytes bytes. A request with any other key is refused before it runs.
func validKey(keys []string) bool {
	return len(keys) == 1 && keys[0] != "" && len(keys[0]) <= maxKeyBytes
}

func (c *call) readBody() *outcome.Failure {
	if c.r.ContentLength > c.handler.maxBody {
		return c.fail(outcome.Oversize, http.StatusRequestEntityTooLarge, fmt.Sprintf("the request body exceeds %d bytes", c.handler.maxBody), nil)
	}
	if c.r.Body != nil && c.r.Body != http.NoBody {
		c.waitForBody() // a slow upload ends at the deadline
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, c.handler.maxBody)
	}
	b, err := readBody(c.r)
	if err == nil {
		c.body = b
		b.complete = func() {
			c.cleanTrailer()
			c.bodyComplete()
		}
		if b.rest == nil {
			c.cleanTrailer()
			c.bodyComplete()
		}
		c.bodyRead()
		return nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return c.fail(outcome.Oversize, http.StatusRequestEntityTooLarge, fmt.Sprintf("the request body exceeds %d bytes", c.handler.maxBody), err)
	}
	if !c.handler.now().Before(c.deadline) {
		return c.fail(outcome.DeadlineExceeded, http.StatusRequestTimeout, "the deadline passed while the request body was read", err)
	}
	if f := c.stopRefusal(0); f != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		f.Detail, f.Err = "the node is stopping and the request body was not complete in time", err
		return f
	}
	return c.fail(outcome.Canceled, http.StatusBadRequest, "the request body ended early", err)
}

// bodyRead records when the body was complete. The rest of a large body is read only while an attempt is sent, so its time stays
// zero.
func (c *call) bodyRead() {
	if c.body.rest != nil {
		return
	}
	at := c.began
	if len(c.body.prefix) > 0 || c.r.ContentLength != 0 {
		at = c.handler.now()
	}
	c.tracked.Update(func(p *Progress) { p.Body = at })
}

func (c *call) buildOutbound() {
	route, service := c.match.Route, c.match.Service.Name
	u := c.r.URL
	identity := hop.Identity{Service: service, Method: c.r.Method, Path: hop.RoutePath(u), Query: u.RawQuery, Key: c.key, Body: c.body.prefix}
	c.meta = hop.Meta{
		Call: c.id, Service: service, Depth: c.depth, Idempotent: route.Idempotent, Late: route.Late,
		Priority: c.priority(), RouteOffset: route.Priority - c.priority(), Caller: c.callerAddress(), Customer: c.customerName(),
		Fingerprint: identity.Fingerprint(), Route: route.Name,
	}
	c.outbound = &http.Request{Method: c.r.Method, URL: u, Host: c.r.Host, Header: hop.Outbound(c.r), Trailer: c.r.Trailer}
	if c.hideKey {
		delete(c.outbound.Header, headerAuthorization)
	}
}

// callerAddress returns the caller's IP address, which admission control uses to share capacity fairly among callers.
func (c *call) callerAddress() string {
	a, err := netip.ParseAddrPort(c.r.RemoteAddr)
	if err != nil {
		return ""
	}
	return a.Addr().Unmap().WithZone("").String()
}

// refuse answers with a failure and logs it.
func (c *call) refuse(f *outcome.Failure) {
	f = hop.AsFailure(f, c.id)
	c.returnQuota(f)
	f = c.keyedOutcome(f)
	c.handler.log.Info("request failed", c.withCustomer("call", c.id, "route", c.routeName(), "endpoint", c.endpoint, "code", f.Code,
		"outcome", f.Kind, "version", c.match.Version, "reason", f.Detail, "retry", c.retryReason, "after", f.RetryAfter.String(), "error", cause(f), "took", c.took())...)
	c.finished(Finished{Code: f.Code, Kind: f.Kind, Overhead: -1, Took: c.handler.now().Sub(c.began)})
	if c.match.Route != nil && f.Kind == outcome.NotRun && f.Code != outcome.Unauthorized && f.Code != outcome.Orphaned {
		c.handler.callerWaits.Refused(c.match.Route.Name)
	}
	hop.Strip(c.w.Header())
	if f.Code == outcome.Unauthorized {
		c.w.Header().Set("WWW-Authenticate", bearerScheme)
	}
	c.limitDiscard()
	c.releaseBody()
	f.Write(c.w)
}

// keyedOutcome reports unknown instead of notrun for a keyed request without a granted claim: this attempt did not run, but an
// earlier one with the same key may have run, and to the caller both are the same request. A fingerprint mismatch stays notrun.
func (c *call) keyedOutcome(f *outcome.Failure) *outcome.Failure {
	keyed := validKey(c.r.Header.Values(headerIdempotencyKey)) && (c.match.Route == nil || !c.match.Route.Idempotent)
	if f.Kind != outcome.NotRun || !keyed || c.granted || f.Code == outcome.Mismatch {
		return f
	}
	n := *f
	n.Kind = outcome.Unknown
	n.Detail += "; an earlier request with this key may have run: send it again with the same key"
	return &n
}

func (c *call) succeeded(status int) {
	c.finished(Finished{Overhead: c.overhead, Took: c.handler.now().Sub(c.began)})
	if !c.refused && !c.handler.logSuccess() {
		return
	}
	c.handler.log.Info("request answered", c.withCustomer("call", c.id, "route", c.routeName(), "endpoint", c.endpoint, "status", status,
		"version", c.match.Version, "reason", c.pickReason, "retry", c.retryReason, "took", c.took())...)
}

func (c *call) answerBroken(err error) {
	c.handler.log.Info("answer broke off", c.withCustomer("call", c.id, "route", c.routeName(), "endpoint", c.endpoint, "error", err.Error(),
		"version", c.match.Version, "reason", c.pickReason, "took", c.took())...)
	c.finished(Finished{Code: outcome.Truncated, Kind: outcome.Lost, Overhead: -1})
}

// finished reports the end of the request.
func (c *call) finished(f Finished) {
	f.Route, f.Began, f.Cut, f.Customer = c.match.Route, c.began, c.tracked.end(), c.customerName()
	f.Parent, f.Shed = c.parent, c.refused
	if c.match.Service != nil {
		f.Service = c.match.Service.Name
	}
	c.handler.requestDone(f)
}

// took returns the time since the request arrived, with its unit.
func (c *call) took() string { return c.handler.now().Sub(c.began).String() }

// cause returns the text of the failure's error for the log, or "" if it has none, since a nil error would be logged as null.
func cause(f *outcome.Failure) string {
	if f.Err == nil {
		return ""
	}
	return f.Err.Error()
}

func (c *call) routeName() string {
	if c.match.Route == nil {
		return ""
	}
	return c.match.Route.Name
}

func hasDotSegments(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

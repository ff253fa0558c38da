package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/hop"
)

// headerKey carries the caller's key, by the IETF draft "The Idempotency-Key HTTP Header Field".
const headerKey = "Idempotency-Key"

// call is one request on its way.
type call struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string
	began    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	match    Match
	deadline time.Time
	depth    int
	aim      time.Time // objective; zero for none
	again    bool      // the caller sends the request again
	final    bool      // its callers do not return when they are refused
	budget   int       // retries left to this node; what attempts took along is no longer in it
	body     *body
	key      string // idempotency key of a request that may run only once
	granted  bool   // the claim on the key is held, so no other attempt has run or runs
	meta     hop.Meta
	out      *http.Request // what is sent, but for body and metadata

	endpoint string // of the last attempt
	reason   string // why it was picked
	verdict  string // why the last failed attempt was or was not repeated
	added    time.Duration
	shed     bool // the answer is the backend server's refusal
	tried    []string
	repicks  int
	retries  int
	doubt    bool // an earlier attempt may have run
}

func (c *call) fail(code outcome.Code, status int, detail string, err error) *outcome.Failure {
	return &outcome.Failure{Code: code, Kind: outcome.NotRun, Status: status, Detail: detail, Call: c.id, Err: err}
}

// prepare checks the request and fills the call; nothing has run when it fails.
func (c *call) prepare() *outcome.Failure {
	passed, asked := c.r.Header.Values(HeaderContext), c.r.Header.Get(HeaderDeadline)
	hop.Strip(c.r.Header)
	if hop.IsUpgrade(c.r) {
		return c.fail(outcome.Refused, http.StatusNotImplemented, "upgrades and tunnels are not supported", nil)
	}
	if f := c.route(); f != nil {
		return f
	}
	if f := c.inherit(passed, asked); f != nil {
		return f
	}
	if f := c.readKey(); f != nil {
		return f
	}
	if f := c.readBody(); f != nil {
		return f
	}
	c.fill()
	return nil
}

func (c *call) route() *outcome.Failure {
	host := c.r.Host
	if n, _, err := net.SplitHostPort(host); err == nil {
		host = n
	}
	if dotted(c.r.URL.Path) || len(host) > maxHostBytes {
		// A backend server might resolve dot segments to a path of another route.
		return c.fail(outcome.NoRoute, http.StatusBadRequest, "the path has dot segments or the host is too long", nil)
	}
	m, f := c.handler.match(strings.ToLower(host), c.r.URL.Path, c.r.Method)
	if f != nil {
		return f
	}
	if m.Route == nil || m.Service == nil {
		return c.fail(outcome.NoRoute, http.StatusNotFound, "no route matches", nil)
	}
	if m.Service.Internal && !c.handler.local {
		return c.fail(outcome.Internal, http.StatusForbidden, "the service is not open to callers", nil)
	}
	c.match = m
	return nil
}

// inherit takes depth, deadline and budget from the call that this one is made for, and the time that the caller waits.
func (c *call) inherit(passed []string, asked string) *outcome.Failure {
	route := c.match.Route
	c.depth, c.deadline, c.budget = 1, c.began.Add(min(route.Deadline, hop.MaxDeadline)), retry.Initial(max(route.Retries, route.Attempts-1))
	wait, stated := parseWait(asked)
	if stated {
		c.deadline = earlier(c.deadline, c.began.Add(wait))
	}
	if c.handler.local && len(passed) > 0 {
		above, err := ParseContext(passed[0])
		if err != nil || len(passed) > 1 {
			return c.fail(outcome.Depth, http.StatusBadRequest, "the header Mesh-Context was altered", err)
		}
		c.depth, c.budget = above.Depth+1, min(c.budget, above.Budget)
		c.deadline = earlier(c.deadline, above.Deadline)
	}
	c.objective(wait, stated)
	if c.depth > outcome.MaxDepth {
		return c.fail(outcome.Depth, http.StatusLoopDetected, fmt.Sprintf("the call chain is deeper than %d", outcome.MaxDepth), nil)
	}
	remaining := c.deadline.Sub(c.began)
	if remaining < time.Millisecond {
		return c.fail(outcome.Late, http.StatusGatewayTimeout, "no time is left", nil)
	}
	c.ctx, c.cancel = context.WithTimeout(c.r.Context(), remaining)
	// A caller that does not read its answer holds resources only up to its deadline.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeMargin))
	return nil
}

// parseWait reads for how long a caller says that it waits.
func parseWait(asked string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(asked, 10, 64)
	if err != nil || ms < 0 || ms >= hop.MaxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// objective sets the time by which the answer has its full worth, counted from the caller's first attempt. What the caller
// waits in all tells which attempt this is, also where the route's own deadline is shorter.
func (c *call) objective(wait time.Duration, stated bool) {
	route := c.match.Route
	if route.Latency <= 0 {
		return
	}
	c.aim = c.began.Add(route.Latency)
	if !stated || c.depth > 1 {
		return // a call of a backend server may be sent late in the time of the request that it is made for
	}
	elapsed, again := c.handler.patience.Elapsed(route.Name, wait)
	c.aim, c.again = c.aim.Add(-elapsed), again
	c.final = !c.handler.patience.Returns(route.Name)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *call) readKey() *outcome.Failure {
	keys := c.r.Header.Values(headerKey)
	if c.match.Route.Idempotent || len(keys) == 0 {
		return nil
	}
	if !validKey(keys) {
		return c.fail(outcome.Oversize, http.StatusBadRequest, fmt.Sprintf("Idempotency-Key must be one value of 1 to %d bytes", maxKeyBytes), nil)
	}
	c.key = keys[0]
	// The run goes on when its caller goes away, so that a resend finds the answer.
	remaining := c.deadline.Sub(c.began)
	c.cancel()
	c.ctx, c.cancel = context.WithTimeout(context.WithoutCancel(c.r.Context()), remaining)
	return nil
}

// validKey accepts one value of 1 to maxKeyBytes; no request with another one can have run.
func validKey(keys []string) bool {
	return len(keys) == 1 && keys[0] != "" && len(keys[0]) <= maxKeyBytes
}

func (c *call) readBody() *outcome.Failure {
	if c.r.ContentLength > c.handler.maxBody {
		return c.fail(outcome.Oversize, http.StatusRequestEntityTooLarge, "the body is too large", nil)
	}
	if c.r.Body != nil && c.r.Body != http.NoBody {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline) // a slow upload ends at the deadline
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, c.handler.maxBody)
	}
	b, err := readBody(c.r)
	if err == nil {
		c.body = b
		return nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return c.fail(outcome.Oversize, http.StatusRequestEntityTooLarge, "the body is too large", err)
	}
	if !c.handler.now().Before(c.deadline) {
		return c.fail(outcome.Late, http.StatusRequestTimeout, "the deadline passed while the body was read", err)
	}
	return c.fail(outcome.Canceled, http.StatusBadRequest, "the body broke off", err)
}

func (c *call) fill() {
	route, service := c.match.Route, c.match.Service.Name
	u := c.r.URL
	identity := hop.Identity{Service: service, Method: c.r.Method, Path: u.Path, Query: u.RawQuery, Key: c.key, Body: c.body.head}
	c.meta = hop.Meta{
		Call: c.id, Service: service, Depth: c.depth, Idempotent: route.Idempotent, Late: route.Late,
		Priority: route.Priority, Caller: c.peer(), Print: identity.Print(), Route: route.Name,
	}
	c.out = &http.Request{Method: c.r.Method, URL: u, Host: c.r.Host, Header: hop.Outbound(c.r), Trailer: c.r.Trailer}
}

// peer returns the caller's IP address, by which the admission is kept fair.
func (c *call) peer() string {
	a, err := netip.ParseAddrPort(c.r.RemoteAddr)
	if err != nil {
		return ""
	}
	return a.Addr().Unmap().WithZone("").String()
}

// refuse answers with a failure.
func (c *call) refuse(f *outcome.Failure) {
	f = c.wholeKey(hop.AsFailure(f, c.id))
	c.handler.log.Info("request failed", "call", c.id, "route", c.routeName(), "endpoint", c.endpoint, "code", f.Code,
		"outcome", f.Kind, "version", c.match.Version, "reason", f.Detail, "retry", c.verdict, "after", f.After.String(), "error", cause(f), "took", c.took())
	c.handler.finished(Finished{Route: c.match.Route, Code: f.Code, Kind: f.Kind, Added: -1, Took: c.handler.now().Sub(c.began)})
	if c.match.Route != nil && f.Kind == outcome.NotRun {
		c.handler.patience.Refused(c.match.Route.Name)
	}
	hop.Strip(c.w.Header())
	f.Write(c.w)
}

// wholeKey says unknown in place of not run for a keyed request whose claim was not granted: this attempt did not run, but
// for its caller it is the same request as an earlier attempt with the key, and that one may have run.
func (c *call) wholeKey(f *outcome.Failure) *outcome.Failure {
	keyed := validKey(c.r.Header.Values(headerKey)) && (c.match.Route == nil || !c.match.Route.Idempotent)
	if f.Kind != outcome.NotRun || !keyed || c.granted || f.Code == outcome.Mismatch {
		return f
	}
	n := *f
	n.Kind = outcome.Unknown
	n.Detail += "; an earlier request with this key may have run: send it again with the same key"
	return &n
}

func (c *call) succeeded(status int) {
	c.handler.finished(Finished{Route: c.match.Route, Added: c.added, Took: c.handler.now().Sub(c.began)})
	if !c.shed && !c.handler.sample() {
		return
	}
	c.handler.log.Info("request answered", "call", c.id, "route", c.routeName(), "endpoint", c.endpoint, "status", status,
		"version", c.match.Version, "reason", c.reason, "retry", c.verdict, "took", c.took())
}

func (c *call) broken(err error) {
	c.handler.log.Info("answer broke off", "call", c.id, "route", c.routeName(), "endpoint", c.endpoint, "error", err.Error(),
		"version", c.match.Version, "reason", c.reason, "took", c.took())
	c.handler.finished(Finished{Route: c.match.Route, Code: outcome.Truncated, Kind: outcome.Lost, Added: -1})
}

// took returns the time since the request began, with its unit.
func (c *call) took() string { return c.handler.now().Sub(c.began).String() }

// cause returns the text of the cause for the log line; a nil error would be logged as null.
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

func dotted(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

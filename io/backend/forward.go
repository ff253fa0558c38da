package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"godwitspindle/core/capacity"
	"godwitspindle/core/notice"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// Names of the headers that a backend server receives.
const (
	headerContext  = "Mesh-Context"
	headerCustomer = "Mesh-Customer" // name of the customer
	headerDeadline = "Mesh-Deadline" // remaining time in milliseconds
)

// Names of the headers by which a backend server states something about itself.
const (
	headerLimit   = "Mesh-Limit"       // requests per second that it takes, a decimal number
	headerLeaving = "Mesh-Leaving"     // 1 if it is about to end
	headerLoad    = "Mesh-Server-Load" // its load as capacity.ParseReport reads it
)

// statusCancelled is the customary status for a request that its caller cancelled.
const statusCancelled = 499

// Do admits a call and forwards it to its endpoint; it is a hop.Do. The call is in flight until the answer is read to its end
// or its body is closed.
func (b *Backend) Do(ctx context.Context, m hop.Meta, r *http.Request) (*http.Response, error) {
	key := m.EndpointKey()
	if f := b.refusal(ctx, key, m); f != nil {
		return nil, f
	}
	release, f := b.admit(ctx, key, m)
	if f != nil {
		return nil, hop.AsFailure(f, m.Call)
	}
	// The request may have been quarantined while the call waited for admission.
	quarantineDone, f := b.checkQuarantine(ctx, key, m)
	if f != nil {
		release(Result{})
		return nil, hop.AsFailure(f, m.Call)
	}
	l := &flight{backend: b, begin: b.now(), release: release, quarantineDone: quarantineDone, meta: m}
	if f := b.begin(ctx, key, l); f != nil {
		release(Result{})
		quarantineDone(Result{})
		return nil, f
	}
	return l.forward(ctx, r)
}

// flight is a call in flight to a backend server.
type flight struct {
	backend        *Backend
	endpoint       *endpoint
	announcement   Announcement // of the process that the call is sent to
	pool           *pool
	exchange       *exchange
	answer         *http.Response
	run            *runningCall
	meta           hop.Meta
	begin          time.Time
	sent           time.Time     // time at which a connection was available
	notice         notice.Notice // what the answer states about the endpoint
	release        func(Result)
	quarantineDone func(Result)
	status         int
	refused        bool   // the answer states or suggests that the request was not run
	full           bool   // the answer states that the request was not run because the backend server is full
	requestID      string // id of the request in the calls made to handle it; empty if its context is not registered
	once           sync.Once
}

func (l *flight) forward(ctx context.Context, r *http.Request) (*http.Response, error) {
	c, f := l.connect(ctx)
	if f != nil {
		l.end(false, false)
		return nil, f
	}
	l.sent = l.backend.now()
	x, p, err := c.start(ctx, l.request(ctx, r))
	l.exchange, l.answer = x, p
	if err != nil {
		// After start has returned an error, nothing more is written, so the connection's record of writes is final.
		f := l.classify(ctx, err, c.tracked.written.Load())
		l.end(f.Kind != outcome.NotRun && ctx.Err() == nil, false)
		return nil, f
	}
	l.status, l.refused = p.StatusCode, statesNotRun(p.StatusCode)
	l.notice = l.backend.readNotice(p.Header)
	if l.notice.States() {
		l.passNotice()
	}
	l.passReport(p.Header)
	if p.StatusCode == http.StatusSwitchingProtocols {
		l.end(false, false)
		return nil, l.failure(outcome.Reset, outcome.Unknown, http.StatusBadGateway, "the backend server switched protocols without being asked", nil)
	}
	if l.backend.bufferLimit > 0 {
		p, err = l.bufferAnswer(ctx, p)
		if err != nil {
			return nil, err
		}
	}
	hop.Clean(p.Header, l.backend.endToEnd...)
	hop.SetBackendTime(p, l.backend.now().Sub(l.begin))
	if l.notice.Leaving {
		hop.SetLeaving(p)
	}
	if after, ok := hop.Shed(p); ok {
		l.backend.onShed(l.endpoint.key, after)
	}
	if p.Body == http.NoBody {
		l.end(false, true)
		return p, nil
	}
	p.Body = &answerBody{ReadCloser: p.Body, flight: l, ctx: ctx}
	return p, nil
}

func (l *flight) request(ctx context.Context, r *http.Request) *http.Request {
	h := make(http.Header, len(r.Header)+3)
	for k, v := range r.Header {
		h[k] = v
	}
	d, _ := ctx.Deadline()
	l.registerContext(h, d)
	l.backend.setHeaders(h, l.meta, d)
	out := hop.Rebuild(ctx, r, "http", l.pool.address)
	out.Header = h
	if len(r.Trailer) > 0 && r.Body != nil {
		out.ContentLength = -1 // HTTP/1.1 sends trailers only after a chunked body
	}
	return out
}

// registerContext stores the context of the request, so that calls which name the request inherit that context.
func (l *flight) registerContext(h http.Header, deadline time.Time) {
	b := l.backend
	if b.requestID == nil || deadline.IsZero() {
		return
	}
	l.requestID = b.requestID(h)
	if l.requestID == "" {
		return
	}
	context := b.context(l.meta, deadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contexts[l.requestID] = context
}

// Context returns the Mesh-Context value of a request that is running at a backend server on this host, by
// request id; false when no such request runs.
func (b *Backend) Context(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.contexts[id]
	return c, ok
}

// meshHeaders sets the default headers for a backend server; WithHeaders replaces this function.
func (b *Backend) meshHeaders(h http.Header, m hop.Meta, deadline time.Time) {
	h[outcome.HeaderCall] = []string{m.Call}
	if m.Customer != "" {
		h[headerCustomer] = []string{m.Customer}
	}
	if deadline.IsZero() {
		return
	}
	h[headerDeadline] = []string{strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10)}
	if c := b.context(m, deadline); c != "" {
		h[headerContext] = []string{c}
	}
}

// meshNotice reads the default headers by which a backend server states something about itself; WithNoticeHeaders replaces it.
func meshNotice(h http.Header) notice.Notice {
	return notice.Notice{Limits: h[headerLimit], Leaving: slices.Contains(h[headerLeaving], "1")}
}

// passNotice passes on what the answer states, unless another process has taken over the endpoint meanwhile. An endpoint that
// states that it leaves gets no new calls from then on.
func (l *flight) passNotice() {
	b := l.backend
	b.mu.Lock()
	current := l.isCurrent(l.endpoint)
	b.mu.Unlock()
	if !current {
		return
	}
	b.onNotice(l.announcement, l.notice, l.sent)
	if l.notice.Leaving {
		b.leaveIf(l.endpoint.key, reasonStated, l.isCurrent)
	}
}

// meshReport reads the default header by which a backend server reports its load; WithLoadReport replaces it.
func meshReport(h http.Header) (capacity.Report, bool) { return capacity.ReadReport(h[headerLoad]) }

// passReport passes on the load that the answer reports, unless another process has taken over the endpoint meanwhile.
func (l *flight) passReport(h http.Header) {
	r, ok := l.backend.readReport(h)
	if !ok {
		return
	}
	l.backend.mu.Lock()
	current := l.isCurrent(l.endpoint)
	l.backend.mu.Unlock()
	if current {
		l.backend.onReport(l.announcement, r)
	}
}

// isCurrent reports whether the endpoint still has the process that the call was sent to. The caller holds the Backend's mutex.
func (l *flight) isCurrent(e *endpoint) bool {
	return e.announcement.Incarnation == l.announcement.Incarnation
}

// bufferAnswer reads up to bufferLimit bytes of an answer before any of it is passed on, and ends the call if those bytes
// are the complete answer and no trailers follow. An answer that breaks off within
// those bytes, or that checkAnswer rejects, becomes a failure.
func (l *flight) bufferAnswer(ctx context.Context, p *http.Response) (*http.Response, error) {
	limit := l.backend.bufferLimit
	head, err := io.ReadAll(io.LimitReader(p.Body, limit+1))
	if err != nil {
		f := l.classify(ctx, err, true)
		var invalid *ResponseError
		if f.Code == outcome.Reset && !errors.As(err, &invalid) {
			f.Code, f.Detail = outcome.Truncated, "the backend server's answer ended early"
		}
		l.end(ctx.Err() == nil, false)
		return nil, f
	}
	if f := l.backend.checkAnswer(p); f != nil {
		f.Call = l.meta.Call
		l.refused = l.refused || f.Kind == outcome.NotRun
		l.full = f.Kind == outcome.NotRun && f.Code == outcome.Overload
		if f.Kind == outcome.NotRun && l.exchange.conn.reused && !l.backend.namesRequest(l.exchange.request, p) {
			f = l.failure(outcome.Reset, outcome.Unknown, http.StatusBadGateway, "the refusal names no request and may answer an earlier one", f)
		}
		l.end(false, int64(len(head)) <= limit && f.Kind == outcome.NotRun)
		return nil, f
	}
	rest := p.Body
	if int64(len(head)) > limit || len(p.Trailer) > 0 {
		p.Body = readCloser{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest}
		return p, nil
	}
	l.end(false, true)
	if p.ContentLength < 0 && p.Body != http.NoBody {
		p.ContentLength = int64(len(head))
		p.Header.Set("Content-Length", strconv.Itoa(len(head)))
	}
	p.Body = io.NopCloser(bytes.NewReader(head))
	if len(head) == 0 {
		p.Body = http.NoBody
	}
	return p, nil
}

// readCloser joins a Reader and a Closer of different sources.
type readCloser struct {
	io.Reader
	io.Closer
}

func (l *flight) failure(code outcome.Code, kind outcome.Kind, status int, detail string, err error) *outcome.Failure {
	return &outcome.Failure{Code: code, Kind: kind, Status: status, Detail: detail, Call: l.meta.Call, Err: err}
}

// classify turns an error into a failure. A request of which nothing was written did not run.
func (l *flight) classify(ctx context.Context, err error, wrote bool) *outcome.Failure {
	kind := outcome.Unknown
	if !wrote {
		kind = outcome.NotRun
	}
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return l.failure(outcome.DeadlineExceeded, kind, http.StatusGatewayTimeout, "the deadline passed before the whole answer arrived", err)
	case ctx.Err() != nil:
		return l.failure(outcome.Canceled, kind, statusCancelled, "the caller cancelled the call", err)
	case !wrote:
		return l.failure(outcome.Unreachable, kind, http.StatusServiceUnavailable, "no connection to the backend server", err)
	}
	var invalid *ResponseError
	if errors.As(err, &invalid) {
		return l.failure(outcome.Reset, kind, http.StatusBadGateway, "the backend server's response is not valid", err)
	}
	return l.failure(outcome.Reset, kind, http.StatusBadGateway, "the connection to the backend server broke", err)
}

// statesNotRun reports whether callers read a status as a statement that the request was not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// end removes the call from those in flight; only the first call of end has an effect.
func (l *flight) end(broken, complete bool) {
	l.once.Do(func() {
		b := l.backend
		if l.exchange != nil {
			reuse := l.exchange.finish(l.answer)
			// A backend server may write a refusal once more. The next caller on the connection would take it for the answer to its own
			// request, which runs, so a connection that carried a refusal carries nothing else.
			if l.refused {
				l.exchange.conn.resetOnClose()
			}
			l.pool.put(l.exchange.conn, reuse && complete && !l.refused)
		}
		if broken {
			b.recordBrokenCall(l.endpoint, l.run)
		}
		if complete && !l.notice.States() {
			l.passNotice()
		}
		b.mu.Lock()
		delete(l.endpoint.running, l.run)
		if l.requestID != "" {
			delete(b.contexts, l.requestID)
		}
		b.running--
		if b.running == 0 && b.idle != nil {
			close(b.idle)
			b.idle = nil
		}
		b.mu.Unlock()
		refused := l.status == http.StatusServiceUnavailable
		result := Result{Took: b.now().Sub(l.begin), Status: l.status, OK: complete && !refused, Full: l.full, Broken: broken}
		l.release(result)
		l.quarantineDone(result)
	})
}

// answerBody is an answer's body that ends the call once it is read to its end, fails or is closed.
type answerBody struct {
	io.ReadCloser
	flight *flight
	ctx    context.Context
}

// Read reads the answer and, at its end or failure, ends the call.
func (a *answerBody) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	switch {
	case err == nil:
	case err == io.EOF:
		a.flight.end(false, true)
	default:
		a.flight.end(a.ctx.Err() == nil, false)
	}
	return n, err
}

// Close ends the call, and closes the connection if the answer was not read to its end.
func (a *answerBody) Close() error {
	// The body's own Close would read the rest of the answer, so it is not called.
	a.flight.end(false, false)
	return nil
}

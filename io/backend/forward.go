package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// Headers that a backend server sees.
const (
	headerContext  = "Mesh-Context"
	headerDeadline = "Mesh-Deadline" // remaining time in milliseconds
)

// statusCancelled is the customary status for a caller that went away.
const statusCancelled = 499

// Do admits a call and forwards it to its endpoint; it is a hop.Do. The call counts as in flight until its answer's body is
// closed.
func (b *Backend) Do(ctx context.Context, m hop.Meta, r *http.Request) (*http.Response, error) {
	key := m.Service + "/" + m.Endpoint
	if f := b.refusal(key, m.Call); f != nil {
		return nil, f
	}
	release, f := b.admit(ctx, key, m)
	if f != nil {
		return nil, hop.AsFailure(f, m.Call)
	}
	// A call that waited in the queue may have been marked meanwhile.
	unguard, f := b.guard(ctx, key, m)
	if f != nil {
		release(Result{})
		return nil, hop.AsFailure(f, m.Call)
	}
	l := &flight{backend: b, begin: b.now(), release: release, unguard: unguard, meta: m}
	if f := b.begin(key, l); f != nil {
		release(Result{})
		unguard(Result{})
		return nil, f
	}
	return l.forward(ctx, r)
}

// refusal checks that an endpoint takes new work.
func (b *Backend) refusal(key, call string) *outcome.Failure {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedTo(b.endpoints[key], call)
}

func (b *Backend) closedTo(e *endpoint, call string) *outcome.Failure {
	f := &outcome.Failure{Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: call}
	switch {
	case b.draining:
		f.Code, f.Detail = outcome.Draining, "the node is leaving"
	case e == nil:
		f.Code, f.Detail = outcome.NoEndpoint, "the endpoint is not on this node"
	case e.leaving:
		f.Code, f.Detail = outcome.Draining, "the endpoint is leaving"
	default:
		return nil
	}
	return f
}

// begin enters a call as in flight, unless the endpoint began to leave while the call waited for admission.
func (b *Backend) begin(key string, l *flight) *outcome.Failure {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[key]
	if f := b.closedTo(e, l.meta.Call); f != nil {
		return f
	}
	l.endpoint, l.pool = e, e.pool
	l.run = &run{print: l.meta.Print, process: e.crashes}
	e.running[l.run] = struct{}{}
	b.running++
	return nil
}

// flight is one call in flight to a backend server.
type flight struct {
	backend  *Backend
	endpoint *endpoint
	pool     *pool
	exchange *exchange
	answer   *http.Response
	run      *run
	meta     hop.Meta
	begin    time.Time
	release  func(Result)
	unguard  func(Result)
	status   int
	id       string // by which calls for this request name it; empty when they do not
	once     sync.Once
}

func (l *flight) forward(ctx context.Context, r *http.Request) (*http.Response, error) {
	c, err := l.pool.acquire(ctx)
	if err != nil {
		f := l.classify(ctx, err, false)
		l.end(false, false)
		return nil, f
	}
	x, p, err := c.start(ctx, l.request(ctx, r))
	l.exchange, l.answer = x, p
	if err != nil {
		// Nothing is written after start returned an error, so what the wire noted is final.
		f := l.classify(ctx, err, c.wire.wrote.Load())
		l.end(f.Kind != outcome.NotRun && ctx.Err() == nil, false)
		return nil, f
	}
	l.status = p.StatusCode
	if l.backend.whole > 0 {
		p, err = l.readWhole(ctx, p)
		if err != nil {
			return nil, err
		}
	}
	if p.StatusCode == http.StatusSwitchingProtocols {
		l.end(false, false)
		return nil, l.failure(outcome.Reset, outcome.Unknown, http.StatusBadGateway, "the backend server switched protocols unasked", nil)
	}
	hop.Clean(p.Header)
	hop.SetTook(p, l.backend.now().Sub(l.begin))
	if after, ok := hop.Shed(p); ok {
		l.backend.shed(l.endpoint.key, after)
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
	l.name(h, d)
	l.backend.headers(h, l.meta, d)
	out := hop.Rebuild(ctx, r, "http", l.pool.address)
	out.Header = h
	if len(r.Trailer) > 0 && r.Body != nil {
		out.ContentLength = -1 // HTTP/1.1 sends trailers only with a chunked body
	}
	return out
}

// name keeps the context of the request for the calls that name it.
func (l *flight) name(h http.Header, deadline time.Time) {
	b := l.backend
	if b.named == nil || deadline.IsZero() {
		return
	}
	l.id = b.named(h)
	if l.id == "" {
		return
	}
	context := b.context(l.meta, deadline)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contexts[l.id] = context
}

// Context returns the context of a request that runs at a backend server beside the node, by its id.
func (b *Backend) Context(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.contexts[id]
	return c, ok
}

// meshHeaders sets the headers that a backend server of the mesh's own interface gets.
func (b *Backend) meshHeaders(h http.Header, m hop.Meta, deadline time.Time) {
	h[outcome.HeaderCall] = []string{m.Call}
	if deadline.IsZero() {
		return
	}
	h[headerDeadline] = []string{strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10)}
	if c := b.context(m, deadline); c != "" {
		h[headerContext] = []string{c}
	}
}

// readWhole reads an answer up to the bound before any of it is passed on, and ends the call when the answer is whole.
func (l *flight) readWhole(ctx context.Context, p *http.Response) (*http.Response, error) {
	limit := l.backend.whole
	head, err := io.ReadAll(io.LimitReader(p.Body, limit+1))
	if err != nil {
		f := l.classify(ctx, err, true)
		if f.Code == outcome.Reset {
			f.Code, f.Detail = outcome.Truncated, "the answer of the backend server broke off"
		}
		l.end(ctx.Err() == nil, false)
		return nil, f
	}
	if f := l.backend.judge(p); f != nil {
		f.Call = l.meta.Call
		l.end(false, int64(len(head)) <= limit && f.Kind == outcome.NotRun)
		return nil, f
	}
	rest := p.Body
	if int64(len(head)) > limit || len(p.Trailer) > 0 {
		p.Body = joinedBody{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest}
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

// joinedBody reads from one source and closes another.
type joinedBody struct {
	io.Reader
	io.Closer
}

func (l *flight) failure(code outcome.Code, kind outcome.Kind, status int, detail string, err error) *outcome.Failure {
	return &outcome.Failure{Code: code, Kind: kind, Status: status, Detail: detail, Call: l.meta.Call, Err: err}
}

// classify turns an error into a failure: a request of which nothing was written did not run.
func (l *flight) classify(ctx context.Context, err error, wrote bool) *outcome.Failure {
	kind := outcome.Unknown
	if !wrote {
		kind = outcome.NotRun
	}
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return l.failure(outcome.Late, kind, http.StatusGatewayTimeout, "the deadline passed at the backend server", err)
	case ctx.Err() != nil:
		return l.failure(outcome.Canceled, kind, statusCancelled, "the caller went away", err)
	case !wrote:
		return l.failure(outcome.Unreachable, kind, http.StatusServiceUnavailable, "no connection to the backend server could be made", err)
	}
	return l.failure(outcome.Reset, kind, http.StatusBadGateway, "the connection to the backend server broke", err)
}

// end takes the call out of flight once.
func (l *flight) end(broken, whole bool) {
	l.once.Do(func() {
		b := l.backend
		if l.exchange != nil {
			reuse := l.exchange.end(l.answer)
			l.pool.put(l.exchange.conn, reuse && whole)
		}
		if broken {
			b.broke(l.endpoint, l.run)
		}
		b.mu.Lock()
		delete(l.endpoint.running, l.run)
		if l.id != "" {
			delete(b.contexts, l.id)
		}
		b.running--
		if b.running == 0 && b.idle != nil {
			close(b.idle)
			b.idle = nil
		}
		b.mu.Unlock()
		refused := l.status == http.StatusServiceUnavailable
		result := Result{Took: b.now().Sub(l.begin), Status: l.status, OK: whole && !refused, Broken: broken}
		l.release(result)
		l.unguard(result)
	})
}

// answerBody ends the call when the answer has been read or given up.
type answerBody struct {
	io.ReadCloser
	flight *flight
	ctx    context.Context
}

// Read reads the answer and notes how it ended.
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

// Close gives the answer up if it was not read whole.
func (a *answerBody) Close() error {
	// The body's own Close would read the rest of the answer; a connection with a rest is closed instead.
	a.flight.end(false, false)
	return nil
}

package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// body is a request body whose first bytes are kept in memory, so that a small body can be sent again.
type body struct {
	prefix   []byte
	rest     io.Reader   // nil when prefix is the complete body
	consumed atomic.Bool // an attempt has read from a body that is larger than prefix
	whole    atomic.Bool // rest was read to its end
	released atomic.Bool // net/http may read rest itself, so that no attempt may read on
	complete func()      // called once rest was read to its end
}

// readBody reads a body of up to hop.MaxFingerprintBytes completely, and only the start of a larger one.
func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if n := r.ContentLength; n >= 0 && n <= hop.MaxFingerprintBytes {
		head := make([]byte, n)
		_, err := io.ReadFull(r.Body, head)
		if err != nil {
			return nil, err
		}
		return &body{prefix: head}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, hop.MaxFingerprintBytes+1))
	if err != nil {
		return nil, err
	}
	if len(head) <= hop.MaxFingerprintBytes {
		return &body{prefix: head}, nil
	}
	return &body{prefix: head, rest: r.Body, complete: func() {}}, nil
}

// attemptBody returns a reader of the body for one attempt, and its length, -1 when unknown. A failure to read the rest is passed to
// lost.
func (b *body) attemptBody(length int64, lost *lostBody) (io.ReadCloser, int64) {
	if b.rest == nil && len(b.prefix) == 0 {
		return nil, 0
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.prefix)), int64(len(b.prefix))
	}
	return &attemptReader{body: b, prefix: b.prefix, lost: lost}, length
}

// resendable reports whether the body can be sent again. A body with a rest cannot once an attempt has read from it.
func (b *body) resendable() bool {
	return b.rest == nil || !b.consumed.Load()
}

// attemptReader reads a body that is larger than its kept prefix, for one attempt.
type attemptReader struct {
	body   *body
	prefix []byte
	lost   *lostBody
	closed atomic.Bool
}

// Read returns the kept prefix and then the rest. It fails after Close, so that a finished attempt cannot consume bytes that
// the next attempt needs, and after releaseBody: net/http may have discarded a part, and the bytes or the end after it would be taken
// for the next ones.
func (p *attemptReader) Read(b []byte) (int, error) {
	if p.ended() {
		return 0, http.ErrBodyReadAfterClose
	}
	p.body.consumed.Store(true)
	if len(p.prefix) > 0 {
		n := copy(b, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	n, err := p.body.rest.Read(b)
	if err == io.EOF && !p.body.released.Load() {
		p.body.whole.Store(true)
		p.body.complete()
	}
	if p.ended() {
		return 0, http.ErrBodyReadAfterClose
	}
	if err != nil && err != io.EOF {
		p.lost.set(err)
	}
	return n, err
}

func (p *attemptReader) ended() bool { return p.closed.Load() || p.body.released.Load() }

// Close makes further reads of this attempt fail; the underlying body stays open.
func (p *attemptReader) Close() error {
	p.closed.Store(true)
	return nil
}

// enableFullDuplex lets the attempt read the rest of the body while its answer is passed on. Without it, net/http discards up to 256 KiB
// of the body when it writes the header of the answer, and the endpoint would get the bytes after them.
func (c *call) enableFullDuplex() {
	if c.body == nil || c.body.rest == nil || c.body.whole.Load() {
		return
	}
	_ = http.NewResponseController(c.w).EnableFullDuplex() // a writer without it is not that of net/http and discards nothing
}

// releaseBody ends the reads of all attempts, since net/http may read the rest of the body itself from here on.
func (c *call) releaseBody() {
	if c.body != nil {
		c.body.released.Store(true)
	}
}

// lostBody ends an attempt when the rest of the body cannot be read. Without it, the endpoint would wait for the rest, and the
// attempt for the endpoint, until the deadline. Once the endpoint answers, the attempt no longer depends on the body.
type lostBody struct {
	mu     sync.Mutex
	cancel context.CancelFunc // nil once the attempt no longer depends on the body
	err    error
}

func (l *lostBody) set(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil && l.err == nil {
		l.err = err
		l.cancel()
	}
}

// detach makes later failures have no effect.
func (l *lostBody) detach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel = nil
}

// bodyContext returns the context of an attempt. For a body with a rest, it also ends when the rest cannot be read.
func (c *call) bodyContext() (context.Context, *lostBody) {
	if c.body.rest == nil {
		return c.ctx, &lostBody{}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	return ctx, &lostBody{cancel: cancel}
}

// lostOutcome returns the failure of an attempt whose body could not be read to its end. An endpoint may have a part of the request,
// so the failure keeps its kind.
func (c *call) lostOutcome(f *outcome.Failure, l *lostBody) *outcome.Failure {
	if l.err == nil || c.ctx.Err() != nil {
		return f
	}
	n := *f
	n.Code, n.Status, n.Detail, n.Err = outcome.Canceled, http.StatusBadGateway, "the request body ended early", l.err
	if stop := c.stopRefusal(0); stop != nil {
		n.Code, n.Detail = outcome.Draining, "the node is stopping and the request body was not complete in time"
	}
	return &n
}

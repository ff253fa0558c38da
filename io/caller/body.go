package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"godwitspindle/io/hop"
)

// body is a request body whose first bytes are kept in memory, so that a small body can be sent again.
type body struct {
	prefix   []byte
	rest     io.Reader   // nil when prefix is the complete body
	consumed atomic.Bool // an attempt has read from a body that is larger than prefix
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
	return &body{prefix: head, rest: r.Body}, nil
}

// attemptBody returns a reader of the body for one attempt, and its length, -1 when unknown.
func (b *body) attemptBody(length int64) (io.ReadCloser, int64) {
	if b.rest == nil && len(b.prefix) == 0 {
		return nil, 0
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.prefix)), int64(len(b.prefix))
	}
	return &attemptReader{body: b, prefix: b.prefix}, length
}

// resendable reports whether the body can be sent again. A body with a rest cannot once an attempt has read from it.
func (b *body) resendable() bool {
	return b.rest == nil || !b.consumed.Load()
}

// attemptReader reads a body that is larger than its kept prefix, for one attempt.
type attemptReader struct {
	body   *body
	prefix []byte
	closed atomic.Bool
}

// Read returns the kept prefix and then the rest. It fails after Close, so that a finished attempt cannot consume bytes that
// the next attempt needs.
func (p *attemptReader) Read(b []byte) (int, error) {
	if p.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	p.body.consumed.Store(true)
	if len(p.prefix) > 0 {
		n := copy(b, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.body.rest.Read(b)
}

// Close makes further reads of this attempt fail; the underlying body stays open.
func (p *attemptReader) Close() error {
	p.closed.Store(true)
	return nil
}

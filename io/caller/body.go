package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"godwitspindle/io/hop"
)

// body is a request body whose start is held, so that a small body can be sent again.
type body struct {
	head  []byte
	rest  io.Reader   // nil when head is the whole body
	taken atomic.Bool // a streamed attempt has read a byte
}

// readBody reads the start of a body; a body up to hop.MaxPrintBytes is held whole.
func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if n := r.ContentLength; n >= 0 && n <= hop.MaxPrintBytes {
		head := make([]byte, n)
		_, err := io.ReadFull(r.Body, head)
		if err != nil {
			return nil, err
		}
		return &body{head: head}, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, hop.MaxPrintBytes+1))
	if err != nil {
		return nil, err
	}
	if len(head) <= hop.MaxPrintBytes {
		return &body{head: head}, nil
	}
	return &body{head: head, rest: r.Body}, nil
}

// attempt returns the body for one attempt, and its length or -1.
func (b *body) attempt(length int64) (io.ReadCloser, int64) {
	if b.rest == nil && len(b.head) == 0 {
		return nil, 0
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head)), int64(len(b.head))
	}
	return &part{body: b, head: b.head}, length
}

// whole reports whether the body can be sent again. A streamed body cannot once an attempt has read any of it.
func (b *body) whole() bool {
	return b.rest == nil || !b.taken.Load()
}

// part is one attempt's view of a body that is larger than the held start.
type part struct {
	body   *body
	head   []byte
	closed atomic.Bool
}

// Read returns the held start and then the rest. After Close it fails, so that a finished attempt cannot take bytes from the
// next one.
func (p *part) Read(b []byte) (int, error) {
	if p.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	p.body.taken.Store(true)
	if len(p.head) > 0 {
		n := copy(b, p.head)
		p.head = p.head[n:]
		return n, nil
	}
	return p.body.rest.Read(b)
}

// Close ends the attempt's reading.
func (p *part) Close() error {
	p.closed.Store(true)
	return nil
}

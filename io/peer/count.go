package peer

import (
	"context"
	"io"
	"net/http"
	"path"
)

// headerBytes estimates the size of frames and compressed headers in each direction of a call on an established HTTP/2 connection.
const headerBytes = 60

// countingTransport reports the bytes of each call, with its estimated headers, to observe, and limits responses.
type countingTransport struct {
	next    http.RoundTripper
	observe Observe
}

// RoundTrip reports the bytes of the request and of the response headers on return, and those of the response body when it is
// closed.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	method := path.Base(r.URL.Path)
	sent := headerBytes + int(max(r.ContentLength, 0))
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		t.observe(method, sent, 0)
		return nil, err
	}
	t.observe(method, sent, headerBytes)
	resp.Body = &countingBody{ReadCloser: limitResponse(r, resp), add: func(n int) { t.observe(method, 0, n) }}
	return resp, nil
}

// pollKey is the context key of a call whose response may carry a snapshot.
type pollKey struct{}

// withPoll returns the context of a call whose response may carry a snapshot.
func withPoll(ctx context.Context) context.Context { return context.WithValue(ctx, pollKey{}, true) }

// limitResponse returns the body of a response, which fails at the limit. Connect stops keeping what it reads at a limit of its own, but
// reads on.
func limitResponse(r *http.Request, resp *http.Response) io.ReadCloser {
	limit := int64(maxResponseBytes)
	switch {
	case resp.StatusCode != http.StatusOK:
		limit = maxErrorBytes
	case r.Context().Value(pollKey{}) != nil:
		limit = maxPackedBytes
	}
	return http.MaxBytesReader(nil, resp.Body, limit)
}

// countingBody passes the number of bytes read from a response body to add when it is closed.
type countingBody struct {
	io.ReadCloser
	bytes int
	add   func(n int)
}

// Read counts the bytes that it returns.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += n
	return n, err
}

// Close reports the counted bytes once and closes the response body.
func (b *countingBody) Close() error {
	if b.bytes > 0 {
		b.add(b.bytes)
		b.bytes = 0
	}
	return b.ReadCloser.Close()
}

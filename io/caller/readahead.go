package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"godwitspindle/core/outcome"
)

// statusCanceled is the customary status for a request that its caller cancelled.
const statusCanceled = 499

// readAhead reads an answer of at most the handler's buffer limit to its end before any of it is passed on, so that an answer which
// breaks off between two nodes becomes a failure, which may be retried, instead of an aborted connection of the caller. Longer
// answers and event streams are passed on as they arrive.
func (c *call) readAhead(p *http.Response) *outcome.Failure {
	limit := c.handler.bufferLimit
	if limit <= 0 || p.Body == http.NoBody || c.r.Method == http.MethodHead || p.ContentLength > limit || strings.HasPrefix(p.Header.Get("Content-Type"), "text/event-stream") {
		return nil
	}
	start, err := io.ReadAll(io.LimitReader(p.Body, limit+1))
	if err != nil {
		_ = p.Body.Close()
		return c.brokenAnswer(err)
	}
	if int64(len(start)) > limit {
		p.Body = joinedBody{Reader: io.MultiReader(bytes.NewReader(start), p.Body), Closer: p.Body}
		return nil
	}
	_ = p.Body.Close()
	if p.ContentLength < 0 && len(p.Trailer) == 0 {
		p.ContentLength = int64(len(start))
		p.Header.Set("Content-Length", strconv.Itoa(len(start)))
	}
	p.Body = io.NopCloser(bytes.NewReader(start))
	return nil
}

// brokenAnswer returns the failure for an answer that broke off while it was read ahead. Its outcome is unknown, since the request has run.
func (c *call) brokenAnswer(err error) *outcome.Failure {
	f := &outcome.Failure{
		Code: outcome.Truncated, Kind: outcome.Unknown, Status: http.StatusBadGateway, Call: c.id, Err: err,
		Detail: "the endpoint's answer broke off on its way",
	}
	switch c.ctx.Err() {
	case nil:
	case context.DeadlineExceeded:
		f.Code, f.Status, f.Detail = outcome.DeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before the whole answer arrived"
	default: // not a fault of the endpoint
		f.Code, f.Status, f.Detail = outcome.Canceled, statusCanceled, "the caller cancelled the call"
	}
	return f
}

// joinedBody reads from one source and closes another.
type joinedBody struct {
	io.Reader
	io.Closer
}

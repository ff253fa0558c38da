package hop

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// copyBufferBytes is the unit of copying answers.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// SourceError says that an answer broke off while it was read.
type SourceError struct{ Err error }

// Error gives the cause.
func (e *SourceError) Error() string { return fmt.Sprintf("answer broke off: %v", e.Err) }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }

// SinkError says that the receiver of an answer stopped taking it.
type SinkError struct{ Err error }

// Error gives the cause.
func (e *SinkError) Error() string { return fmt.Sprintf("receiver stopped: %v", e.Err) }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Err }

// Copy sends a response with its trailers and closes its body. An answer of unknown length is flushed after each read.
// The error is a *SourceError or a *SinkError; the receiver has then seen a part of the answer, so the caller of Copy must
// break the connection.
func Copy(w http.ResponseWriter, p *http.Response) error {
	defer func() { _ = p.Body.Close() }()
	h := w.Header()
	Clean(p.Header)
	for k, v := range p.Header {
		h[k] = v
	}
	announced := len(p.Trailer)
	for k := range p.Trailer {
		h.Add("Trailer", k)
	}
	w.WriteHeader(p.StatusCode)
	if err := copyBody(w, p); err != nil {
		return err
	}
	if len(p.Trailer) > 0 {
		// A flush makes the body chunked, without which HTTP/1.1 has no trailers.
		if err := http.NewResponseController(w).Flush(); err != nil {
			return &SinkError{Err: err}
		}
	}
	copyTrailer(h, p.Trailer, announced == len(p.Trailer))
	return nil
}

func copyBody(w http.ResponseWriter, p *http.Response) error {
	if p.Body == http.NoBody {
		return nil
	}
	flush := p.ContentLength < 0 || strings.HasPrefix(p.Header.Get("Content-Type"), "text/event-stream")
	rc := http.NewResponseController(w)
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	if flush && p.ContentLength < 0 && p.Request != nil && p.Request.Method != http.MethodHead {
		if err := rc.Flush(); err != nil {
			return &SinkError{Err: err}
		}
	}
	for {
		n, err := p.Body.Read(buffer[:])
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return &SinkError{Err: werr}
			}
			if flush {
				if ferr := rc.Flush(); ferr != nil {
					return &SinkError{Err: ferr}
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			// What arrived is sent, so that the receiver sees a broken answer and not a missing one: the request ran.
			_ = rc.Flush()
			return &SourceError{Err: err}
		}
	}
}

func copyTrailer(h, trailer http.Header, announced bool) {
	Strip(trailer)
	for k, v := range trailer {
		if !announced {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
}

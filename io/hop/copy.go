package hop

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// SourceError reports that an answer could not be read to its end.
type SourceError struct{ Err error }

// Error names the cause of the read failure.
func (e *SourceError) Error() string { return fmt.Sprintf("answer broke off: %v", e.Err) }

// Unwrap returns the read error.
func (e *SourceError) Unwrap() error { return e.Err }

// SinkError reports that an answer could not be written to its receiver.
type SinkError struct{ Err error }

// Error names the cause of the write failure.
func (e *SinkError) Error() string { return fmt.Sprintf("write answer to its receiver: %v", e.Err) }

// Unwrap returns the write error.
func (e *SinkError) Unwrap() error { return e.Err }

// Copy writes a response with its trailers to w and closes its body. It flushes after each read if the answer has
// unknown length or is an event stream. After an error, a *SourceError or a *SinkError, the receiver may have seen a part of the
// answer, so the caller of Copy must abort the connection.
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
		// A flush makes the body chunked; HTTP/1.1 sends trailers only after a chunked body.
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
			// Sends what arrived, so that the receiver sees an answer that breaks off instead of none: the request ran.
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

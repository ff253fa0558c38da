package process

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxBufferedAnswer limits the bytes of an answer that are buffered until its turn. Further writes block.
const maxBufferedAnswer = 64 << 10

// minWriteTime is the least time that a client has to read an answer which waited for its turn.
const minWriteTime = time.Second

// maxOptionsBody limits the bytes of the body of OPTIONS * that are read.
const maxOptionsBody = 4 << 10

// earlyRequest is a pipelined request that runs before its turn, and the http.ResponseWriter that buffers its answer until the
// turn.
type earlyRequest struct {
	request  *http.Request
	length   int // bytes of the request on the connection
	pipeline *pipeline
	turn     chan struct{} // closed when the request's turn begins
	done     chan struct{} // closed when the handler has returned
	release  func()        // removes the request from the count of early requests

	mu       sync.Mutex
	header   http.Header // used by the handler only, until it has returned
	head     http.Header // copy of header when the handler set the status
	status   int         // status of the answer; 0 until the handler sets it
	body     []byte
	flushed  bool                // the handler flushed the answer before its turn
	deadline time.Time           // time by which the answer must be written
	writer   http.ResponseWriter // nil before its turn
	panicked any                 // value of the panic that ended the handler
}

func newEarlyRequest(r *http.Request, length int, l *pipeline) *earlyRequest {
	return &earlyRequest{
		request: r, length: length, pipeline: l, header: http.Header{}, turn: make(chan struct{}), done: make(chan struct{}),
		release: sync.OnceFunc(func() { l.conn.listener.early.Add(-1) }),
	}
}

// run serves the request with the handler of the listener.
func (e *earlyRequest) run(h http.Handler) {
	defer close(e.done)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.panicked = recover()
	}()
	h.ServeHTTP(e, e.request)
}

// serve sends the answer at the request's turn, waits for the handler to return and repeats its panic, if any.
func (e *earlyRequest) serve(w http.ResponseWriter) {
	defer e.release()
	e.attach(w)
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.Copy(w.Header(), e.header) // trailers; the header has already been sent
	if e.panicked != nil {
		panic(e.panicked) // net/http closes the connection and logs any panic but http.ErrAbortHandler
	}
}

// attach begins the request's turn: it sends what is buffered, and later writes go to w.
func (e *earlyRequest) attach(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writer = w
	rc := http.NewResponseController(w)
	if !e.deadline.IsZero() {
		_ = rc.SetWriteDeadline(e.writeDeadline(time.Now()))
	}
	if e.status != 0 {
		e.sendHead()
	}
	if len(e.body) > 0 {
		_, _ = w.Write(e.body) // a client that does not read is noticed at the next write
		e.body = nil
	}
	if e.status != 0 && (e.flushed || e.panicked != nil) {
		_ = rc.Flush()
	}
	close(e.turn)
}

// writeDeadline returns the time by which the answer must be written. The request may have waited for its turn until after its deadline; a
// write that fails then would close the connection and lose an answer that is ready.
func (e *earlyRequest) writeDeadline(now time.Time) time.Time {
	if least := now.Add(minWriteTime); e.deadline.Before(least) {
		return least
	}
	return e.deadline
}

// sendHead sends status and header. The caller holds the mutex, and it is the request's turn.
func (e *earlyRequest) sendHead() {
	maps.Copy(e.writer.Header(), e.head)
	e.pipeline.setConnectionClose(e.writer.Header())
	e.writer.WriteHeader(e.status)
}

// Header returns the header of the answer.
func (e *earlyRequest) Header() http.Header { return e.header }

// WriteHeader sets the status and sends the header if it is the request's turn.
func (e *earlyRequest) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status != 0 {
		return
	}
	e.status, e.head = status, e.header.Clone()
	if e.writer != nil {
		e.sendHead()
	}
}

// Write buffers a part of the answer before the request's turn and sends it from then on. If the buffer is full, Write waits for
// the turn or the end of the connection.
func (e *earlyRequest) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	e.mu.Lock()
	if e.writer == nil && len(e.body)+len(p) <= maxBufferedAnswer {
		e.body = append(e.body, p...)
		e.mu.Unlock()
		return len(p), nil
	}
	e.mu.Unlock()
	select {
	case <-e.turn:
	case <-e.request.Context().Done():
		return 0, e.request.Context().Err()
	}
	return e.writer.Write(p)
}

// FlushError sends what was written; before the request's turn, it postpones that to the turn and returns nil.
func (e *earlyRequest) FlushError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writer == nil {
		e.flushed = true
		return nil
	}
	return http.NewResponseController(e.writer).Flush()
}

// SetWriteDeadline sets the time by which the answer must be written; before the request's turn, it applies from the turn on.
func (e *earlyRequest) SetWriteDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadline = t
	if e.writer == nil {
		return nil
	}
	return http.NewResponseController(e.writer).SetWriteDeadline(t)
}

// SetReadDeadline has no effect, because early requests have no body.
func (e *earlyRequest) SetReadDeadline(time.Time) error { return nil }

// orderedWriter is the http.ResponseWriter of a request that started at its turn.
type orderedWriter struct {
	http.ResponseWriter
	pipeline *pipeline
	sent     bool
}

// Unwrap gives http.ResponseController access to the connection.
func (w *orderedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the header, with Connection: close only if no request behind this one is running.
func (w *orderedWriter) WriteHeader(status int) {
	if !w.sent {
		w.sent = status >= http.StatusOK
		w.pipeline.setConnectionClose(w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (w *orderedWriter) Write(p []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written.
func (w *orderedWriter) FlushError() error {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// answerOptions answers OPTIONS * like net/http, which would do so without the handler that takes the request's turn.
func answerOptions(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodOptions || r.RequestURI != "*" {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Length", "0")
		_, _ = io.CopyN(io.Discard, r.Body, maxOptionsBody)
	})
}

// serveInOrder answers the requests of each connection in the order in which they were sent.
func serveInOrder(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*countedConn)
		if !ok || c.pipeline == nil {
			next.ServeHTTP(w, r)
			return
		}
		if e := c.pipeline.takeTurn(); e != nil {
			e.serve(w)
			return
		}
		ordered := &orderedWriter{ResponseWriter: w, pipeline: c.pipeline}
		next.ServeHTTP(ordered, r)
		if !ordered.sent {
			c.pipeline.setConnectionClose(w.Header()) // net/http sends the header
		}
	})
}

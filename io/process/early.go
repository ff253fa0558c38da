package process

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxHeldAnswer limits the bytes of an answer that are buffered until its turn. Further writes block.
const maxHeldAnswer = 64 << 10

// earlyRequest is a pipelined request that runs before its turn. As an http.ResponseWriter it buffers the answer until then.
type earlyRequest struct {
	request  *http.Request
	length   int // in bytes, on the connection
	pipeline *pipeline
	turn     chan struct{} // closed when it is the request's turn
	done     chan struct{} // closed when the handler has returned
	release  func()        // removes the request from the count of early requests

	mu       sync.Mutex
	header   http.Header
	status   int // 0 until the handler sets it
	body     []byte
	flushed  bool
	deadline time.Time           // for writing the answer
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
func (a *earlyRequest) run(h http.Handler) {
	defer close(a.done)
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.panicked = recover()
	}()
	h.ServeHTTP(a, a.request)
}

// serve sends the answer at its turn.
func (a *earlyRequest) serve(w http.ResponseWriter) {
	defer a.release()
	a.attach(w)
	<-a.done
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.Copy(w.Header(), a.header) // trailers; the header has already been sent
	if a.panicked != nil {
		panic(a.panicked) // net/http closes the connection and logs any panic but http.ErrAbortHandler
	}
}

// attach begins the request's turn: it sends what is buffered, and later writes go to w.
func (a *earlyRequest) attach(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writer = w
	rc := http.NewResponseController(w)
	if !a.deadline.IsZero() {
		_ = rc.SetWriteDeadline(a.deadline)
	}
	if a.status != 0 {
		a.sendHead()
	}
	if len(a.body) > 0 {
		_, _ = w.Write(a.body) // a client that does not read is noticed at the next write
		a.body = nil
	}
	if a.status != 0 && (a.flushed || a.panicked != nil) {
		_ = rc.Flush()
	}
	close(a.turn)
}

// sendHead sends status and header. The caller holds the mutex, and it is the request's turn.
func (a *earlyRequest) sendHead() {
	maps.Copy(a.writer.Header(), a.header)
	a.pipeline.setConnectionClose(a.writer.Header())
	a.writer.WriteHeader(a.status)
}

// Header returns the header of the answer.
func (a *earlyRequest) Header() http.Header { return a.header }

// WriteHeader sets the status and sends the header if it is the request's turn.
func (a *earlyRequest) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status = status
	if a.writer != nil {
		a.sendHead()
	}
}

// Write buffers a part of the answer until its turn, or sends it.
func (a *earlyRequest) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.mu.Lock()
	if a.writer == nil && len(a.body)+len(p) <= maxHeldAnswer {
		a.body = append(a.body, p...)
		a.mu.Unlock()
		return len(p), nil
	}
	a.mu.Unlock()
	select {
	case <-a.turn:
	case <-a.request.Context().Done():
		return 0, a.request.Context().Err()
	}
	return a.writer.Write(p)
}

// FlushError sends what was written, or does so at the request's turn.
func (a *earlyRequest) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writer == nil {
		a.flushed = true
		return nil
	}
	return http.NewResponseController(a.writer).Flush()
}

// SetWriteDeadline sets the time by which the client must have received the answer.
func (a *earlyRequest) SetWriteDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.writer == nil {
		return nil
	}
	return http.NewResponseController(a.writer).SetWriteDeadline(t)
}

// SetReadDeadline has no effect, because early requests have no body.
func (a *earlyRequest) SetReadDeadline(time.Time) error { return nil }

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

// serveInOrder answers the requests of each connection in the order in which they were sent.
func serveInOrder(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*countedConn)
		if !ok || c.pipeline == nil {
			next.ServeHTTP(w, r)
			return
		}
		if a := c.pipeline.takeCurrent(); a != nil {
			a.serve(w)
			return
		}
		next.ServeHTTP(&orderedWriter{ResponseWriter: w, pipeline: c.pipeline}, r)
	})
}

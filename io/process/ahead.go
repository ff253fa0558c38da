package process

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// answerMost is the part of an answer that is held until its turn, bytes; the rest waits at its source.
const answerMost = 64 << 10

// ahead is a request in work before its turn, and the http.ResponseWriter that holds its answer until then.
type ahead struct {
	request *http.Request
	length  int // bytes on the connection
	line    *pipeline
	turn    chan struct{} // closed at its turn
	done    chan struct{} // closed when its handler has returned
	finish  func()        // gives its place back

	mu       sync.Mutex
	header   http.Header
	status   int // 0 before the head of the answer
	body     []byte
	flushed  bool
	deadline time.Time           // for writing the answer
	out      http.ResponseWriter // nil before its turn
	broken   any                 // with which the handler broke the answer off
}

func newAhead(r *http.Request, length int, l *pipeline) *ahead {
	return &ahead{
		request: r, length: length, line: l, header: http.Header{}, turn: make(chan struct{}), done: make(chan struct{}),
		finish: sync.OnceFunc(func() { l.conn.listener.ahead.Add(-1) }),
	}
}

// run serves the request with the handler of the listener.
func (a *ahead) run(h http.Handler) {
	defer close(a.done)
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.broken = recover()
	}()
	h.ServeHTTP(a, a.request)
}

// serve passes the answer on at its turn.
func (a *ahead) serve(w http.ResponseWriter) {
	defer a.finish()
	a.attach(w)
	<-a.done
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.Copy(w.Header(), a.header) // trailers; a head that was sent does not change any more
	if a.broken != nil {
		panic(a.broken) // net/http closes the connection, and logs what is no deliberate break
	}
}

func (a *ahead) attach(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.out = w
	rc := http.NewResponseController(w)
	if !a.deadline.IsZero() {
		_ = rc.SetWriteDeadline(a.deadline)
	}
	if a.status != 0 {
		a.sendHead()
	}
	if len(a.body) > 0 {
		_, _ = w.Write(a.body) // a client that does not take its answer is noticed at the next write
		a.body = nil
	}
	if a.status != 0 && (a.flushed || a.broken != nil) {
		_ = rc.Flush()
	}
	close(a.turn)
}

// sendHead sends the head; the mutex is held and the request has its turn.
func (a *ahead) sendHead() {
	maps.Copy(a.out.Header(), a.header)
	a.line.settle(a.out.Header())
	a.out.WriteHeader(a.status)
}

// Header returns the header of the answer.
func (a *ahead) Header() http.Header { return a.header }

// WriteHeader begins the answer.
func (a *ahead) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status = status
	if a.out != nil {
		a.sendHead()
	}
}

// Write holds a part of the answer until its turn, or sends it.
func (a *ahead) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.mu.Lock()
	if a.out == nil && len(a.body)+len(p) <= answerMost {
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
	return a.out.Write(p)
}

// FlushError sends what was written, once it has its turn.
func (a *ahead) FlushError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.out == nil {
		a.flushed = true
		return nil
	}
	return http.NewResponseController(a.out).Flush()
}

// SetWriteDeadline bounds the time in which the client takes the answer.
func (a *ahead) SetWriteDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.out == nil {
		return nil
	}
	return http.NewResponseController(a.out).SetWriteDeadline(t)
}

// SetReadDeadline has no effect, since the request has no body.
func (a *ahead) SetReadDeadline(time.Time) error { return nil }

// settled is the answer to a request whose turn it was from the start.
type settled struct {
	http.ResponseWriter
	line *pipeline
	sent bool
}

// Unwrap lets net/http reach the connection.
func (s *settled) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// WriteHeader begins the answer.
func (s *settled) WriteHeader(status int) {
	if !s.sent {
		s.sent = status >= http.StatusOK
		s.line.settle(s.Header())
	}
	s.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (s *settled) Write(p []byte) (int, error) {
	if !s.sent {
		s.WriteHeader(http.StatusOK)
	}
	return s.ResponseWriter.Write(p)
}

// inTurn answers the requests of each connection in the order in which they were sent.
func inTurn(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*countedConn)
		if !ok || c.line == nil {
			next.ServeHTTP(w, r)
			return
		}
		if a := c.line.next(); a != nil {
			a.serve(w)
			return
		}
		next.ServeHTTP(&settled{ResponseWriter: w, line: c.line}, r)
	})
}

package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	backlogWait     = 2 * time.Millisecond   // time without a new connection after which the backlog counts as empty
	lastBacklogWait = 50 * time.Microsecond  // length of the last wait, short so that its end is noticed soon
	backlogTries    = 3                      // number of waits, because a busy machine may report a connection late
	maxUnusedWait   = 500 * time.Millisecond // longest wait of a shutdown for connections without a request so far
	maxBacklogTime  = 200 * time.Millisecond // longest wait until the backlog is empty
)

// countingListener closes connections above its limit at once, so that the client learns that nothing was read. A connection
// left in the backlog would wait for the client's own timeout.
type countingListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	refused  func()                        // called before a connection above the limit is closed
	drained  atomic.Pointer[chan struct{}] // closed once the backlog is empty; nil before DrainBacklog
	closed   chan struct{}                 // closed by Close
	once     sync.Once
	unused   sync.Map    // connections without a request so far
	graceful atomic.Bool // a shutdown closes connections, except those with a running request

	onClosed func() // called after the listener was closed

	newPipeline func(c *countedConn) *pipeline // nil if requests are not pipelined
	early       atomic.Int64                   // requests started before their turn and not yet answered
	stopping    atomic.Bool                    // no further request is started before its turn
}

// waitEarly waits until every request that was started before its turn is answered or ctx ends, and prevents new ones.
func (l *countingListener) waitEarly(ctx context.Context) {
	l.stopping.Store(true)
	for ctx.Err() == nil && l.early.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// deadliner is implemented by TCP listeners.
type deadliner interface{ SetDeadline(t time.Time) error }

// DrainBacklog makes Accept return the connections that wait in the backlog, then closes the listener. It waits at most
// maxBacklogTime for the close. Closing earlier would reset those connections, and a caller whose request was reset cannot know
// that the request did not run.
func (l *countingListener) DrainBacklog() {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return
	}
	empty := make(chan struct{})
	if !l.drained.CompareAndSwap(nil, &empty) {
		return
	}
	if d.SetDeadline(time.Now()) != nil {
		return
	}
	select {
	case <-empty:
	case <-l.closed:
	case <-time.After(maxBacklogTime):
	}
}

// NetConn returns the connection that is counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// track follows the state of each connection.
func (l *countingListener) track(c net.Conn, s http.ConnState) {
	if t, ok := c.(*countedConn); ok {
		t.track(s)
	}
	if s == http.StateNew {
		l.unused.Store(c, true)
		return
	}
	l.unused.Delete(c)
}

// waitClosed waits until all connections have closed or ctx ends, because net/http drops a request that it reads after its own
// shutdown began. It waits at most maxUnusedWait for connections without a request so far.
func (l *countingListener) waitClosed(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		unused := int64(0)
		l.unused.Range(func(any, any) bool {
			unused++
			return true
		})
		open := l.open.Load()
		if open == 0 || open <= unused && time.Since(began) > maxUnusedWait {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Close closes the listener. It returns no error if DrainBacklog has already closed the listener.
func (l *countingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	l.onClosed()
	if l.drained.Load() != nil && errors.Is(err, net.ErrClosed) {
		return nil // DrainBacklog closed it
	}
	return err
}

// accept returns the next connection. After DrainBacklog, it waits for Close once the backlog is empty.
func (l *countingListener) accept() (net.Conn, error) {
	for tries := 0; ; {
		c, err := l.Listener.Accept()
		drained := l.drained.Load()
		if drained == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if tries == backlogTries {
			_ = l.Listener.Close()
			l.onClosed()
			close(*drained)
			<-l.closed
			return nil, net.ErrClosed
		}
		tries++
		wait := backlogWait
		if tries == backlogTries {
			wait = lastBacklogWait
		}
		if err := l.Listener.(deadliner).SetDeadline(time.Now().Add(wait)); err != nil {
			return nil, err
		}
	}
}

// Accept returns the next connection that is within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			counted := &countedConn{Conn: c, listener: l, release: sync.OnceFunc(func() { l.open.Add(-1) })}
			if l.newPipeline != nil {
				counted.pipeline = l.newPipeline(counted)
			}
			return counted, nil
		}
		l.open.Add(-1)
		l.refused() // before the close, so that the count includes every refusal that a client has seen
		_ = c.Close()
	}
}

// countedConn leaves the count of open connections when it is first closed. During a shutdown, net/http closes connections
// that it considers idle although a request may just have been read from them. With countedConn, either the connection closes
// and the request is not handled, or the request is handled and the connection closes after its answer.
type countedConn struct {
	net.Conn
	listener *countingListener
	release  func()    // removes the connection from the count of open ones
	pipeline *pipeline // nil if its requests are served one after the other

	mu        sync.Mutex
	active    bool // a request is running
	pending   bool // the connection closes once the request has ended
	abandoned bool // the connection was closed while no request was running
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Read reads from the connection, or from its pipeline one request at a time.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.pipeline != nil {
		return c.pipeline.Read(p)
	}
	return c.Conn.Read(p)
}

// Close closes the connection. During a graceful shutdown, one with a running request closes once the request has ended.
func (c *countedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && c.listener.graceful.Load() {
		c.pending = true
		return nil
	}
	return c.end()
}

// end closes the connection. The caller holds the mutex.
func (c *countedConn) end() error {
	c.abandoned = c.abandoned || !c.active
	c.release()
	if c.pipeline != nil {
		c.pipeline.abort()
	}
	return c.Conn.Close()
}

// track follows the state that net/http reports for the connection.
func (c *countedConn) track(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.active = !c.abandoned
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.active = false
		if c.pending || s == http.StateClosed {
			_ = c.end()
		}
	}
}

// isAbandoned reports whether the connection was closed before its request started.
func (c *countedConn) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// dropAbandoned drops requests whose connection was closed before they started. Their callers know that the requests did not
// run and send them again, so the requests must not be forwarded.
func dropAbandoned(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*countedConn); ok && c.isAbandoned() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

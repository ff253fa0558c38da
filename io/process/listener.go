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
	backlogWait  = 2 * time.Millisecond  // without a new connection, after which the backlog counts as empty
	backlogLast  = 50 * time.Microsecond // the last wait, whose end is seen late by less
	backlogTries = 3                     // such waits, since a busy machine may report one late
	firstMost    = 500 * time.Millisecond
	backlogMost  = 200 * time.Millisecond
)

// countingListener closes connections over its limit at once: a client then learns that nothing was read, where one left
// in the backlog would wait for its own timeout.
type countingListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused func()
	last    atomic.Pointer[chan struct{}] // closed once the backlog is empty; nil before Quiesce
	closed  chan struct{}
	once    sync.Once
	fresh   sync.Map    // connections without a request so far
	orderly atomic.Bool // a shutdown closes connections, but none with a request in work

	line      func(c *countedConn) *pipeline // makes the pipeline of a connection; nil for none
	ahead     atomic.Int64                   // requests begun before their turn and not yet answered
	finishing atomic.Bool                    // no more are begun
}

// finish waits until every request that was begun before its turn is answered.
func (l *countingListener) finish(ctx context.Context) {
	l.finishing.Store(true)
	for ctx.Err() == nil && l.ahead.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// deadliner is what TCP listeners add to net.Listener.
type deadliner interface{ SetDeadline(t time.Time) error }

// Quiesce makes Accept take what waits in the backlog, closes the listener then, and returns. Closing the listener resets
// connections in the backlog, and a caller whose request was reset cannot know that it did not run.
func (l *countingListener) Quiesce() {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return
	}
	empty := make(chan struct{})
	if !l.last.CompareAndSwap(nil, &empty) {
		return
	}
	if d.SetDeadline(time.Now()) != nil {
		return
	}
	select {
	case <-empty:
	case <-l.closed:
	case <-time.After(backlogMost):
	}
}

// track follows the state of connections.
func (l *countingListener) track(c net.Conn, s http.ConnState) {
	if t, ok := c.(*countedConn); ok {
		t.track(s)
	}
	if s == http.StateNew {
		l.fresh.Store(c, true)
		return
	}
	l.fresh.Delete(c)
}

// settle waits until all connections have ended by themselves: net/http drops a request that it reads after the start of
// its own shutdown. Connections without a request so far are waited for no longer than firstMost.
func (l *countingListener) settle(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		fresh := int64(0)
		l.fresh.Range(func(any, any) bool {
			fresh++
			return true
		})
		open := l.open.Load()
		if open == 0 || open <= fresh && time.Since(began) > firstMost {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Close closes the listener.
func (l *countingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.last.Load() != nil && errors.Is(err, net.ErrClosed) {
		return nil // Quiesce closed it
	}
	return err
}

// accept takes the next connection; after Quiesce it waits for Close once the backlog is empty.
func (l *countingListener) accept() (net.Conn, error) {
	for tries := 0; ; {
		c, err := l.Listener.Accept()
		last := l.last.Load()
		if last == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if tries == backlogTries {
			_ = l.Listener.Close()
			close(*last)
			<-l.closed
			return nil, net.ErrClosed
		}
		tries++
		wait := backlogWait
		if tries == backlogTries {
			wait = backlogLast
		}
		if err := l.Listener.(deadliner).SetDeadline(time.Now().Add(wait)); err != nil {
			return nil, err
		}
	}
}

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			counted := &countedConn{Conn: c, listener: l, release: sync.OnceFunc(func() { l.open.Add(-1) })}
			if l.line != nil {
				counted.line = l.line(counted)
			}
			return counted, nil
		}
		l.open.Add(-1)
		l.refused() // before the close, so that the count is not behind what the client sees
		_ = c.Close()
	}
}

// countedConn gives its place back when it is closed for the first time. The shutdown of net/http closes connections that it
// takes for idle although a request may just have been read from them; here either the connection is closed and the request
// is not handled, or the request is handled and the connection is closed after its answer.
type countedConn struct {
	net.Conn
	listener *countingListener
	release  func()
	line     *pipeline // nil for a connection whose requests are served one after the other

	mu        sync.Mutex
	active    bool // a request is in work
	pending   bool // to be closed once it is not
	abandoned bool // closed while no request was in work
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Read reads from the connection, one request at a time where it has a pipeline.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.line != nil {
		return c.line.Read(p)
	}
	return c.Conn.Read(p)
}

// Close closes the connection; during an orderly shutdown one with a request in work stays open until that has ended.
func (c *countedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && c.listener.orderly.Load() {
		c.pending = true
		return nil
	}
	return c.end()
}

// end closes the connection; the mutex is held.
func (c *countedConn) end() error {
	c.abandoned = c.abandoned || !c.active
	c.release()
	if c.line != nil {
		c.line.end()
	}
	return c.Conn.Close()
}

// track follows the state that net/http gives the connection.
func (c *countedConn) track(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.active = !c.abandoned
	case http.StateIdle, http.StateClosed:
		c.active = false
		if c.pending || s == http.StateClosed {
			_ = c.end()
		}
	}
}

// gone reports whether the connection was closed before its request was taken up.
func (c *countedConn) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// unlessGone drops requests whose connection was closed before they were taken up: their callers know that nothing has run
// and send them again, so they must not be passed on.
func unlessGone(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*countedConn); ok && c.gone() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

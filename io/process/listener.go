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
	fresh   sync.Map // connections without a request so far
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
			return &countedConn{Conn: c, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.refused() // before the close, so that the count is not behind what the client sees
		_ = c.Close()
	}
}

// countedConn gives its place back when it is closed for the first time.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

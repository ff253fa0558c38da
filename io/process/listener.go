package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxUnusedWait is the longest wait of a shutdown for connections without a request so far.
const maxUnusedWait = 500 * time.Millisecond

// countingListener closes connections above its limit at once, so that the client learns that nothing was read. A connection
// left in the backlog would wait for the client's own timeout.
type countingListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	refused  func()                       // called before a connection above the limit is closed
	drain    atomic.Pointer[backlogDrain] // nil before DrainBacklog
	keepOut  func(l net.Listener) error   // keeps new handshakes out; nil stands for dropHandshakes
	closed   chan struct{}                // closed by Close
	once     sync.Once
	conns    sync.Map    // open connections
	graceful atomic.Bool // a shutdown closes connections, except those with a running request or with one that has been sent

	onClosed func() // called after the listener was closed

	unusedOver atomic.Bool // connections without a request so far are closed too
	readOver   atomic.Bool // no further request is read from any connection
	cut        atomic.Bool // connections close at once

	newPipeline func(c *countedConn) *pipeline // nil if connections may carry HTTP/2
	early       atomic.Int64                   // requests started before their turn and not yet answered
	stopping    atomic.Bool                    // no further request is started before its turn
}

// track follows the state of each connection.
func (l *countingListener) track(c net.Conn, s http.ConnState) {
	if t, ok := c.(*countedConn); ok {
		t.track(s)
	}
}

// finish waits until all connections have closed or ctx ends. Each one closes once its requests have been answered and no further
// one has been sent; those without a request so far have maxUnusedWait to send one. From lastRead on, no request is read.
func (l *countingListener) finish(ctx context.Context, lastRead time.Time) {
	l.graceful.Store(true)
	l.stopping.Store(true)
	l.interruptAll()
	unusedEnd := time.Now().Add(maxUnusedWait)
	for ctx.Err() == nil && l.open.Load() > 0 {
		now := time.Now()
		if !now.Before(unusedEnd) && l.unusedOver.CompareAndSwap(false, true) {
			l.interruptAll()
		}
		if !lastRead.IsZero() && !now.Before(lastRead) && l.readOver.CompareAndSwap(false, true) {
			l.interruptAll()
		}
		time.Sleep(time.Millisecond)
	}
}

// interruptAll makes each connection look whether it may still read.
func (l *countingListener) interruptAll() {
	l.conns.Range(func(c, _ any) bool {
		c.(*countedConn).interrupt()
		return true
	})
}

// cutAll closes all connections at once.
func (l *countingListener) cutAll() {
	l.cut.Store(true)
	l.conns.Range(func(c, _ any) bool {
		c.(*countedConn).cutNow()
		return true
	})
}

// Close closes the listener. It returns no error if DrainBacklog has already closed the listener.
func (l *countingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	l.onClosed()
	if l.drain.Load() != nil && errors.Is(err, net.ErrClosed) {
		return nil // DrainBacklog closed it
	}
	return err
}

// Accept returns the next connection that is within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			counted := &countedConn{Conn: c, listener: l}
			counted.release = sync.OnceFunc(func() {
				l.conns.Delete(counted)
				l.open.Add(-1)
			})
			l.conns.Store(counted, true)
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

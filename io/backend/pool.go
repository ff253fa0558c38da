package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the connections to backend servers.
const (
	dialTimeout    = time.Second // a full accept queue on loopback drops SYNs; the first resend comes after 1 s
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	bufferBytes    = 4 << 10 // for each direction of a connection
)

// DialError says that no connection to a backend server was made, so the request did not run.
type DialError struct{ Err error }

// Error gives the cause.
func (e *DialError) Error() string { return fmt.Sprintf("backend server: %v", e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// pool holds the HTTP/1.1 connections to one endpoint, bounded to the number that it stated. It does not use net/http's
// Transport, which resends a request on its own when a reused connection breaks and the request counts as replayable, and
// which hands each call to two further goroutines.
type pool struct {
	address string
	foreign func(*http.Request, *http.Response) bool
	tokens  chan struct{} // one for each connection in use

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
}

func (b *Backend) newPool(a Announcement) *pool {
	return &pool{address: a.Address.String(), foreign: b.foreign, tokens: make(chan struct{}, a.Connections)}
}

// acquire returns a connection that is reserved for one request. An error means that nothing was sent.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, &DialError{Err: ctx.Err()}
	}
	for c := p.pop(); c != nil; c = p.pop() {
		if c.quiet() {
			c.wire.wrote.Store(false)
			return c, nil
		}
		_ = c.wire.Close() // the backend server closed it
	}
	c, err := p.dial(ctx)
	if err != nil {
		<-p.tokens
		return nil, &DialError{Err: err}
	}
	return c, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c, err := newConn(n.(*net.TCPConn), p.foreign)
	if err != nil {
		_ = n.Close()
		return nil, err
	}
	return c, nil
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put gives a connection's token back, and keeps the connection for another request when that is allowed.
func (p *pool) put(c *conn, reuse bool) {
	p.mu.Lock()
	reuse = reuse && !p.closed
	if reuse {
		c.since = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !reuse {
		_ = c.wire.Close()
	}
	<-p.tokens
}

// sweep closes connections that were idle for long, all of them when the pool closes.
func (p *pool) sweep(now time.Time, closing bool) {
	p.mu.Lock()
	p.closed = p.closed || closing
	n := 0
	for n < len(p.idle) && (p.closed || now.Sub(p.idle[n].since) > idleTimeout) {
		n++
	}
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.wire.Close()
	}
}

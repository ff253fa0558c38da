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

// Limits of connections to backend servers.
const (
	dialTimeout    = time.Second // a full accept queue on loopback drops SYNs, and TCP sends the first one again after 1 s
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	bufferBytes    = 4 << 10 // buffer size for each direction of a connection
)

// DialError reports that no connection to a backend server became available, so the request did not run.
type DialError struct{ Err error }

// Error names the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to backend server: %v", e.Err) }

// Unwrap returns the cause, such as a dial error or the end of the request's context.
func (e *DialError) Unwrap() error { return e.Err }

// pool holds the HTTP/1.1 connections to one endpoint, at most as many as it announced. It does not use net/http's Transport,
// which resends a request that counts as replayable when a reused connection breaks, and which passes each call to two
// further goroutines.
type pool struct {
	address   string
	isForeign func(*http.Request, *http.Response) bool
	tokens    chan struct{} // holds one token for each connection in use

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
}

func (b *Backend) newPool(a Announcement) *pool {
	return &pool{address: a.Address.String(), isForeign: b.isForeign, tokens: make(chan struct{}, a.Connections)}
}

// acquire returns a connection for one request and waits while all are in use. An error means that nothing was sent.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, &DialError{Err: ctx.Err()}
	}
	if c := p.reuse(); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		<-p.tokens
		return nil, &DialError{Err: err}
	}
	return c, nil
}

// acquireIdle returns an idle connection for one request, or nil if there is none or all are in use.
func (p *pool) acquireIdle() *conn {
	select {
	case p.tokens <- struct{}{}:
	default:
		return nil
	}
	c := p.reuse()
	if c == nil {
		<-p.tokens
	}
	return c
}

// reuse returns an idle connection, or nil. The caller holds a token.
func (p *pool) reuse() *conn {
	for c := p.pop(); c != nil; c = p.pop() {
		if c.reusable() {
			c.reused = true
			c.tracked.written.Store(false)
			return c
		}
		_ = c.tracked.Close() // the backend server closed it, or sent bytes while it was idle
	}
	return nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c, err := newConn(n.(*net.TCPConn), p.isForeign)
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

// put returns a connection's token, and with reuse keeps the connection for another request unless the pool is closed.
func (p *pool) put(c *conn, reuse bool) {
	p.mu.Lock()
	reuse = reuse && !p.closed
	if reuse {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !reuse {
		_ = c.tracked.Close()
	}
	<-p.tokens
}

// sweep closes connections that were idle for longer than idleTimeout. With closing it closes the pool and all idle connections.
func (p *pool) sweep(now time.Time, closing bool) {
	p.mu.Lock()
	p.closed = p.closed || closing
	n := 0
	for n < len(p.idle) && (p.closed || now.Sub(p.idle[n].idleSince) > idleTimeout) {
		n++
	}
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.tracked.Close()
	}
}

package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the connections to backend servers.
const (
	dialTimeout    = time.Second // a full accept queue on loopback drops SYNs; the first resend comes after 1 s
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// DialError says that no connection to a backend server was made, so the request did not run.
type DialError struct{ Err error }

// Error gives the cause.
func (e *DialError) Error() string { return fmt.Sprintf("backend server: %v", e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// pool holds the HTTP/1.1 connections to one endpoint, bounded to the number that it stated. It uses single connections of
// net/http (http.ClientConn) in place of its Transport's pool, because the Transport resends a request on its own when a
// reused connection breaks and the request counts as replayable; a single connection never does.
type pool struct {
	address   string
	transport *http.Transport
	tokens    chan struct{} // one for each connection in use

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
}

// conn is one connection of a pool; the pool's mutex guards used and since.
type conn struct {
	*http.ClientConn
	wire  *wire
	used  bool // holds a token
	since time.Time
}

// wire notes writes, by which a request that broke is proven not to have been sent.
type wire struct {
	net.Conn
	wrote atomic.Bool
}

// Write notes that bytes may leave before it writes them.
func (w *wire) Write(b []byte) (int, error) {
	w.wrote.Store(true)
	return w.Conn.Write(b)
}

// wireKey is the context key under which a dial leaves its wire.
type wireKey struct{}

func newPool(a Announcement) *pool {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	d := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		w := &wire{Conn: c}
		if at, ok := ctx.Value(wireKey{}).(**wire); ok {
			*at = w
		}
		return w, nil
	}
	return &pool{
		address: a.Address.String(),
		tokens:  make(chan struct{}, a.Connections),
		transport: &http.Transport{
			Protocols: &protocols, DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// acquire returns a connection that is reserved for one request. An error means that nothing was sent.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, &DialError{Err: ctx.Err()}
	}
	for c := p.pop(); c != nil; c = p.pop() {
		if c.Reserve() != nil {
			continue // the backend server closed it
		}
		p.mu.Lock()
		c.used = true
		p.mu.Unlock()
		c.wire.wrote.Store(false)
		return c, nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		<-p.tokens
		return nil, &DialError{Err: err}
	}
	return c, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	c := &conn{used: true}
	one, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &c.wire), "http", p.address)
	if err != nil {
		return nil, err
	}
	c.ClientConn = one
	if err := one.Reserve(); err != nil {
		_ = one.Close()
		return nil, err
	}
	one.SetStateHook(func(*http.ClientConn) { p.settle(c) })
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

// settle gives a connection's token back once it is closed or ready for another request. It is called on each change of the
// connection's state and does nothing when there is nothing to do.
func (p *pool) settle(c *conn) {
	dead := c.Err() != nil
	ready := !dead && c.Available() > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	if dead {
		p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	}
	if !c.used || !(dead || ready) {
		return
	}
	c.used = false
	if ready && !p.closed {
		c.since = time.Now()
		p.idle = append(p.idle, c)
	}
	<-p.tokens
	if ready && p.closed {
		go func() { _ = c.Close() }() // Close calls settle
	}
}

// drop closes a connection whose request did not end whole.
func (p *pool) drop(c *conn) {
	_ = c.Close()
	p.settle(c)
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
		_ = c.Close()
	}
}

package demo

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	cutPoll     = 10 * time.Millisecond // how often a dial into a partition looks whether it healed
	dialTimeout = 2 * time.Second
)

// HealedError reports a connection that lost data in a partition which has healed.
type HealedError struct{}

// Error says why the connection ended.
func (*HealedError) Error() string { return "the connection lost data in a partition" }

// cuts knows which places are on the far side of a silent partition.
type cuts struct {
	mu     sync.Mutex
	far    map[int]bool
	places map[string]int // by peer address
}

func (c *cuts) place(i int, a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places == nil {
		c.places = map[string]int{}
	}
	c.places[a.String()] = i
}

func (c *cuts) set(places []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.far = map[int]bool{}
	for _, p := range places {
		c.far[p] = true
	}
}

// between reports whether the partition separates a place from the place at address.
func (c *cuts) between(i int, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.places[address]
	return ok && c.far[i] != c.far[j]
}

// dialer returns the function by which the node at a place opens connections to other nodes.
func (c *cuts) dialer(i int) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		cut := func() bool { return c.between(i, address) }
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		for cut() {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(cutPoll):
			}
		}
		inner, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: inner, cut: cut}, nil
	}
}

// cutConn is a connection whose data vanishes in both directions during a partition.
type cutConn struct {
	net.Conn
	cut  func() bool
	lost atomic.Bool // a byte vanished, so the stream cannot go on
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if c.cut() {
			c.lost.Store(true)
		}
		if !c.lost.Load() || err != nil {
			return n, err
		}
		if !c.cut() {
			_ = c.Close()
			return 0, &HealedError{}
		}
	}
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut() {
		c.lost.Store(true)
		return len(p), nil
	}
	if c.lost.Load() {
		_ = c.Close()
		return 0, &HealedError{}
	}
	return c.Conn.Write(p)
}

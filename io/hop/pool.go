package hop

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"godwitspindle/core/outcome"
)

// busyStreams is the number of streams on a connection at which another connection is opened in the background.
const busyStreams = 16

// defaultStreamLimit is net/http's limit on a connection's streams until the peer has announced another limit. A connection that
// takes no further stream is full if it has at least this many streams; if it has fewer, the peer has sent GOAWAY.
const defaultStreamLimit = 100

// peer holds the connections to one node; the client's mutex guards it.
type peer struct {
	conns    []*http.ClientConn
	dial     *dial
	active   int // calls that wait for a connection or for response headers
	lastUsed time.Time
}

// dial is an attempt to open a connection, shared by all calls that wait for it.
type dial struct {
	done chan struct{}
	conn *http.ClientConn
	err  error
}

// acquire returns a connection to the peer and counts the call as active until release.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort, call string) (*http.ClientConn, *outcome.Failure) {
	c.mu.Lock()
	p, f := c.peer(address, call)
	if f != nil {
		c.mu.Unlock()
		return nil, f
	}
	conn := p.leastLoaded()
	if len(p.conns) < c.connections && (conn == nil || conn.InFlight() >= busyStreams) {
		c.open(address, p)
	}
	d := p.dial
	p.active++
	p.lastUsed = c.now()
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, f = awaitDial(ctx, d, call)
	if f != nil {
		c.release(address)
	}
	return conn, f
}

func awaitDial(ctx context.Context, d *dial, call string) (*http.ClientConn, *outcome.Failure) {
	if d == nil {
		return nil, failure(outcome.Refused, outcome.NotRun, call, "all streams to the peer are in use", nil)
	}
	select {
	case <-d.done:
	case <-ctx.Done():
		f := classify(ctx, call, ctx.Err())
		f.Kind = outcome.NotRun // nothing was sent
		return nil, f
	}
	if d.err != nil {
		return nil, failure(outcome.Unreachable, outcome.NotRun, call, "no connection to the peer could be opened", d.err)
	}
	return d.conn, nil
}

// peer returns the entry for an address and adds it if missing. At the limit it evicts the least recently used idle peer.
func (c *Client) peer(address netip.AddrPort, call string) (*peer, *outcome.Failure) {
	if c.closed {
		return nil, failure(outcome.Draining, outcome.NotRun, call, "the node is stopping", nil)
	}
	if p := c.peers[address]; p != nil {
		p.prune()
		return p, nil
	}
	if len(c.peers) >= c.maxPeers && !c.evict() {
		return nil, failure(outcome.Refused, outcome.NotRun, call, "the limit on connected peers is reached and none is idle", nil)
	}
	p := &peer{}
	c.peers[address] = p
	return p, nil
}

func (c *Client) evict() bool {
	var victim netip.AddrPort
	var oldest *peer
	for a, p := range c.peers {
		if p.idle() && (oldest == nil || p.lastUsed.Before(oldest.lastUsed)) {
			victim, oldest = a, p
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	delete(c.peers, victim)
	c.evicted.Add(1)
	return true
}

// open starts a dial unless one is running. The dial continues when the call that started it ends, since others may wait for it.
func (c *Client) open(address netip.AddrPort, p *peer) {
	if p.dial != nil {
		return
	}
	d := &dial{done: make(chan struct{})}
	p.dial = d
	c.dials.Go(func() {
		ctx, cancel := context.WithTimeout(c.dialing, c.dialTimeout)
		defer cancel()
		d.conn, d.err = c.transport.NewClientConn(ctx, c.scheme, address.String())
		c.mu.Lock()
		defer c.mu.Unlock()
		defer close(d.done)
		p.dial = nil
		if d.err != nil {
			return
		}
		c.dialed.Add(1)
		if c.closed || c.peers[address] != p {
			_ = d.conn.Close()
			return
		}
		p.conns = append(p.conns, d.conn)
	})
}

func (c *Client) release(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		p.active--
		p.lastUsed = c.now()
	}
}

// leastLoaded returns the connection with the fewest streams among those that take another stream, or nil if none does.
func (p *peer) leastLoaded() *http.ClientConn {
	var best *http.ClientConn
	fewest := 0
	for _, c := range p.conns {
		if c.Available() == 0 {
			continue
		}
		if n := c.InFlight(); best == nil || n < fewest {
			best, fewest = c, n
		}
	}
	return best
}

// prune removes connections that are closed or whose peer has sent GOAWAY, and keeps full ones. net/http closes a connection
// after GOAWAY once its last stream has ended.
func (p *peer) prune() {
	kept := p.conns[:0]
	for _, c := range p.conns {
		if c.Err() == nil && (c.Available() > 0 || c.InFlight() >= defaultStreamLimit) {
			kept = append(kept, c)
		}
	}
	clear(p.conns[len(kept):])
	p.conns = kept
}

func (p *peer) idle() bool {
	if p.active > 0 || p.dial != nil {
		return false
	}
	for _, c := range p.conns {
		if c.InFlight() > 0 {
			return false
		}
	}
	return true
}

func (p *peer) close() {
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

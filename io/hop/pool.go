package hop

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"godwitspindle/core/outcome"
)

// busyStreams is the number of streams on a connection from which a further connection is opened in the background.
const busyStreams = 16

// assumedStreams is net/http's limit on a connection's streams until the peer has stated its own. A connection without
// room but with at least that many streams is full; with fewer, the peer has sent GOAWAY.
const assumedStreams = 100

// peer is one node with its connections; the client's mutex guards it.
type peer struct {
	conns  []*http.ClientConn
	dial   *dial
	active int // calls that wait for a connection or for the head of an answer
	used   time.Time
}

// dial is one attempt at a new connection, shared by the calls that wait for it.
type dial struct {
	done chan struct{}
	conn *http.ClientConn
	err  error
}

// acquire returns a connection to the peer and counts the call as active; release ends that.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort, call string) (*http.ClientConn, *outcome.Failure) {
	c.mu.Lock()
	p, f := c.peer(address, call)
	if f != nil {
		c.mu.Unlock()
		return nil, f
	}
	conn := p.best()
	if len(p.conns) < c.connections && (conn == nil || conn.InFlight() >= busyStreams) {
		c.open(address, p)
	}
	d := p.dial
	p.active++
	p.used = c.now()
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, f = wait(ctx, d, call)
	if f != nil {
		c.release(address)
	}
	return conn, f
}

func wait(ctx context.Context, d *dial, call string) (*http.ClientConn, *outcome.Failure) {
	if d == nil {
		return nil, failure(outcome.Refused, outcome.NotRun, call, "all streams to the peer are in use", nil)
	}
	select {
	case <-d.done:
	case <-ctx.Done():
		f := classify(ctx, call, ctx.Err())
		f.Kind = outcome.NotRun // no connection was made
		return nil, f
	}
	if d.err != nil {
		return nil, failure(outcome.Unreachable, outcome.NotRun, call, "no connection to the peer could be made", d.err)
	}
	return d.conn, nil
}

// peer finds or adds a peer; when there are too many, it closes the idle one that was used least recently.
func (c *Client) peer(address netip.AddrPort, call string) (*peer, *outcome.Failure) {
	if c.closed {
		return nil, failure(outcome.Draining, outcome.NotRun, call, "the node is stopping", nil)
	}
	if p := c.peers[address]; p != nil {
		p.prune()
		return p, nil
	}
	if len(c.peers) >= c.limit && !c.evict() {
		return nil, failure(outcome.Refused, outcome.NotRun, call, "connections to too many peers are in use", nil)
	}
	p := &peer{}
	c.peers[address] = p
	return p, nil
}

func (c *Client) evict() bool {
	var victim netip.AddrPort
	var oldest *peer
	for a, p := range c.peers {
		if p.idle() && (oldest == nil || p.used.Before(oldest.used)) {
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

// open starts a dial unless one is running. The dial outlives the call that started it, since others may wait for it.
func (c *Client) open(address netip.AddrPort, p *peer) {
	if p.dial != nil {
		return
	}
	d := &dial{done: make(chan struct{})}
	p.dial = d
	c.dials.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.dialTimeout)
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
		p.used = c.now()
	}
}

// best returns the open connection with the fewest streams, or nil.
func (p *peer) best() *http.ClientConn {
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

// prune forgets connections that closed or take no further streams; net/http closes the latter after their last stream.
func (p *peer) prune() {
	kept := p.conns[:0]
	for _, c := range p.conns {
		if c.Err() == nil && (c.Available() > 0 || c.InFlight() >= assumedStreams) {
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

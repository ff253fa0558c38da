package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/outcome"
)

// Bounds of the client.
const (
	defaultConnections = 2  // to each peer
	defaultPeers       = 64 // with 2 connections each, a node stays within 32 MB
	defaultDial        = time.Second
	idleTimeout        = 60 * time.Second
	pingInterval       = 2 * time.Second // finds a peer behind a silent partition
	pingTimeout        = 2 * time.Second
	maxHeaderBytes     = 64 << 10
	maxProblemBytes    = 4 << 10
	maxStreams         = 1000
	streamBufferBytes  = 64 << 10
	peerBufferBytes    = 1 << 20
)

// Do carries one call to an endpoint. An error is an *outcome.Failure. The request's headers must be clean of Mesh-* and of
// headers that concern one connection.
type Do func(ctx context.Context, m Meta, r *http.Request) (*http.Response, error)

// Option configures a Client.
type Option func(*Client)

// WithKey sets the key shared by all nodes.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithDialTLS makes the client use HTTP/2 over TLS connections that dial opens, as process.TLS offers it; dial must offer h2.
func WithDialTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dialTLS = dial }
}

// WithConnections bounds the connections to each peer.
func WithConnections(n int) Option { return func(c *Client) { c.connections = n } }

// WithPeers bounds the peers with open connections.
func WithPeers(n int) Option { return func(c *Client) { c.limit = n } }

// WithDialTimeout bounds the time for a new connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WithCrossed sets a function called for each answer that is dropped because it names another call.
func WithCrossed(f func()) Option { return func(c *Client) { c.crossed = f } }

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// Client sends calls to peers over a bounded pool of HTTP/2 connections.
type Client struct {
	key         string
	dialTLS     func(ctx context.Context, network, address string) (net.Conn, error) // nil for cleartext
	scheme      string
	connections int
	limit       int
	dialTimeout time.Duration
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	now         func() time.Time
	transport   *http.Transport
	crossed     func()

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
	dials  sync.WaitGroup

	dialed, evicted, mismatched, refused, reset atomic.Uint64
}

// Stats counts events of a client since its start.
type Stats struct {
	Peers      int
	Dialed     uint64 // connections opened
	Evicted    uint64 // idle peers closed for others
	Mismatched uint64 // answers dropped because they named another call
	Refused    uint64 // calls proven not to have run
	Reset      uint64 // calls that may have run and got no answer
}

// New returns a client; Close ends its connections.
func New(opts ...Option) *Client {
	c := &Client{
		scheme: "http", connections: defaultConnections, limit: defaultPeers, dialTimeout: defaultDial, now: time.Now,
		peers: map[netip.AddrPort]*peer{}, crossed: func() {},
	}
	for _, o := range opts {
		o(c)
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(c.dialTLS == nil)
	protocols.SetHTTP2(c.dialTLS != nil)
	if c.dialTLS != nil {
		c.scheme = "https"
	}
	c.transport = &http.Transport{
		Protocols:              &protocols,
		DialTLSContext:         c.dialTLS,
		DialContext:            c.dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerConnection: peerBufferBytes,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			SendPingTimeout:               pingInterval,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              pingTimeout,
		},
	}
	return c
}

// Call sends a request to the node at address and returns its streamed answer. It never sends a request twice. An error is an
// *outcome.Failure, of kind NotRun only when the peer provably did not process the request.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, m Meta, r *http.Request) (*http.Response, error) {
	if m.Remaining < time.Millisecond {
		return nil, c.count(failure(outcome.Late, outcome.NotRun, m.Call, "no time is left", nil))
	}
	conn, f := c.acquire(ctx, address, m.Call)
	if f != nil {
		return nil, c.count(f)
	}
	defer c.release(address)
	p, err := conn.RoundTrip(c.request(ctx, address, m, r))
	if err != nil {
		return nil, c.count(classify(ctx, m.Call, err))
	}
	if got := p.Header[headerCall]; len(got) != 1 || got[0] != m.Call {
		_ = p.Body.Close()
		c.mismatched.Add(1)
		c.crossed()
		return nil, c.count(failure(outcome.Reset, outcome.Unknown, m.Call, "the answer named another call", nil))
	}
	if p.Header.Get(outcome.HeaderOutcome) != "" {
		return nil, c.count(c.refusal(p, m.Call))
	}
	took, noted := p.Header[headerTook]
	load, loaded := p.Header[headerLoad]
	Strip(p.Header)
	if noted {
		p.Header[headerTook] = took
	}
	if loaded {
		p.Header[headerLoad] = load
	}
	return p, nil
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	n := len(c.peers)
	c.mu.Unlock()
	return Stats{
		Peers: n, Dialed: c.dialed.Load(), Evicted: c.evicted.Load(), Mismatched: c.mismatched.Load(),
		Refused: c.refused.Load(), Reset: c.reset.Load(),
	}
}

// Close ends all connections; calls in flight fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	for a, p := range c.peers {
		p.close()
		delete(c.peers, a)
	}
	c.mu.Unlock()
	c.dials.Wait()
	return nil
}

func (c *Client) request(ctx context.Context, address netip.AddrPort, m Meta, r *http.Request) *http.Request {
	h := make(http.Header, len(r.Header)+3)
	for k, v := range r.Header {
		h[k] = v
	}
	m.Encode(h)
	if c.key != "" {
		h[headerKey] = []string{c.key}
	}
	out := Rebuild(ctx, r, c.scheme, address.String())
	out.Header = h
	return out
}

// refusal reads the failure that the peer reported.
func (c *Client) refusal(p *http.Response, call string) *outcome.Failure {
	body, _ := io.ReadAll(io.LimitReader(p.Body, maxProblemBytes))
	_ = p.Body.Close()
	f, _ := outcome.Parse(p.StatusCode, p.Header, body)
	f.Call = call
	return f
}

func (c *Client) count(f *outcome.Failure) *outcome.Failure {
	if f.Kind == outcome.NotRun {
		c.refused.Add(1)
		return f
	}
	c.reset.Add(1)
	return f
}

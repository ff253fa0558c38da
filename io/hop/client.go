package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
)

// Limits of the client.
const (
	defaultConnections = 2  // connections to each peer
	defaultPeers       = 64 // peers with open connections; with 2 connections each, a node stays within 32 MB of memory
	defaultDialTimeout = time.Second
	idleTimeout        = 60 * time.Second
	pingInterval       = 2 * time.Second // idle time before a ping, which detects a partition that leaves the connection open
	pingTimeout        = 2 * time.Second
	maxHeaderBytes     = 64 << 10
	maxProblemBytes    = 4 << 10
	maxStreams         = 1000
	streamBufferBytes  = 64 << 10
	peerBufferBytes    = 1 << 20
)

// Do sends one call to an endpoint. Its error is an *outcome.Failure. The request must have no Mesh-* and no hop-by-hop
// headers.
type Do func(ctx context.Context, m Meta, r *http.Request) (*http.Response, error)

// Option replaces a default of the Client that New returns.
type Option func(*Client)

// WithKey sets the shared key that all nodes send with each call.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithDialTLS makes the client use HTTP/2 over TLS, on connections that dial opens. dial must negotiate h2, as the
// dial function of process.TLS does.
func WithDialTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dialTLS = dial }
}

// WithConnections limits the connections to each peer.
func WithConnections(n int) Option { return func(c *Client) { c.connections = n } }

// WithPeers limits the number of peers with open connections.
func WithPeers(n int) Option { return func(c *Client) { c.maxPeers = n } }

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WithMismatch sets a function that is called for each answer that is dropped because it does not carry the call's id.
func WithMismatch(f func()) Option { return func(c *Client) { c.onMismatch = f } }

// WithDial replaces the function that opens cleartext connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// WithStop sets the rule of a planned stop, which each call is asked for once it has a connection: a connection may take the dial
// timeout to open, and the notice may end in that time.
func WithStop(decide func(now time.Time, w shutdown.Work) shutdown.Decision) Option {
	return func(c *Client) { c.stopRule = decide }
}

// WithNow sets the clock that dates the last use of each peer, by which idle peers are evicted; the default is time.Now.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// Client sends calls to peers over a bounded pool of HTTP/2 connections.
type Client struct {
	key         string
	dialTLS     func(ctx context.Context, network, address string) (net.Conn, error) // nil for cleartext
	scheme      string
	connections int
	maxPeers    int
	dialTimeout time.Duration
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	now         func() time.Time
	transport   *http.Transport
	onMismatch  func()
	stopRule    func(time.Time, shutdown.Work) shutdown.Decision

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
	dials  sync.WaitGroup

	dialing     context.Context // context of all dials; ended by Close
	cancelDials context.CancelFunc

	dialed, evicted, mismatched, refused, reset atomic.Uint64
}

// Stats holds a client's number of peers and its counters since its start.
type Stats struct {
	Peers      int
	Dialed     uint64 // connections opened
	Evicted    uint64 // idle peers closed to make room for others
	Mismatched uint64 // answers dropped because they did not carry the call's id
	Refused    uint64 // calls that failed and provably did not run
	Reset      uint64 // calls that failed and ran or may have run
}

// New returns a Client; Close closes its connections.
func New(opts ...Option) *Client {
	c := &Client{
		scheme: "http", connections: defaultConnections, maxPeers: defaultPeers, dialTimeout: defaultDialTimeout, now: time.Now,
		peers: map[netip.AddrPort]*peer{}, onMismatch: func() {},
		stopRule: func(time.Time, shutdown.Work) shutdown.Decision { return shutdown.Decision{Allowed: true} },
	}
	for _, o := range opts {
		o(c)
	}
	c.dialing, c.cancelDials = context.WithCancel(context.Background())
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
// *outcome.Failure, of kind NotRun only when the request provably did not run.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, m Meta, r *http.Request) (*http.Response, error) {
	if m.Remaining < time.Millisecond {
		return nil, c.countFailure(failure(outcome.DeadlineExceeded, outcome.NotRun, m.Call, "less than 1 ms is left before the deadline", nil))
	}
	conn, f := c.acquire(ctx, address, m.Call)
	if f != nil {
		return nil, c.countFailure(f)
	}
	defer c.release(address)
	if f := c.stopRefusal(ctx, m); f != nil {
		return nil, c.countFailure(f)
	}
	p, err := conn.RoundTrip(c.request(ctx, address, m, r))
	if err != nil {
		return nil, c.countFailure(classify(ctx, m.Call, err))
	}
	if got := p.Header[headerCall]; len(got) != 1 || got[0] != m.Call {
		_ = p.Body.Close()
		c.mismatched.Add(1)
		c.onMismatch()
		return nil, c.countFailure(failure(outcome.Reset, outcome.Unknown, m.Call, "the peer's answer lacks the id of this call", nil))
	}
	if !isValid(p) {
		_ = p.Body.Close()
		return nil, c.countFailure(failure(outcome.Reset, outcome.Unknown, m.Call, "the peer's answer is not valid", nil))
	}
	if p.Header.Get(outcome.HeaderOutcome) != "" {
		return nil, c.countFailure(c.readFailure(p, m.Call))
	}
	stripAllBut(p.Header, answerHeaders)
	return p, nil
}

// isValid reports whether an answer has a status of three digits and at most one length, a plain decimal. net/http accepts others over
// HTTP/2, where they do not change the framing; an HTTP/1.1 caller of this node would get them.
func isValid(p *http.Response) bool {
	if p.StatusCode < 100 || p.StatusCode > 599 || !strings.HasPrefix(p.Status, strconv.Itoa(p.StatusCode)+" ") {
		return false
	}
	lengths := p.Header["Content-Length"]
	if len(lengths) == 0 {
		return true
	}
	_, err := strconv.ParseUint(lengths[0], 10, 63) // accepts digits only
	return len(lengths) == 1 && err == nil
}

// Stats returns the current number of peers and the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	n := len(c.peers)
	c.mu.Unlock()
	return Stats{
		Peers: n, Dialed: c.dialed.Load(), Evicted: c.evicted.Load(), Mismatched: c.mismatched.Load(),
		Refused: c.refused.Load(), Reset: c.reset.Load(),
	}
}

// Close closes all connections and ends dials in progress; calls in flight fail.
func (c *Client) Close() error {
	c.cancelDials()
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

// stopRefusal returns a failure if a call may not begin because of a planned stop.
func (c *Client) stopRefusal(ctx context.Context, m Meta) *outcome.Failure {
	deadline, _ := ctx.Deadline()
	if c.stopRule(time.Now(), shutdown.Work{Deadline: deadline, Expected: max(m.Objective, 0)}).Allowed {
		return nil
	}
	return failure(outcome.Draining, outcome.NotRun, m.Call, "the node is stopping and may not finish the call in time", nil)
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

// readFailure reads the failure that the peer reported in its answer.
func (c *Client) readFailure(p *http.Response, call string) *outcome.Failure {
	body, _ := io.ReadAll(io.LimitReader(p.Body, maxProblemBytes))
	_ = p.Body.Close()
	f, _ := outcome.Parse(p.StatusCode, p.Header, body)
	f.Call = call
	return f
}

func (c *Client) countFailure(f *outcome.Failure) *outcome.Failure {
	if f.Kind == outcome.NotRun {
		c.refused.Add(1)
		return f
	}
	c.reset.Add(1)
	return f
}

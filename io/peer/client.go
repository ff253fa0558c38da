package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/io/rpc/rpcconnect"
)

const (
	dialTimeout      = 2 * time.Second
	pingInterval     = 3 * time.Second // idle time before a ping, which detects a silent partition
	pingTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	compressMinBytes = 1 << 10
)

// Limits of messages. A peer that sends more is faulty, or another process has its address; a node must not run out of memory for it,
// also while it waits for several responses.
const (
	maxStateBytes    = 256 << 20 // request with a whole log snapshot, which holds up to 128 MiB of claims
	maxProposalBytes = 16 << 20  // request with a whole content
	maxRequestBytes  = 4 << 20   // any other request
	maxPackedBytes   = 12 << 20  // response to a poll or report, with a packed snapshot; a node has at most two of these in flight
	maxResponseBytes = 3 << 20   // any other response, such as the results of maxClaimBatch claims with their answers
	maxSnapshotBytes = 32 << 20  // snapshot, unpacked
	maxHeaderBytes   = 64 << 10  // fields of a response
	maxErrorBytes    = 64 << 10  // response with an error
)

// Clients creates and caches one RPC client per peer address; all of them share a transport.
type Clients struct {
	key       string
	transport *http.Transport
	scheme    string
	observe   Observe
	mu        sync.Mutex
	byAddress map[netip.AddrPort]rpcconnect.MeshClient
}

// Observe receives numbers of bytes that a call sent and received: compressed bodies and an estimate of headers. It is called up
// to twice for each call: when the response headers arrive or the call fails, and when the response body is closed.
type Observe func(method string, sent, received int)

// ClientsOption replaces a default of the Clients that NewClients returns.
type ClientsOption func(*Clients)

// WithClientKey sets the shared key that each call carries; empty for none.
func WithClientKey(key string) ClientsOption { return func(c *Clients) { c.key = key } }

// WithClientDialTLS makes calls use TLS connections that dial opens, as the dial function of process.TLS does; the default
// is cleartext HTTP/2.
func WithClientDialTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientsOption {
	return func(c *Clients) {
		c.scheme = "https"
		c.transport.DialTLSContext = dial
		c.transport.Protocols.SetHTTP2(true)
		c.transport.Protocols.SetUnencryptedHTTP2(false)
	}
}

// WithClientDial sets the function that opens cleartext connections; nil keeps the default.
func WithClientDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientsOption {
	return func(c *Clients) {
		if dial != nil {
			c.transport.DialContext = dial
		}
	}
}

// WithClientObserve sets the function that receives the byte counts of each call.
func WithClientObserve(f Observe) ClientsOption { return func(c *Clients) { c.observe = f } }

// NewClients returns Clients without connections; they are opened on first use.
func NewClients(opts ...ClientsOption) *Clients {
	c := &Clients{
		scheme:    "http",
		observe:   func(string, int, int) {},
		byAddress: map[netip.AddrPort]rpcconnect.MeshClient{},
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.transport = &http.Transport{
		DialContext:     dialer.DialContext,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// At returns the client for the peer at address, which it creates on first use.
func (c *Clients) At(address netip.AddrPort) rpcconnect.MeshClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.byAddress[address]
	if ok {
		return m
	}
	m = rpcconnect.NewMeshClient(
		&http.Client{Transport: &countingTransport{next: c.transport, observe: c.observe}},
		c.scheme+"://"+address.String(),
		connect.WithInterceptors(withKey(c.key)),
		connect.WithReadMaxBytes(maxPackedBytes),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	c.byAddress[address] = m
	return m
}

// Close closes idle connections; calls in progress continue.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

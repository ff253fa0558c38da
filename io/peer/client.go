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
	pingInterval     = 3 * time.Second // an idle connection is pinged, so that a silent partition is noticed
	pingTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxMessageBytes  = 256 << 20 // a log snapshot travels in one message, with up to 128 MiB of claims
	compressMinBytes = 1 << 10
)

// Clients holds one RPC client per peer address; all of them share a transport.
type Clients struct {
	key       string
	transport *http.Transport
	scheme    string
	observe   Observe
	mu        sync.Mutex
	byAddress map[netip.AddrPort]rpcconnect.MeshClient
}

// Observe is told the payload bytes of each finished call by method; sent and received count compressed bytes.
type Observe func(method string, sent, received int)

// ClientsOption configures Clients.
type ClientsOption func(*Clients)

// WithClientKey sets the shared key sent with each call.
func WithClientKey(key string) ClientsOption { return func(c *Clients) { c.key = key } }

// WithClientDialTLS opens TLS connections with dial, as process.TLS offers it; without one calls use cleartext HTTP/2.
func WithClientDialTLS(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientsOption {
	return func(c *Clients) {
		c.scheme = "https"
		c.transport.DialTLSContext = dial
		c.transport.Protocols.SetHTTP2(true)
		c.transport.Protocols.SetUnencryptedHTTP2(false)
	}
}

// WithClientDial replaces the function that opens connections; nil keeps the default.
func WithClientDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientsOption {
	return func(c *Clients) {
		if dial != nil {
			c.transport.DialContext = dial
		}
	}
}

// WithClientObserve sets the function that is told the bytes of each call.
func WithClientObserve(f Observe) ClientsOption { return func(c *Clients) { c.observe = f } }

// NewClients returns an empty set of clients.
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
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// At returns the client of the peer at address.
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
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	c.byAddress[address] = m
	return m
}

// Close drops idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

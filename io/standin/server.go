package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Defaults and times of a stand-in.
const (
	defaultSlots       = 12
	defaultConnections = 130
	renewPeriod        = 2 * time.Second
	retryPeriod        = 100 * time.Millisecond // after a failed announcement
	callTimeout        = time.Second            // for one announcement
	readHeaderTimeout  = 5 * time.Second
	maxKeys            = 100_000
)

// Option configures a Server.
type Option func(*Server)

// WithNode sets the backend listener of the node beside the server; without one it does not announce itself.
func WithNode(a netip.AddrPort) Option { return func(s *Server) { s.node = a } }

// WithEndpoint names the service and the endpoint.
func WithEndpoint(service, endpoint string) Option {
	return func(s *Server) { s.service, s.endpoint = service, endpoint }
}

// WithAddress sets the loopback address to listen on; port 0 picks one.
func WithAddress(a netip.AddrPort) Option { return func(s *Server) { s.address = a } }

// WithSlots sets the stated slots and connections.
func WithSlots(slots, connections int) Option {
	return func(s *Server) { s.slots, s.connections = slots, connections }
}

// WithLatency sets the time that each request takes.
func WithLatency(d time.Duration) Option { return func(s *Server) { s.latency = d } }

// WithShed makes the server answer 503 with Retry-After to requests above its slots.
func WithShed(after time.Duration) Option { return func(s *Server) { s.shed = after } }

// WithLoad replaces the reported load, for tests with misleading reports.
func WithLoad(f func(actual float64) float64) Option { return func(s *Server) { s.load = f } }

// WithRestart makes the server come back after a crash, as another incarnation on the same address.
func WithRestart(d time.Duration) Option { return func(s *Server) { s.restart = d } }

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(s *Server) { s.log = log } }

// AnnounceError says that the node did not take an announcement or a leave.
type AnnounceError struct {
	Status int // 0 without an answer
	Err    error
}

// Error gives status and cause.
func (e *AnnounceError) Error() string {
	return fmt.Sprintf("announce: status %d: %v", e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *AnnounceError) Unwrap() error { return e.Err }

// Server is one stand-in backend server.
type Server struct {
	node        netip.AddrPort
	service     string
	endpoint    string
	address     netip.AddrPort
	slots       int
	connections int
	latency     time.Duration
	shed        time.Duration
	load        func(float64) float64
	restart     time.Duration
	log         logr.Logger
	client      *http.Client

	running atomic.Int64
	peak    atomic.Int64
	served  atomic.Uint64
	crashes atomic.Uint64
	stalled chan struct{} // closed by Close, which ends stalled requests

	mu          sync.Mutex
	incarnation uint64
	server      *http.Server // nil while crashed
	conns       map[net.Conn]struct{}
	runs        map[string]int // by idempotency key
	left        bool
	closed      bool
	stop        context.CancelFunc
	done        sync.WaitGroup
}

// New starts a server, and its announcements if it has a node; Close ends both.
func New(opts ...Option) (*Server, error) {
	s := &Server{
		service: "standin", endpoint: "a", address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		slots: defaultSlots, connections: defaultConnections,
		load: func(actual float64) float64 { return actual }, log: logr.Discard(),
		client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConns: 1}},
		stalled: make(chan struct{}), conns: map[net.Conn]struct{}{}, runs: map[string]int{},
	}
	for _, o := range opts {
		o(s)
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	if s.node.IsValid() {
		s.done.Go(func() { s.renew(ctx) })
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.address }

// Runs returns how often a request with the idempotency key was run.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// MaxRuns returns the highest number of runs of any key, with that key.
func (s *Server) MaxRuns() (key string, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.runs {
		if n > runs {
			key, runs = k, n
		}
	}
	return key, runs
}

// Served returns how many requests were run.
func (s *Server) Served() uint64 { return s.served.Load() }

// Running returns how many requests run now.
func (s *Server) Running() int { return int(s.running.Load()) }

// Peak returns the highest number of requests that ran at the same time.
func (s *Server) Peak() int { return int(s.peak.Load()) }

// Crashes returns how often the server crashed.
func (s *Server) Crashes() uint64 { return s.crashes.Load() }

// Close ends the server at once; Leave before it for a graceful shutdown.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	server := s.server
	s.mu.Unlock()
	close(s.stalled)
	s.stop()
	var err error
	if server != nil {
		err = server.Close()
	}
	s.done.Wait()
	s.client.CloseIdleConnections()
	return err
}

// listen opens the listener under a new incarnation.
func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readHeaderTimeout, ConnState: s.track}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return l.Close()
	}
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	s.incarnation = rand.Uint64()>>1 + 1
	s.server = server
	s.done.Go(func() { _ = server.Serve(l) })
	return nil
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Crash ends the server as a dying process does: its listener and all connections close at once, with resets.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server == nil || s.closed {
		s.mu.Unlock()
		return
	}
	s.crashes.Add(1)
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	if s.restart > 0 {
		s.done.Go(s.comeBack)
	}
	s.mu.Unlock()
	_ = server.Close()
}

func (s *Server) comeBack() {
	select {
	case <-time.After(s.restart):
	case <-s.stalled:
		return
	}
	if err := s.listen(); err != nil {
		s.log.Error(err, "restart failed", "endpoint", s.endpoint)
	}
}

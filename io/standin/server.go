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

const (
	defaultSlots        = 12
	defaultConnections  = 130
	announcePeriod      = 2 * time.Second
	announceRetryPeriod = 100 * time.Millisecond // interval after a failed announcement, and while the server is crashed
	announceTimeout     = time.Second            // timeout of one announcement or leave
	readHeaderTimeout   = 5 * time.Second
	maxCountedKeys      = 100_000 // maximum number of idempotency keys whose runs are counted; one more resets all counts
)

// Option changes a default of New: 12 slots, 130 connections, a free loopback port, no node, no latency and no restart.
type Option func(*Server)

// WithNode sets the backend listener of the node on the same host; without it the server does not announce itself.
func WithNode(a netip.AddrPort) Option { return func(s *Server) { s.node = a } }

// WithEndpoint sets the names of the service and the endpoint that the server announces.
func WithEndpoint(service, endpoint string) Option {
	return func(s *Server) { s.service, s.endpoint = service, endpoint }
}

// WithAddress sets the loopback address to listen on; port 0 selects a free port.
func WithAddress(a netip.AddrPort) Option { return func(s *Server) { s.address = a } }

// WithSlots sets the maximum numbers of concurrent requests and connections that the server announces.
func WithSlots(slots, connections int) Option {
	return func(s *Server) { s.slots, s.connections = slots, connections }
}

// WithLatency sets the time that each request runs before its response.
func WithLatency(d time.Duration) Option { return func(s *Server) { s.latency = d } }

// WithLoadShedding makes the server refuse requests above its slots with 503 and the given Retry-After, in whole seconds and at
// least 1 s; a duration of 0 disables it.
func WithLoadShedding(delay time.Duration) Option {
	return func(s *Server) { s.retryAfter = delay }
}

// WithReportedLoad sets a function that maps the actual load to the announced one, for tests with misleading reports.
func WithReportedLoad(f func(actual float64) float64) Option {
	return func(s *Server) { s.reportedLoad = f }
}

// WithRestart makes the server restart the given time after a crash, on the same address with a new incarnation. The default, 0,
// is no restart.
func WithRestart(d time.Duration) Option { return func(s *Server) { s.restartDelay = d } }

// WithAnswerHeader adds a header to each answer, such as a statement of the server about itself.
func WithAnswerHeader(name, value string) Option {
	return func(s *Server) { s.answerHeader.Set(name, value) }
}

// WithLog sets the logger; without it nothing is logged.
func WithLog(log logr.Logger) Option { return func(s *Server) { s.log = log } }

// AnnounceError reports that the node did not accept an announcement or a leave.
type AnnounceError struct {
	Status int   // HTTP status; 0 if there was no response
	Err    error // reason why there was no response; nil if there was one
}

// Error names the status, and the reason why there was no response.
func (e *AnnounceError) Error() string {
	return fmt.Sprintf("announcement or leave not accepted: status %d: %v", e.Status, e.Err)
}

// Unwrap returns the reason why there was no response, or nil.
func (e *AnnounceError) Unwrap() error { return e.Err }

// Server is a fake backend server with one endpoint.
type Server struct {
	node         netip.AddrPort
	service      string
	endpoint     string
	address      netip.AddrPort
	slots        int
	connections  int
	latency      time.Duration
	retryAfter   time.Duration
	reportedLoad func(float64) float64
	restartDelay time.Duration
	answerHeader http.Header // added to each answer
	log          logr.Logger
	client       *http.Client

	running atomic.Int64
	peak    atomic.Int64
	served  atomic.Uint64
	crashes atomic.Uint64
	closing chan struct{} // closed by Close; ends stalled requests and a pending restart

	mu          sync.Mutex
	incarnation uint64
	server      *http.Server // nil while the server is crashed
	conns       map[net.Conn]struct{}
	runs        map[string]int // number of runs by idempotency key
	leaving     bool
	closed      bool
	stop        context.CancelFunc
	done        sync.WaitGroup
}

// New starts a server, and periodic announcements if WithNode is given; Close stops both.
func New(opts ...Option) (*Server, error) {
	s := &Server{
		service: "standin", endpoint: "a", address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		slots: defaultSlots, connections: defaultConnections,
		reportedLoad: func(actual float64) float64 { return actual }, log: logr.Discard(),
		client:       &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConns: 1}},
		answerHeader: http.Header{},
		closing:      make(chan struct{}), conns: map[net.Conn]struct{}{}, runs: map[string]int{},
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
		s.done.Go(func() { s.announceUntilLeave(ctx) })
	}
	return s, nil
}

// Address returns the address that the server listens on, with the port that was selected.
func (s *Server) Address() netip.AddrPort { return s.address }

// Runs returns how many requests with the idempotency key have run since the counts were last reset (see maxCountedKeys).
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// MaxRuns returns the key with the most runs and their number.
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

// Served returns how many requests have run, including crashed and stalled ones and those without a key.
func (s *Server) Served() uint64 { return s.served.Load() }

// Running returns how many requests are in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// Peak returns the highest number of concurrent requests so far, including refused ones.
func (s *Server) Peak() int { return int(s.peak.Load()) }

// Crashes returns how many times the server has crashed.
func (s *Server) Crashes() uint64 { return s.crashes.Load() }

// Close stops the server at once; call Leave first for a graceful shutdown.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	server := s.server
	s.mu.Unlock()
	close(s.closing)
	s.stop()
	var err error
	if server != nil {
		err = server.Close()
	}
	s.done.Wait()
	s.client.CloseIdleConnections()
	return err
}

// listen opens the listener and starts serving with a new incarnation.
func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return fmt.Errorf("start the stand-in backend server: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readHeaderTimeout, ConnState: s.trackConnection}
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

func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Crash stops the server as the death of its process would: the listener and all connections close at once, with TCP resets.
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
	if s.restartDelay > 0 {
		s.done.Go(s.restartAfterDelay)
	}
	s.mu.Unlock()
	_ = server.Close()
}

func (s *Server) restartAfterDelay() {
	select {
	case <-time.After(s.restartDelay):
	case <-s.closing:
		return
	}
	if err := s.listen(); err != nil {
		s.log.Error(err, "restart after a crash failed", "endpoint", s.endpoint)
	}
}

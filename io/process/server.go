package process

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// returnTime is the time in which handlers return whose connection was cut at the end of a shutdown.
const returnTime = 20 * time.Millisecond

// Limits holds the limits of one listener.
type Limits struct {
	Header      int           // most bytes of a request's header
	Body        int64         // most bytes of a request's body; negative for no limit
	Connections int           // most open connections; further ones are closed at once
	Streams     int           // most concurrent HTTP/2 streams on one connection
	HeaderTime  time.Duration // longest time to read a header
	ReadTime    time.Duration // longest time to read a whole request; 0 for no limit
	WriteTime   time.Duration // longest time to answer; 0 for no limit
	IdleTime    time.Duration // longest time between two requests on a connection
}

// DefaultLimits returns limits for a listener that serves small requests.
func DefaultLimits() Limits {
	return Limits{
		Header: 32 << 10, Body: 1 << 20, Connections: 256, Streams: 128,
		HeaderTime: 5 * time.Second, ReadTime: 30 * time.Second, IdleTime: 60 * time.Second,
	}
}

// ListenError reports that a listener could not be opened.
type ListenError struct {
	Name    string // name of the setting, such as "listen.peer"
	Address netip.AddrPort
	Err     error
}

// Error names the setting and the address.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: cannot listen on %s: %v", e.Name, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Server is an HTTP server on one listener with limits.
type Server struct {
	http     *http.Server
	listener *countingListener
	done     chan struct{}
	onCut    func()
	early    sync.WaitGroup // requests that run before their turn
}

type serverOptions struct {
	base        *http.Server
	name        string
	handler     http.Handler
	limits      Limits
	tls         *tls.Config
	h2c         bool
	log         logr.Logger
	refused     func()
	context     context.Context
	mayRunEarly func(r *http.Request) bool
	onClosed    func(connections int)
	onCut       func()
}

// ServerOption changes a default of NewServer.
type ServerOption func(*serverOptions)

// WithName sets the name of the listener in errors and logs: that of the setting, such as "listen.peer".
func WithName(name string) ServerOption { return func(o *serverOptions) { o.name = name } }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) ServerOption { return func(o *serverOptions) { o.limits = l } }

// WithTLS serves HTTP/1.1 and HTTP/2 over TLS; nil means cleartext.
func WithTLS(c *tls.Config) ServerOption { return func(o *serverOptions) { o.tls = c } }

// WithH2C also accepts HTTP/2 in cleartext.
func WithH2C() ServerOption { return func(o *serverOptions) { o.h2c = true } }

// WithServer uses base as the HTTP server. Limits of the listener that are not 0 replace those of base; the handler and the
// protocols of base are replaced.
func WithServer(base *http.Server) ServerOption { return func(o *serverOptions) { o.base = base } }

// WithLogger sets the logger for failed connections.
func WithLogger(l logr.Logger) ServerOption { return func(o *serverOptions) { o.log = l } }

// WithRefused sets a function that is called for each connection closed above the limit.
func WithRefused(f func()) ServerOption { return func(o *serverOptions) { o.refused = f } }

// WithPipelining starts pipelined requests before their turn, up to the first that f does not allow and at most
// maxEarlyRequests. An early request may run although its client sends it again. The option has no effect with TLS or H2C.
func WithPipelining(f func(r *http.Request) bool) ServerOption {
	return func(o *serverOptions) { o.mayRunEarly = f }
}

// WithContext sets the base context of all requests.
func WithContext(ctx context.Context) ServerOption { return func(o *serverOptions) { o.context = ctx } }

// WithShutdown sets the functions that are called in a shutdown: closed with the number of open connections once the listener no
// longer accepts connections, and cut before the requests that are still running are cut.
func WithShutdown(closed func(connections int), cut func()) ServerOption {
	return func(o *serverOptions) { o.onClosed, o.onCut = closed, cut }
}

// NewServer listens on address and serves handler until Shutdown or Close.
func NewServer(address netip.AddrPort, handler http.Handler, opts ...ServerOption) (*Server, error) {
	o := serverOptions{
		name: "listen", handler: handler, limits: DefaultLimits(), log: logr.Discard(), refused: func() {}, context: context.Background(),
		onClosed: func(int) {}, onCut: func() {},
	}
	for _, f := range opts {
		f(&o)
	}
	var config net.ListenConfig
	config.SetMultipathTCP(false) // a listener for multipath TCP, the default, refuses the filter of dropHandshakes
	inner, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &ListenError{Name: o.name, Address: address, Err: err}
	}
	s := &Server{
		http:     newHTTPServer(o),
		listener: &countingListener{Listener: inner, limit: int64(o.limits.Connections), refused: o.refused, closed: make(chan struct{})},
		onCut:    o.onCut,
		done:     make(chan struct{}),
	}
	s.listener.onClosed = sync.OnceFunc(func() { o.onClosed(s.Open()) })
	s.http.ConnState = s.listener.track
	if !s.mayServeHTTP2() {
		s.servePipelines(o)
		s.http.Handler = dropAbandoned(s.http.Handler)
		s.http.ConnContext = withConn
	}
	go func() {
		defer close(s.done)
		err := s.serve()
		if !errors.Is(err, http.ErrServerClosed) {
			o.log.Error(err, "listener stopped", "listener", o.name, "address", address)
		}
	}()
	return s, nil
}

// mayServeHTTP2 reports whether connections may carry HTTP/2, which tells clients itself which requests were not processed.
func (s *Server) mayServeHTTP2() bool {
	return s.http.Protocols.HTTP2() || s.http.Protocols.UnencryptedHTTP2()
}

// servePipelines makes the server pass requests to net/http one at a time, and start those that may run before their turn.
func (s *Server) servePipelines(o serverOptions) {
	handler := s.http.Handler
	if !s.http.DisableGeneralOptionsHandler {
		s.http.DisableGeneralOptionsHandler = true
		handler = answerOptions(handler)
	}
	run := func(e *earlyRequest) { s.early.Go(func() { e.run(handler) }) }
	s.listener.newPipeline = func(c *countedConn) *pipeline { return newPipeline(o.context, c, run, o.mayRunEarly) }
	s.http.Handler = serveInOrder(handler)
}

func newHTTPServer(o serverOptions) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(o.tls != nil)
	p.SetUnencryptedHTTP2(o.h2c && o.tls == nil)
	s, l := o.base, o.limits
	if s == nil {
		s = &http.Server{}
	}
	if s.HTTP2 == nil {
		s.HTTP2 = &http.HTTP2Config{SendPingTimeout: 15 * time.Second, PingTimeout: 5 * time.Second}
	}
	s.Handler, s.TLSConfig, s.Protocols = limitBody(l.Body, o.handler), o.tls, p
	s.HTTP2.MaxConcurrentStreams = cmp.Or(l.Streams, s.HTTP2.MaxConcurrentStreams)
	s.MaxHeaderBytes = cmp.Or(l.Header, s.MaxHeaderBytes)
	s.ReadHeaderTimeout = cmp.Or(l.HeaderTime, s.ReadHeaderTimeout)
	s.ReadTimeout = cmp.Or(l.ReadTime, s.ReadTimeout)
	s.WriteTimeout = cmp.Or(l.WriteTime, s.WriteTimeout)
	s.IdleTimeout = cmp.Or(l.IdleTime, s.IdleTimeout)
	s.ErrorLog = log.New(errorLogWriter{o.log, o.name}, "", 0)
	s.BaseContext = func(net.Listener) context.Context { return o.context }
	return s
}

func (s *Server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Address returns the address that the server listens on, with the actual port if port 0 was requested.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.listener.open.Load()) }

// Shutdown stops accepting connections and waits for requests in flight. From lastRead on, unless it is zero, no further request is
// read, and connections without a running one close. If ctx ends first, Shutdown cuts all connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context, lastRead time.Time) error {
	s.listener.DrainBacklog(ctx)
	if !s.mayServeHTTP2() {
		s.listener.finish(ctx, lastRead)
	}
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.onCut()
		s.listener.graceful.Store(false)
		_ = s.http.Close()
	}
	s.listener.cutAll()
	if !s.waitEnded(ctx) {
		err = cmp.Or(err, ctx.Err())
	}
	if err != nil {
		return fmt.Errorf("shutdown of %s: %w", s.Address(), err)
	}
	return nil
}

// waitEnded waits until the accept loop and the requests that run before their turn have ended, or until returnTime after the end of
// ctx, and reports whether they have.
func (s *Server) waitEnded(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-s.done
		s.early.Wait()
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	}
	select {
	case <-ended:
		return true
	case <-time.After(returnTime):
		return false
	}
}

// Close cuts all connections and waits until the accept loop and the requests that run before their turn have ended.
func (s *Server) Close() error {
	s.listener.graceful.Store(false)
	err := s.http.Close()
	s.listener.cutAll()
	<-s.done
	s.early.Wait()
	if err != nil {
		return fmt.Errorf("close of %s: %w", s.Address(), err)
	}
	return nil
}

// limitBody refuses a request whose declared length is above the limit and cuts a body that turns out to be too long. A
// negative limit means none.
func limitBody(limit int64, next http.Handler) http.Handler {
	if limit < 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			w.Header().Set("Content-Type", "application/problem+json")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			_, _ = fmt.Fprintf(w, `{"title":"body too large","status":413,"code":"oversize","detail":"at most %d bytes are accepted"}`+"\n", limit)
			return
		}
		r.Body = http.MaxBytesReader(innermost(w), r.Body, limit)
		next.ServeHTTP(w, r)
	})
}

// innermost returns the writer of net/http, which closes the connection behind a body that is too long.
func innermost(w http.ResponseWriter) http.ResponseWriter {
	for {
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = u.Unwrap()
	}
}

// errorLogWriter passes the messages of net/http to the structured log, at debug level because clients cause them.
type errorLogWriter struct {
	log  logr.Logger
	name string
}

// Write logs one message.
func (w errorLogWriter) Write(p []byte) (int, error) {
	w.log.V(1).Info("connection failed", "listener", w.name, "detail", string(p))
	return len(p), nil
}

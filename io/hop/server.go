package hop

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"time"

	"godwitspindle/core/outcome"
)

// Limits of the server.
const (
	defaultBodyBytes  = 16 << 20
	readHeaderTimeout = 5 * time.Second
	serverIdleTimeout = 2 * idleTimeout // longer than the client's, so that the client closes idle connections first
)

// ServerOption sets a required function of the Server that NewServer returns, or replaces a default.
type ServerOption func(*Server)

// WithServerKey sets the shared key that calls must carry; with an empty key all calls are accepted.
func WithServerKey(key string) ServerOption {
	return func(s *Server) { s.keyless, s.key = key == "", sha256.Sum256([]byte(key)) }
}

// WithDo sets the function that handles calls whose key and metadata are valid.
func WithDo(do Do) ServerOption { return func(s *Server) { s.do = do } }

// WithNext sets the handler for requests without a call id, which are not calls from another node.
func WithNext(next http.Handler) ServerOption { return func(s *Server) { s.next = next } }

// WithMaxBody limits request bodies to n bytes.
func WithMaxBody(n int64) ServerOption { return func(s *Server) { s.maxBody = n } }

// Server is the http.Handler for calls from other nodes on the peer listener.
type Server struct {
	key     [sha256.Size]byte
	keyless bool
	maxBody int64
	do      Do
	next    http.Handler

	withdraw func(calls []Withdrawn) int // nil without WithWithdraw
}

// NewServer returns a Server; WithDo is required.
func NewServer(opts ...ServerOption) *Server {
	s := &Server{keyless: true, maxBody: defaultBodyBytes, next: http.NotFoundHandler()}
	for _, o := range opts {
		o(s)
	}
	return s
}

// HTTPServer returns an http.Server for the peer listener: HTTP/1.1 and HTTP/2 in cleartext and over TLS, with limits on
// headers, streams, buffers and idle time.
func HTTPServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: peerBufferBytes,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			SendPingTimeout:               pingInterval,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              pingTimeout,
		},
	}
}

// ServeHTTP checks the key and the metadata of a call and passes the call to the function of WithDo; every answer echoes the
// call id. A request without a call id is a withdrawal or goes to the handler of WithNext.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := r.Header.Get(headerCall)
	if call == "" && s.isWithdrawal(r) {
		s.serveWithdrawal(w, r)
		return
	}
	if call == "" {
		s.next.ServeHTTP(w, r)
		return
	}
	if f := s.checkKey(r); f != nil {
		f.Call = call
		f.Write(w)
		return
	}
	m, err := Decode(r.Header)
	if err != nil {
		f := failure(outcome.Refused, outcome.NotRun, call, "the metadata headers of the call are not valid", err)
		f.Status = http.StatusBadRequest
		f.Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), m.Remaining)
	defer cancel()
	Strip(r.Header)
	p, err := s.do(ctx, m, s.inboundRequest(w, r))
	if err != nil {
		AsFailure(err, call).Write(w)
		return
	}
	w.Header()[headerCall] = []string{call}
	for _, k := range answerHeaders {
		if v, ok := p.Header[k]; ok {
			w.Header()[k] = v
		}
	}
	if err := Copy(w, p); err != nil {
		panic(http.ErrAbortHandler) // resets the stream, so that the peer sees that the answer broke off
	}
}

// AsFailure returns the *outcome.Failure in err with the given call id; any other error becomes a failure of kind Unknown.
func AsFailure(err error, call string) *outcome.Failure {
	var f *outcome.Failure
	if !errors.As(err, &f) {
		return failure(outcome.Reset, outcome.Unknown, call, "the call failed", err)
	}
	if f.Call != call {
		n := *f
		n.Call = call
		f = &n
	}
	return f
}

func (s *Server) checkKey(r *http.Request) *outcome.Failure {
	if s.keyless {
		return nil
	}
	// Hashes have equal lengths, so the comparison time does not reveal the key's length.
	got := sha256.Sum256([]byte(r.Header.Get(headerKey)))
	if subtle.ConstantTimeCompare(got[:], s.key[:]) == 1 {
		return nil
	}
	return &outcome.Failure{
		Code: outcome.Refused, Kind: outcome.NotRun, Status: http.StatusUnauthorized,
		Detail: "the shared key does not match; check the setting key on both nodes",
	}
}

func (s *Server) inboundRequest(w http.ResponseWriter, r *http.Request) *http.Request {
	body := r.Body
	if r.ContentLength == 0 {
		body = nil
	}
	if body != nil {
		body = http.MaxBytesReader(w, body, s.maxBody)
	}
	out := Rebuild(r.Context(), r, "", "")
	out.Header, out.Body = r.Header, body
	return out
}

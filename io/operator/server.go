package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/wire"
	"godwitspindle/io/process"
)

// Bounds of the server.
const (
	maxBody      = 1<<20 + 64<<10   // bytes; a file of 1 MiB and its envelope
	answerTime   = 5 * time.Second  // to accept or refuse a change; two elections fit
	writeTime    = 10 * time.Second // to send one answer or one progress line
	maxWait      = 10 * time.Minute
	defaultWait  = 30 * time.Second
	maxHistory   = 1000 // changes, as many as the store retains
	maxIDBytes   = 128
	maxTextBytes = 1000 // author or reason
)

// Server answers operators; it is an http.Handler for a listener with Limits.
type Server struct {
	key      [sha256.Size]byte
	keyed    bool
	log      logr.Logger
	mux      *http.ServeMux
	counted  func(path string, status int)
	propose  func(context.Context, *wire.Change) (*wire.Result, error)
	plan     func(context.Context, *wire.Change) (*wire.Result, error)
	history  func(ctx context.Context, limit int) ([]*wire.Accepted, error)
	content  func(ctx context.Context, version uint64) (uint64, *wire.Content, error)
	held     func(ctx context.Context, version uint64) (uint64, *wire.Content, error)
	status   func(context.Context) (*Status, error)
	wait     func(ctx context.Context, version uint64, report func(Progress)) error
	replicas func(ctx context.Context, action, name string) (*Replicas, error)
	register func([]byte) (*wire.Register, error)
	rules    func([]byte) (*wire.RuleSet, error)
	faults   func(error) []*wire.Fault
}

// Option sets one part of a Server.
type Option func(*Server)

// WithKey demands the shared key as a bearer token; an empty key demands none.
func WithKey(key string) Option {
	return func(s *Server) { s.key, s.keyed = sha256.Sum256([]byte(key)), key != "" }
}

// WithLogger sets the logger of refusals and failures.
func WithLogger(l logr.Logger) Option { return func(s *Server) { s.log = l } }

// WithCounted calls f after each request with its path pattern and status.
func WithCounted(f func(path string, status int)) Option { return func(s *Server) { s.counted = f } }

// WithPropose sets what accepts a change; an *UnavailableError says whether it may have run, any other error means unknown.
func WithPropose(f func(context.Context, *wire.Change) (*wire.Result, error)) Option {
	return func(s *Server) { s.propose = f }
}

// WithPlan sets what answers as propose would, without effect.
func WithPlan(f func(context.Context, *wire.Change) (*wire.Result, error)) Option {
	return func(s *Server) { s.plan = f }
}

// WithHistory sets what lists the newest limit changes, newest last.
func WithHistory(f func(ctx context.Context, limit int) ([]*wire.Accepted, error)) Option {
	return func(s *Server) { s.history = f }
}

// WithContent sets what returns register and rules as of version, 0 for the current one, and that version; *MissingError when not retained.
func WithContent(f func(ctx context.Context, version uint64) (uint64, *wire.Content, error)) Option {
	return func(s *Server) { s.content = f }
}

// WithHeld sets what returns the same as WithContent by what this replica holds, without the confirmation of a majority.
func WithHeld(f func(ctx context.Context, version uint64) (uint64, *wire.Content, error)) Option {
	return func(s *Server) { s.held = f }
}

// WithStatus sets what describes the mesh.
func WithStatus(f func(context.Context) (*Status, error)) Option {
	return func(s *Server) { s.status = f }
}

// WithWait sets what reports progress until version is in force everywhere (nil) or ctx ends (its error).
func WithWait(f func(ctx context.Context, version uint64, report func(Progress)) error) Option {
	return func(s *Server) { s.wait = f }
}

// WithReplicas sets what lists the replicas (action list) or changes their set; a refusal is a *Problem.
func WithReplicas(f func(ctx context.Context, action, name string) (*Replicas, error)) Option {
	return func(s *Server) { s.replicas = f }
}

// WithParsers sets the strict readers of register and rules files, and what lists the faults of their errors.
func WithParsers(register func([]byte) (*wire.Register, error), rules func([]byte) (*wire.RuleSet, error), faults func(error) []*wire.Fault) Option {
	return func(s *Server) { s.register, s.rules, s.faults = register, rules, faults }
}

// Limits returns the limits for the operators' listener.
func Limits() process.Limits {
	l := process.DefaultLimits()
	l.Body = maxBody
	l.Connections = 64
	return l
}

// New returns a handler for the operators' listener; every function option is needed but WithCounted.
func New(opts ...Option) *Server {
	s := &Server{log: logr.Discard(), mux: http.NewServeMux(), counted: func(string, int) {}}
	for _, o := range opts {
		o(s)
	}
	s.handle("POST /v1/changes", s.serveChange)
	s.handle("POST /v1/plan", s.servePlan)
	s.handle("GET /v1/history", s.serveHistory)
	s.handle("GET /v1/show", s.serveShow)
	s.handle("GET /v1/status", s.serveStatus)
	s.handle("GET /v1/wait", s.serveWait)
	s.handle("GET /v1/replicas", s.serveReplicas)
	s.handle("POST /v1/replicas", s.serveAction)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if p := s.guard(r); p != nil {
			p.write(w)
			return
		}
		p := &Problem{Title: "no such path or method", Status: http.StatusNotFound, Code: CodeNoPath, Detail: r.Method + " " + r.URL.Path, Next: "see docs/OPERATIONS.md"}
		p.write(w)
	})
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handle registers an answer function that returns a problem or has written the answer itself.
func (s *Server) handle(pattern string, f func(w http.ResponseWriter, r *http.Request) *Problem) {
	_, path, _ := strings.Cut(pattern, " ")
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTime + writeTime))
		p := s.guard(r)
		if p == nil {
			p = f(w, r)
		}
		if p == nil {
			s.counted(path, http.StatusOK)
			return
		}
		s.counted(path, p.Status)
		s.log.Info("operator request refused", "path", path, "code", p.Code, "detail", p.Detail, "remote", r.RemoteAddr)
		p.write(w)
	})
}

// guard refuses strangers: a wrong key, and web pages that a browser on the host was led to (no key guards a loopback listener).
func (s *Server) guard(r *http.Request) *Problem {
	if r.Header.Get("Origin") != "" || !plainHost(r.Host) {
		return &Problem{
			Title: "not accepted from a web page", Status: http.StatusForbidden, Code: CodeForbidden,
			Next: "call the listener by its IP address, not from a browser",
		}
	}
	if !s.keyed {
		return nil
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(sum[:], s.key[:]) == 1 && strings.EqualFold(scheme, "Bearer") {
		return nil
	}
	return &Problem{
		Title: "key absent or wrong", Status: http.StatusUnauthorized, Code: CodeUnauthorized, Outcome: NotRun,
		Next: "pass the file with the shared key as --key",
	}
}

// plainHost accepts IP addresses and localhost, so that a foreign name that resolves to the listener is refused.
func plainHost(host string) bool {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil || host == "localhost"
}

func (s *Server) answer(w http.ResponseWriter, value any) *Problem {
	data, err := json.Marshal(value)
	if err != nil {
		return s.failed(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
	return nil
}

// failed turns an error of a function field into a problem; the cause stays in the log.
func (s *Server) failed(err error) *Problem {
	if p, ok := errors.AsType[*Problem](err); ok {
		return p // a refusal, which is logged once with its code
	}
	s.log.Error(err, "operator request failed")
	if u, ok := errors.AsType[*UnavailableError](err); ok {
		return unavailable(u.Outcome, u.Leader)
	}
	if m, ok := errors.AsType[*MissingError](err); ok {
		return missing(m.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return unavailable(Unknown, "")
	}
	return &Problem{
		Title: "the node failed to answer", Status: http.StatusInternalServerError, Code: CodeInternal, Outcome: Unknown,
		Next: "resend with the same id, and read the log of the node",
	}
}

func unavailable(outcome, leader string) *Problem {
	p := &Problem{Title: "no leader or majority is reachable", Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Outcome: outcome}
	if leader != "" {
		p.Detail = "the leader is " + leader
	}
	p.Next = "start replicas until a majority runs and reaches each other, then repeat, a change with the same id; status at each replica says whether it knows a leader"
	return p
}

func number(r *http.Request, name string, fallback, most uint64) (uint64, *Problem) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > most {
		return 0, malformed(name + ": expected a whole number up to " + strconv.FormatUint(most, 10))
	}
	return n, nil
}

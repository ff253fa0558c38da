package operator

import (
	"cmp"
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

// Limits and timeouts of the server.
const (
	maxBodyBytes       = 1<<20 + 64<<10   // a file of 1 MiB and the JSON around it
	answerTimeout      = 5 * time.Second  // for computing an answer, except that of a wait; long enough for two elections
	writeTimeout       = 10 * time.Second // for one answer or one progress line
	maxWaitTimeout     = 10 * time.Minute // longest timeout of a wait
	defaultWaitTimeout = 30 * time.Second // timeout of a wait that names none
	maxHistory         = 1000             // changes in one answer, as many as the store retains
	maxIDBytes         = 128              // length of a change's id
	maxTextBytes       = 1000             // length of an author, a reason or the body of a replica action
)

// Server is the http.Handler of the operator listener, which must be opened with Limits.
type Server struct {
	key          [sha256.Size]byte
	keyRequired  bool
	log          logr.Logger
	mux          *http.ServeMux
	countRequest func(path string, status int)
	propose      func(context.Context, *wire.Change) (*wire.Result, error)
	plan         func(context.Context, *wire.Change) (*wire.Result, error)
	history      func(ctx context.Context, limit int) ([]*wire.Accepted, error)
	content      func(ctx context.Context, version uint64) (uint64, *wire.Content, error)
	localContent func(ctx context.Context, version uint64) (uint64, *wire.Content, error)
	status       func(context.Context) (*Status, error)
	wait         func(ctx context.Context, version uint64, report func(Progress)) error
	replicas     func(ctx context.Context, action, name string) (*Replicas, error)
	startRollout func(context.Context, *wire.RolloutOrder) (*wire.Result, error)
	rollout      func(ctx context.Context, service string) (*wire.Rollout, error)
	register     func([]byte) (*wire.Register, error)
	rules        func([]byte) (*wire.RuleSet, error)
	faults       func(error) []*wire.Fault
	customers    func([]byte) (*wire.Customers, error) // nil if customers cannot be set
}

// Option is an argument of New, which says which options are required.
type Option func(*Server)

// WithKey makes the server require the shared key as a bearer token; with an empty key it requires none.
func WithKey(key string) Option {
	return func(s *Server) { s.key, s.keyRequired = sha256.Sum256([]byte(key)), key != "" }
}

// WithLogger sets the logger for refused and failed requests; the default discards all lines.
func WithLogger(l logr.Logger) Option { return func(s *Server) { s.log = l } }

// WithRequestCounter sets a function that is called for each request to a known path with its path and status, for metrics.
func WithRequestCounter(f func(path string, status int)) Option {
	return func(s *Server) { s.countRequest = f }
}

// WithPropose sets the function that proposes a change. Its *UnavailableError states the outcome; after any other error the
// outcome is unknown.
func WithPropose(f func(context.Context, *wire.Change) (*wire.Result, error)) Option {
	return func(s *Server) { s.propose = f }
}

// WithPlan sets the function that returns the result that a proposal of the change would have, without proposing it.
func WithPlan(f func(context.Context, *wire.Change) (*wire.Result, error)) Option {
	return func(s *Server) { s.plan = f }
}

// WithHistory sets the function that returns up to limit of the newest changes, newest last.
func WithHistory(f func(ctx context.Context, limit int) ([]*wire.Accepted, error)) Option {
	return func(s *Server) { s.history = f }
}

// WithContent sets the function that returns a version and its register and rules; version 0 asks for the current one. It
// fails with *MissingError when the version is not retained.
func WithContent(f func(ctx context.Context, version uint64) (uint64, *wire.Content, error)) Option {
	return func(s *Server) { s.content = f }
}

// WithLocalContent is like WithContent, but its function reads this replica's own copy, which no majority has confirmed.
func WithLocalContent(f func(ctx context.Context, version uint64) (uint64, *wire.Content, error)) Option {
	return func(s *Server) { s.localContent = f }
}

// WithStatus sets the function that returns the state of the mesh.
func WithStatus(f func(context.Context) (*Status, error)) Option {
	return func(s *Server) { s.status = f }
}

// WithWait sets the function that reports progress until the version is in force on every node and then returns
// nil. If ctx ends first, the function returns the error of ctx.
func WithWait(f func(ctx context.Context, version uint64, report func(Progress)) error) Option {
	return func(s *Server) { s.wait = f }
}

// WithReplicas sets the function that runs an action on the replicas or, for "list", lists them; it refuses with a *Problem.
func WithReplicas(f func(ctx context.Context, action, name string) (*Replicas, error)) Option {
	return func(s *Server) { s.replicas = f }
}

// WithParsers sets the strict parsers of register and rules files, and the function that lists the faults in their errors.
func WithParsers(register func([]byte) (*wire.Register, error), rules func([]byte) (*wire.RuleSet, error), faults func(error) []*wire.Fault) Option {
	return func(s *Server) { s.register, s.rules, s.faults = register, rules, faults }
}

// WithCustomersParser sets the strict parser of customers files; its errors must not quote keys.
func WithCustomersParser(customers func([]byte) (*wire.Customers, error)) Option {
	return func(s *Server) { s.customers = customers }
}

// Limits returns the limits for the operator listener.
func Limits() process.Limits {
	l := process.DefaultLimits()
	l.Body = maxBodyBytes
	l.Connections = 64
	return l
}

// New returns a server; all options that take functions are required, except WithRequestCounter.
func New(opts ...Option) *Server {
	s := &Server{log: logr.Discard(), mux: http.NewServeMux(), countRequest: func(string, int) {}}
	for _, o := range opts {
		o(s)
	}
	s.handle("POST /v1/changes", s.serveChange)
	s.handle("POST /v1/plan", s.servePlan)
	s.handle("GET /v1/history", s.serveHistory)
	s.handle("GET /v1/show", s.serveShow)
	s.handle("GET /v1/status", s.serveStatus)
	s.handle("GET /v1/wait", s.serveWait)
	s.handle("GET /v1/replicas", s.serveReplicaList)
	s.handle("POST /v1/replicas", s.serveReplicaChange)
	s.handle("POST /v1/rollouts", s.serveRolloutStart)
	s.handle("GET /v1/rollouts/{service}", s.serveRollout)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if p := s.authorize(r); p != nil {
			p.write(w)
			return
		}
		p := &Problem{Title: "no such path or method", Status: http.StatusNotFound, Code: CodeNoPath, Detail: r.Method + " " + r.URL.Path, Next: "see docs/OPERATIONS.md"}
		p.write(w)
	})
	return s
}

// ServeHTTP answers one request to the operator API; an unknown path or method gets a problem with CodeNoPath.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handle registers f, which writes the answer itself and returns nil, or returns a problem for handle to write.
func (s *Server) handle(pattern string, f func(w http.ResponseWriter, r *http.Request) *Problem) {
	_, path, _ := strings.Cut(pattern, " ")
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout + writeTimeout))
		p := s.authorize(r)
		if p == nil {
			p = f(w, r)
		}
		if p == nil {
			s.countRequest(path, http.StatusOK)
			return
		}
		s.countRequest(path, p.Status)
		s.log.Info("operator request refused", "path", path, "code", p.Code, "detail", p.Detail, "remote", r.RemoteAddr)
		p.write(w)
	})
}

// authorize refuses requests without the right key if one is required. It also refuses requests that a web page may have made
// from a browser on this host, since a loopback listener may have no key.
func (s *Server) authorize(r *http.Request) *Problem {
	if r.Header.Get("Origin") != "" || !isAddressOrLocalhost(r.Host) {
		return &Problem{
			Title: "not accepted from a web page", Status: http.StatusForbidden, Code: CodeForbidden,
			Next: "call the listener by its IP address, not from a browser",
		}
	}
	if !s.keyRequired {
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

// isAddressOrLocalhost reports whether a Host header is an IP address or localhost. A foreign name that resolves to the
// listener (DNS rebinding) is neither.
func isAddressOrLocalhost(host string) bool {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil || host == "localhost"
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) *Problem {
	data, err := json.Marshal(value)
	if err != nil {
		return s.problemFor(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
	return nil
}

// problemFor returns the problem for an error of an option's function; the log has the cause, which most problems omit.
func (s *Server) problemFor(err error) *Problem {
	if p, ok := errors.AsType[*Problem](err); ok {
		return p // handle logs it with its code
	}
	s.log.Error(err, "operator request failed")
	if u, ok := errors.AsType[*UnavailableError](err); ok {
		p := unavailableProblem(u.Outcome, u.Leader)
		p.Detail = cmp.Or(missingVoters(err), p.Detail)
		return p
	}
	if m, ok := errors.AsType[*MissingError](err); ok {
		return missingProblem(m.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return unavailableProblem(Unknown, "")
	}
	return &Problem{
		Title: "the node failed to answer", Status: http.StatusInternalServerError, Code: CodeInternal, Outcome: Unknown,
		Next: "resend with the same id, and read the log of the node",
	}
}

// missingVoters says which voters are missing, or returns an empty string if err does not tell.
func missingVoters(err error) string {
	if e, ok := errors.AsType[*NoMajorityError](err); ok {
		return "no majority: " + e.Hearing.String()
	}
	if e, ok := errors.AsType[*UnconfirmedError](err); ok {
		return e.title() + "; " + e.Hearing.String()
	}
	return ""
}

func unavailableProblem(outcome, leader string) *Problem {
	p := &Problem{Title: "no leader or majority is reachable", Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Outcome: outcome}
	if leader != "" {
		p.Detail = "the leader is " + leader
	}
	p.Next = "start replicas until a majority runs and reaches each other, then repeat, a change with the same id; status at each replica says whether it knows a leader"
	return p
}

func queryNumber(r *http.Request, name string, fallback, limit uint64) (uint64, *Problem) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > limit {
		return 0, malformedProblem(name + ": expected a whole number up to " + strconv.FormatUint(limit, 10))
	}
	return n, nil
}

package caller

import (
	"context"
	"net/http"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Match is the route of a request and its service; both stay valid for the whole request.
type Match struct {
	Route   *config.Route
	Service *config.Service
	Version uint64 // of the configuration that they belong to
}

// Pick asks for an endpoint.
type Pick struct {
	Route   *config.Route
	Service *config.Service
	Tried   []string // keys of endpoints that this request has used
	Now     time.Time
}

// Observation is what one attempt showed about an endpoint.
type Observation struct {
	Took    time.Duration // until the head of the answer or the failure
	Status  int           // 0 without an answer
	Failure *outcome.Failure
	At      time.Time
	Load    float64 // calls at the endpoint as a share of its slots; 0 when not known
}

// Finished is a request that was answered.
type Finished struct {
	Route *config.Route // nil when none matched
	Code  outcome.Code  // empty when the backend server answered
	Kind  outcome.Kind  // outcome.None when the backend server answered
	Took  time.Duration // from the arrival of the request to its answer
	Added time.Duration // time until the head of the answer that the backend server did not take; negative when not known
}

// Attempt describes a failed attempt to the retry decision.
type Attempt struct {
	Route    *config.Route
	Service  string
	Failure  *outcome.Failure
	Endpoint string
	Repicks  int  // repicks made for this request
	Retries  int  // retries made for this request
	Budget   int  // retries left to this request and the calls below it
	Resend   bool // the body can be sent again
	Deadline time.Time
	Now      time.Time
}

// Verdict says whether a request is sent again.
type Verdict struct {
	Again  bool
	Repick bool // costs the backend servers nothing, so it does not count against the budget
	Wait   time.Duration
	Reason string
}

// ClaimState is the state of an idempotency key.
type ClaimState uint8

// States of a claim.
const (
	Granted  ClaimState = iota + 1 // this request may run
	Running                        // another request with the key runs
	Done                           // a request with the key ran; Answer holds its answer if it was small enough
	Conflict                       // the key was used for another request
	Doubt                          // a request with the key may have run and has no outcome
	Denied                         // no claim was made and none will be for this request, as when the table is full
)

// Claim names one run of one keyed request.
type Claim struct {
	Route    string
	Key      string
	Print    hop.Print
	Owner    string // unique for each request
	Deadline time.Time
}

// Answer is a stored answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimAnswer is the answer to a claim.
type ClaimAnswer struct {
	State  ClaimState
	Answer *Answer // for Done; nil when the answer was not kept
}

// Option configures a Handler.
type Option func(*Handler)

// WithLocal makes the handler serve backend servers beside the node: Mesh-Context is accepted and internal services are
// reachable.
func WithLocal(local bool) Option { return func(h *Handler) { h.local = local } }

// WithMatch sets the route table; a failure such as unproven ends the request.
func WithMatch(f func(host, path, method string) (Match, *outcome.Failure)) Option {
	return func(h *Handler) { h.match = f }
}

// WithPick sets the choice of an endpoint, which returns a reason for the log.
func WithPick(f func(Pick) (config.Endpoint, string, error)) Option {
	return func(h *Handler) { h.pick = f }
}

// WithObserve sets the functions that see each attempt start and end.
func WithObserve(start func(endpoint string, now time.Time), done func(endpoint string, o Observation)) Option {
	return func(h *Handler) { h.start, h.done = start, done }
}

// WithFinished sets the function that sees the outcome of each request.
func WithFinished(f func(Finished)) Option { return func(h *Handler) { h.finished = f } }

// WithSend sets the function that carries an attempt to its endpoint. An error is an *outcome.Failure.
func WithSend(f func(ctx context.Context, e config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error)) Option {
	return func(h *Handler) { h.send = f }
}

// WithDecide sets the retry decision.
func WithDecide(f func(Attempt) Verdict) Option { return func(h *Handler) { h.decide = f } }

// WithClaim sets the functions that claim a key, store an outcome (nil answer: ran, answer not kept) and give a claim back.
// Each returns after the effect is durable.
func WithClaim(
	claim func(context.Context, Claim) (ClaimAnswer, error),
	finish func(context.Context, Claim, *Answer) error,
	release func(context.Context, Claim) error,
) Option {
	return func(h *Handler) { h.claim, h.finish, h.release = claim, finish, release }
}

// WithIdentify sets the source of call ids, which must not repeat.
func WithIdentify(f func(r *http.Request) string) Option { return func(h *Handler) { h.identify = f } }

// WithLog sets the log and the choice of successes that are logged.
func WithLog(log logr.Logger, sample func() bool) Option {
	return func(h *Handler) { h.log, h.sample = log, sample }
}

// WithMaxBody bounds request bodies in bytes.
func WithMaxBody(n int64) Option { return func(h *Handler) { h.maxBody = n } }

// WithLeaving sets the function that tells whether callers should move away; answers then carry Connection: close.
func WithLeaving(f func() bool) Option { return func(h *Handler) { h.leaving = f } }

// WithNow sets the clock.
func WithNow(f func() time.Time) Option { return func(h *Handler) { h.now = f } }

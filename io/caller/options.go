package caller

import (
	"context"
	"net/http"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Match is the route and service of a request; both stay valid until the request ends.
type Match struct {
	Route   *config.Route
	Service *config.Service
	Version uint64 // version of the configuration that holds route and service

	Customers Customers // customers of the same version; nil for none
	// Unconfirmed states that keys may have been withdrawn in a version that the node should know by now, so no key is accepted.
	Unconfirmed bool
}

// PickRequest is a request to choose an endpoint.
type PickRequest struct {
	Route   *config.Route
	Service *config.Service
	Tried   []string // keys of the endpoints that this request was already sent to
	Now     time.Time
}

// Observation is the result of one attempt at an endpoint, for load balancing.
type Observation struct {
	Took    time.Duration // time from the start of the attempt to the response headers or the failure
	Status  int           // HTTP status; 0 without an answer
	Failure *outcome.Failure
	At      time.Time
	Load    float64 // calls running and waiting at the endpoint, divided by its slots; 0 when unknown

	Route    string        // name of the route
	Expected time.Duration // time that the endpoint is expected to take for a request of the route; 0 unless it reports its pace

	Incarnation uint64  // process of the endpoint that the attempt was sent to
	Release     string  // release of that process
	Leaving     bool    // the endpoint has stated that it leaves
	Limit       float64 // requests per second that the endpoint takes from all hosts; 0 without a limit
}

// Finished describes a request that has ended, for metrics.
type Finished struct {
	Route    *config.Route // nil when no route matched
	Customer string        // name of the customer; empty without one
	Code     outcome.Code  // empty when the request was answered completely
	Kind     outcome.Kind  // outcome.None when the request was answered completely
	Began    time.Time     // the request's arrival
	Cut      bool          // the request was in flight when InFlight.Cut was called
	Took     time.Duration // from the request's arrival to the end of its answer or its failure; 0 when the answer broke off
	Service  string        // service that the request was for; empty when no route matched
	Parent   string        // call id of the run that made the request, see Context; empty for requests of callers
	Shed     bool          // the backend server answered with a refusal (503)
	Overhead time.Duration // from arrival to the response headers, minus the last backend server's time; negative when unknown
}

// Attempt describes a failed attempt, for the retry decision.
type Attempt struct {
	Route    *config.Route
	Service  string
	Failure  *outcome.Failure
	Endpoint string
	Repicks  int  // attempts of this request that a Verdict with Repick allowed
	Retries  int  // further attempts of this request that count against the budget
	Budget   int  // retries left to this request and the calls made to handle it
	Resend   bool // the body can be sent again
	Deadline time.Time
	Now      time.Time
}

// Verdict is the retry decision for a failed attempt.
type Verdict struct {
	Retry  bool          // send the request again
	Repick bool          // the failed attempt cost the backend servers nothing, so sending again does not count against the budget
	Wait   time.Duration // time before the next attempt
	Reason string        // for the log
}

// ClaimState is the state of an idempotency key after a claim.
type ClaimState uint8

// States of a claim.
const (
	Granted    ClaimState = iota + 1 // this request may run
	Running                          // another request with the key is running
	Done                             // a request with the key ran; ClaimAnswer.Answer holds its answer if that was small enough
	Conflict                         // the key was used for a request with another fingerprint
	Unresolved                       // a request with the key may have run, but stored no outcome
	Denied                           // no claim was or will be made for this request, for instance because the claim table is full
)

// Claim identifies one attempt to run a keyed request.
type Claim struct {
	Route       string
	Key         string
	Fingerprint hop.Fingerprint
	Owner       string    // unique for each request
	Deadline    time.Time // deadline of the request plus the time to store its outcome
}

// Answer is the answer to a keyed request, stored for resends of the request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimAnswer is the result of a claim.
type ClaimAnswer struct {
	State  ClaimState
	Answer *Answer // stored answer if State is Done; nil when it was not kept
}

// Option sets a required function of the Handler that New returns, or replaces a default.
type Option func(*Handler)

// WithLocalCalls states whether the handler receives calls from backend servers on the node's own host. If so, it accepts
// Mesh-Context and allows calls to internal services.
func WithLocalCalls(local bool) Option { return func(h *Handler) { h.local = local } }

// WithMatch sets the route lookup; if it returns a failure, such as outcome.Unproven, the request ends with that failure.
func WithMatch(f func(host, path, method string) (Match, *outcome.Failure)) Option {
	return func(h *Handler) { h.match = f }
}

// WithPick sets the function that chooses an endpoint and gives the reason for the log.
func WithPick(f func(PickRequest) (config.Endpoint, string, error)) Option {
	return func(h *Handler) { h.pick = f }
}

// WithObserve sets the functions that are called at the start and the end of each attempt.
func WithObserve(start func(endpoint string, now time.Time), done func(endpoint string, o Observation)) Option {
	return func(h *Handler) { h.attemptStarted, h.attemptDone = start, done }
}

// WithFinished sets the function that is called at the end of each request.
func WithFinished(f func(Finished)) Option { return func(h *Handler) { h.requestDone = f } }

// WithSend sets the function that sends an attempt to its endpoint. An error other than *outcome.Failure counts as a failure with
// unknown outcome.
func WithSend(f func(ctx context.Context, e config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error)) Option {
	return func(h *Handler) { h.send = f }
}

// WithDecide sets the retry policy. Whatever it decides, the handler never repeats a request that may run only once and may have
// run, nor one whose body cannot be sent again.
func WithDecide(f func(Attempt) Verdict) Option { return func(h *Handler) { h.decideRetry = f } }

// WithClaim sets the functions that claim a key, store an outcome (a nil answer means that the request ran and its answer is
// not kept) and release a claim. Each must return only once its effect is durable.
func WithClaim(
	claim func(context.Context, Claim) (ClaimAnswer, error),
	finish func(context.Context, Claim, *Answer) error,
	release func(context.Context, Claim) error,
) Option {
	return func(h *Handler) { h.claim, h.finish, h.release = claim, finish, release }
}

// WithIdentify sets the function that makes call ids, which must be unique.
func WithIdentify(f func(r *http.Request) string) Option { return func(h *Handler) { h.newCallID = f } }

// WithNested sets the function that reports whether a request states by its id that it is made for another request. If such a request
// has no key and its parent does not run on this host, it is refused with 503 in place of 401: backend servers have no keys, and a 401
// would tell them that the request itself is wrong.
func WithNested(f func(r *http.Request) bool) Option { return func(h *Handler) { h.nested = f } }

// WithLog sets the log, and the function that selects which successful requests are logged. Failures, and refusals by a backend
// server that are passed on as answers, are always logged.
func WithLog(log logr.Logger, sample func() bool) Option {
	return func(h *Handler) { h.log, h.logSuccess = log, sample }
}

// WithInFlight sets the set that holds the requests in flight.
func WithInFlight(f *InFlight) Option { return func(h *Handler) { h.inFlight = f } }

// WithBufferedAnswers makes the handler read answers of up to n bytes to their end before it passes any of them on, so that an
// answer that breaks off between two nodes is a failure, not an aborted connection of the caller. By default answers are streamed.
func WithBufferedAnswers(n int64) Option { return func(h *Handler) { h.bufferLimit = n } }

// WithMaxBody limits request bodies to n bytes.
func WithMaxBody(n int64) Option { return func(h *Handler) { h.maxBody = n } }

// WithDraining sets the function that reports whether callers should reconnect elsewhere; answers then carry Connection: close.
func WithDraining(f func() bool) Option { return func(h *Handler) { h.draining = f } }

// WithStop sets the rule of a planned stop: whether work may begin, and until when. StopBegun must be called once a stop has begun.
func WithStop(decide func(now time.Time, w shutdown.Work) shutdown.Decision) Option {
	return func(h *Handler) { h.stop = decide }
}

// WithNow sets the clock that deadlines and measured times refer to; the default is time.Now.
func WithNow(f func() time.Time) Option { return func(h *Handler) { h.now = f } }

package backend

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Announcement is what a backend server states about one of its endpoints.
type Announcement struct {
	Service     string         `json:"service"`
	Endpoint    string         `json:"endpoint"`
	Address     netip.AddrPort `json:"address"` // loopback, HTTP/1.1
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Load        float64        `json:"load"`                  // 0 idle to 1 full; above 1 overloaded
	Incarnation uint64         `json:"incarnation,omitempty"` // changes with each process; 0 when not stated
	Sequence    uint64         `json:"sequence,omitempty"`    // grows with each announcement of a process whose incarnations grow; 0 when not stated
}

// Key returns SERVICE/ENDPOINT.
func (a *Announcement) Key() string { return a.Service + "/" + a.Endpoint }

// Result is what a forwarded call showed.
type Result struct {
	Took   time.Duration // until the end of the answer
	Status int           // 0 without an answer
	OK     bool          // a whole answer that is no refusal
	Broken bool          // the backend server's connection broke
}

// Crash reports that the process of a backend server died.
type Crash struct {
	Endpoint    string // SERVICE/ENDPOINT
	Incarnation uint64 // of the process that died
	Prints      []hop.Print
	At          time.Time
}

// Option configures a Backend.
type Option func(*Backend)

// WithAnnounced sets the function that hears of a new or changed endpoint; it is not called for mere renewals.
func WithAnnounced(f func(Announcement)) Option { return func(b *Backend) { b.announced = f } }

// WithLeft sets the function that hears of an endpoint that left: announced, or not renewed.
func WithLeft(f func(endpoint, reason string)) Option { return func(b *Backend) { b.left = f } }

// WithHint sets the function that hears each reported load.
func WithHint(f func(endpoint string, load float64, now time.Time)) Option {
	return func(b *Backend) { b.hint = f }
}

// WithShed sets the function that hears a backend server's 503 with Retry-After.
func WithShed(f func(endpoint string, after time.Duration)) Option {
	return func(b *Backend) { b.shed = f }
}

// WithAdmit sets the admission, which may wait until ctx ends; release is called once for each admitted call.
func WithAdmit(f func(ctx context.Context, endpoint string, m hop.Meta) (release func(Result), refused *outcome.Failure)) Option {
	return func(b *Backend) { b.admit = f }
}

// WithGuard sets the quarantine check, asked once a call is admitted; done is called once for each call that passed it.
func WithGuard(f func(ctx context.Context, endpoint string, m hop.Meta) (done func(Result), refused *outcome.Failure)) Option {
	return func(b *Backend) { b.guard = f }
}

// WithCrashed sets the function that hears of crashes, once for each incarnation.
func WithCrashed(f func(Crash)) Option { return func(b *Backend) { b.crashed = f } }

// WithContext sets the value of Mesh-Context for a call; empty for none.
func WithContext(f func(m hop.Meta, deadline time.Time) string) Option {
	return func(b *Backend) { b.context = f }
}

// WithHeaders replaces the headers that a backend server gets besides those of its caller.
func WithHeaders(f func(h http.Header, m hop.Meta, deadline time.Time)) Option {
	return func(b *Backend) { b.headers = f }
}

// WithForeign sets the function that recognizes the answer to another request, which is passed over.
func WithForeign(f func(r *http.Request, p *http.Response) bool) Option {
	return func(b *Backend) { b.foreign = f }
}

// WithJudge sets the function that finds a failure in the head of an answer; nil passes the answer on.
func WithJudge(f func(p *http.Response) *outcome.Failure) Option {
	return func(b *Backend) { b.judge = f }
}

// WithNamed sets how the id of a request is read from its headers, for backend servers that name a request in the calls that
// they make for it; see Context.
func WithNamed(f func(h http.Header) string) Option { return func(b *Backend) { b.named = f } }

// WithWhole makes answers up to n bytes be read whole before they are passed on, so that one which breaks off is a failure
// and not a broken answer.
func WithWhole(n int64) Option { return func(b *Backend) { b.whole = n } }

// WithRenew sets the period after which endpoints renew (2 s); an endpoint that misses three leaves.
func WithRenew(d time.Duration) Option { return func(b *Backend) { b.renew = d } }

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(b *Backend) { b.log = log } }

// WithNow sets the clock.
func WithNow(f func() time.Time) Option { return func(b *Backend) { b.now = f } }

package backend

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"godwitspindle/core/capacity"
	"godwitspindle/core/notice"
	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Announcement is a backend server's description of one of its endpoints.
type Announcement struct {
	Service     string         `json:"service"`
	Endpoint    string         `json:"endpoint"`
	Address     netip.AddrPort `json:"address"` // loopback address for HTTP/1.1
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`           // most connections that the node may use at once
	Load        float64        `json:"load"`                  // 0 when idle, 1 when full, above 1 when overloaded
	Incarnation uint64         `json:"incarnation,omitempty"` // differs for each process; 0 when not stated
	Sequence    uint64         `json:"sequence,omitempty"`    // grows with each announcement; 0 if incarnations do not grow
	Release     string         `json:"release,omitempty"`     // version of the backend server's software; empty if not stated
}

// Key returns SERVICE/ENDPOINT.
func (a *Announcement) Key() string { return a.Service + "/" + a.Endpoint }

// Result is the result of a forwarded call, for admission control and quarantine.
type Result struct {
	Took   time.Duration // time from admission to the end of the call
	Status int           // HTTP status; 0 without an answer
	OK     bool          // the answer was complete and not a 503
	Full   bool          // the backend server refused the request without running it, because it was full
	Broken bool          // the connection to the backend server broke
}

// Crash reports that the process of a backend server crashed.
type Crash struct {
	Endpoint     string            // SERVICE/ENDPOINT
	Incarnation  uint64            // incarnation of the crashed process
	Fingerprints []hop.Fingerprint // fingerprints of the calls that were running or whose connections broke
	At           time.Time
}

// Option replaces a default of the Backend that New returns.
type Option func(*Backend)

// WithAnnounced sets the function that is called when an endpoint is new, changed or restored by Adopt, but not
// for a renewal alone.
func WithAnnounced(f func(Announcement)) Option { return func(b *Backend) { b.onAnnounced = f } }

// WithDeparted sets the function that is called when a process leaves for good, possibly more than once.
func WithDeparted(f func(endpoint string, incarnation uint64)) Option {
	return func(b *Backend) { b.onDeparted = f }
}

// WithLeft sets the function that is called when an endpoint left; the reason is announced, stated in an answer, not renewed, that
// another process has its address, or that its process is known to have left.
func WithLeft(f func(endpoint, reason string)) Option { return func(b *Backend) { b.onLeft = f } }

// WithLoad sets the function that is called with the load from each accepted announcement.
func WithLoad(f func(endpoint string, load float64, now time.Time)) Option {
	return func(b *Backend) { b.onLoad = f }
}

// WithShed sets the function that is called when a backend server sheds load (503 with Retry-After).
func WithShed(f func(endpoint string, after time.Duration)) Option {
	return func(b *Backend) { b.onShed = f }
}

// WithNotice sets the function that is called with what an answer states about its endpoint, and with the time at which its request
// was sent. For an answer that states nothing it is called only if the whole answer has arrived.
func WithNotice(f func(a Announcement, n notice.Notice, sent time.Time)) Option {
	return func(b *Backend) { b.onNotice = f }
}

// WithNoticeHeaders replaces the function that reads from an answer's headers what its backend server states about itself.
func WithNoticeHeaders(f func(h http.Header) notice.Notice) Option {
	return func(b *Backend) { b.readNotice = f }
}

// WithLoadReport replaces the function that reads the load report of the backend server from an answer's headers; ok is false without
// one.
func WithLoadReport(f func(h http.Header) (r capacity.Report, ok bool)) Option {
	return func(b *Backend) { b.readReport = f }
}

// WithLoadReported sets the function that is called with each load report, also one that is not valid or comes with a refusal. It is not
// called if another process has taken over the endpoint meanwhile.
func WithLoadReported(f func(a Announcement, r capacity.Report)) Option {
	return func(b *Backend) { b.onReport = f }
}

// WithAdmit sets the admission control, which may block until ctx ends; release is called once for each admitted call.
func WithAdmit(f func(ctx context.Context, endpoint string, m hop.Meta) (release func(Result), refused *outcome.Failure)) Option {
	return func(b *Backend) { b.admit = f }
}

// WithQuarantineCheck sets the quarantine check, which follows admission; done is called once for each call that passed it.
func WithQuarantineCheck(f func(ctx context.Context, endpoint string, m hop.Meta) (done func(Result), refused *outcome.Failure)) Option {
	return func(b *Backend) { b.checkQuarantine = f }
}

// WithCrashed sets the function that is called once for each crashed process that had calls.
func WithCrashed(f func(Crash)) Option { return func(b *Backend) { b.onCrash = f } }

// WithContext sets the function that returns a call's Mesh-Context value; an empty value sends no header.
func WithContext(f func(m hop.Meta, deadline time.Time) string) Option {
	return func(b *Backend) { b.context = f }
}

// WithHeaders replaces the function that adds headers to those of the caller's request.
func WithHeaders(f func(h http.Header, m hop.Meta, deadline time.Time)) Option {
	return func(b *Backend) { b.setHeaders = f }
}

// WithForeign sets the function that reports whether an answer belongs to another request. Up to maxForeign such answers are
// skipped before the one that is due; with more, the call fails.
func WithForeign(f func(r *http.Request, p *http.Response) bool) Option {
	return func(b *Backend) { b.isForeign = f }
}

// WithAnswerCheck sets the function that returns a failure for an answer that must not be passed on, or nil. It is
// called only with WithBufferedAnswers.
func WithAnswerCheck(f func(p *http.Response) *outcome.Failure) Option {
	return func(b *Backend) { b.checkAnswer = f }
}

// WithEcho sets the function that reports whether an answer names its request. On a connection that has carried another request, a
// refusal that WithAnswerCheck reports as notrun is trusted only if it does: else it may be an earlier one, written once more.
func WithEcho(f func(r *http.Request, p *http.Response) bool) Option {
	return func(b *Backend) { b.namesRequest = f }
}

// WithRequestID sets the function that reads a request's id from its headers, for backend servers that name the request in the
// calls that they make to handle it; see Context.
func WithRequestID(f func(h http.Header) string) Option { return func(b *Backend) { b.requestID = f } }

// WithBufferedAnswers makes the Backend read up to n bytes of an answer before it passes any of it on, so that an answer that
// breaks off within them is reported as a failure.
func WithBufferedAnswers(n int64) Option { return func(b *Backend) { b.bufferLimit = n } }

// WithEndToEnd names headers of answers, in canonical form, that are passed on even if a backend server names them in Connection.
func WithEndToEnd(names ...string) Option { return func(b *Backend) { b.endToEnd = names } }

// WithRenew sets the interval at which endpoints renew (default 2 s); an endpoint leaves after three intervals without renewal.
func WithRenew(d time.Duration) Option { return func(b *Backend) { b.renewInterval = d } }

// WithStop sets the rule of a planned stop, which each call is asked for with its context when it arrives and when it is admitted.
func WithStop(decide func(ctx context.Context, now time.Time, w shutdown.Work) shutdown.Decision) Option {
	return func(b *Backend) { b.stopRule = decide }
}

// WithLog sets the log; the default discards all output.
func WithLog(log logr.Logger) Option { return func(b *Backend) { b.log = log } }

// WithNow sets the clock for leases, crashes and the times of calls; the default is time.Now.
func WithNow(f func() time.Time) Option { return func(b *Backend) { b.now = f } }

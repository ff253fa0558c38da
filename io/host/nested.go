package host

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"godwitspindle/core/admission"
	"godwitspindle/core/nested"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

// nestedLogInterval is the shortest time between two log lines about parents that are refused.
const nestedLogInterval = time.Second

// nestedCalls connects the throttle of parents to the calls of this node. It has no effect at endpoints that are not enabled.
type nestedCalls struct {
	enabled  func(endpoint string) bool // reports whether the endpoint has stated a pace
	throttle *nested.Throttle
	metrics  *process.Metrics
	log      logr.Logger
	lines    rate.Sometimes
}

func newNestedCalls(enabled func(endpoint string) bool, m *process.Metrics, log logr.Logger) *nestedCalls {
	return &nestedCalls{
		enabled:  enabled,
		throttle: nested.New(),
		metrics:  m,
		log:      log,
		lines:    rate.Sometimes{Interval: nestedLogInterval},
	}
}

// refusal returns the failure of a parent whose calls would not be served, or nil. Its code is not retried at other endpoints, since
// the runs there call the same service.
func (n *nestedCalls) refusal(endpoint string, m hop.Meta) *outcome.Failure {
	if !n.enabled(endpoint) {
		return nil
	}
	now := time.Now()
	d := n.throttle.Decide(now, m.Route)
	if d.Admit {
		return nil
	}
	after := retryAfter(d.RetryAfter, m)
	n.lines.Do(func() {
		u := n.throttle.Usage(now, m.Route, d.Service)
		n.log.Info("requests refused for their nested calls", "endpoint", endpoint, "route", m.Route, "service", d.Service, "share", d.Share,
			"after", after.String(), "runs", u.Runs, "calling", u.Calling, "served", u.Calls[nested.Served], "refused", u.Calls[nested.Refused],
			"late", u.Calls[nested.Late], "failed", u.Calls[nested.Failed])
	})
	return &outcome.Failure{
		Code: outcome.Downstream, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: m.Call, RetryAfter: after,
		Detail: fmt.Sprintf("The service %s has no room for the calls that the request would make; %.0f%% of these requests are admitted.", d.Service, 100*d.Share),
	}
}

// retryAfter returns the wait to suggest to the caller of a refused parent: the expected one, or half of the time to the objective if
// that is shorter, plus up to half of it at random, so that callers who are refused together do not return together.
func retryAfter(expected time.Duration, m hop.Meta) time.Duration {
	if m.Objective > 0 && !m.Resent {
		expected = min(expected, m.Objective/2)
	}
	return expected + rand.N(expected/2+1)
}

// movable reports whether a nested call is tried at another endpoint after a busy refusal. Only calls with an objective are, since
// hop.Meta carries LastAttempt only with an objective.
func (n *nestedCalls) movable(endpoint string, m hop.Meta) bool {
	return m.Depth > 1 && m.Objective != 0 && !m.LastAttempt && n.enabled(endpoint)
}

// parent returns the id that the calls of a run name, or an empty string if its endpoint is not enabled.
func (n *nestedCalls) parent(m hop.Meta) string {
	if !n.enabled(m.EndpointKey()) {
		return ""
	}
	return m.Call
}

func (n *nestedCalls) started(endpoint string, m hop.Meta) {
	if n.enabled(endpoint) {
		n.throttle.Start(time.Now(), m.Call, m.Route)
	}
}

// ended records the end of a run and returns its result for admission control. A broken run is not OK there, since its time says nothing
// about the usual service time.
func (n *nestedCalls) ended(call string, r backend.Result) backend.Result {
	success := r.Status >= http.StatusOK && r.Status < http.StatusBadRequest
	if n.throttle.End(time.Now(), call, success) {
		r.OK = false
	}
	return r
}

// classifyRefusal returns the failure of a call at a local endpoint, with the code declined in place of overload if the endpoint had room:
// its backend server refused for a reason of its own, which fewer calls would not change. The gate itself refuses with overload only
// when its queue is full. The call has left its slot by then, so it is added to the running ones.
func (n *nestedCalls) classifyRefusal(m hop.Meta, err error, stats func() admission.Stats) error {
	var f *outcome.Failure
	if !n.enabled(m.EndpointKey()) || !errors.As(err, &f) || f.Code != outcome.Overload || f.Kind != outcome.NotRun {
		return err
	}
	if s := stats(); s.Queued > 0 || s.Running+1 >= s.Limit {
		return err
	}
	d := *f
	d.Code = outcome.Declined
	return &d
}

// finished records a nested call that has ended.
func (n *nestedCalls) finished(f caller.Finished) {
	if f.Parent == "" || f.Code == outcome.Canceled {
		return // the parent, or its caller, no longer waits for the call
	}
	r := nestedResult(f)
	n.throttle.Observe(nested.Call{Parent: f.Parent, Service: f.Service, Result: r})
	n.metrics.NestedCalls.WithLabelValues(f.Service, r.String()).Inc()
}

// nestedResult returns the result of a nested call. A service without a usable endpoint also counts as one without room.
func nestedResult(f caller.Finished) nested.Result {
	switch f.Code {
	case "":
		if f.Shed {
			return nested.Refused
		}
		return nested.Served
	case outcome.DeadlineExceeded:
		if f.Kind != outcome.NotRun {
			return nested.Late
		}
		return nested.Refused
	case outcome.Busy, outcome.Limited, outcome.Overload, outcome.Downstream, outcome.NoEndpoint, outcome.Unreachable, outcome.Draining:
		return nested.Refused
	}
	return nested.Failed
}

// measure sets the gauge for the share of parents that are admitted.
func (n *nestedCalls) measure(now time.Time) {
	n.metrics.NestedShare.Reset()
	for service, share := range n.throttle.Shares(now) {
		n.metrics.NestedShare.WithLabelValues(service).Set(share)
	}
}

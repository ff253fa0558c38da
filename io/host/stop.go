package host

import (
	"cmp"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"godwitspindle/core/outcome"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
)

// maxCutLines limits the lines about cut requests, and those about cut calls of other nodes, in one stop. The log buffer holds 4,096
// lines, and the process has half a second to write them.
const maxCutLines = 200

// Values of the label result of the metric stop_requests_total.
const (
	stopAnswered = "answered"
	stopRefused  = "refused"
	stopFailed   = "failed"
	stopCut      = "cut"
)

// stopTimes holds the times of a planned stop.
type stopTimes struct {
	began  time.Time
	notice time.Duration
	grace  time.Duration // time for calls in flight after the notice
}

// end returns when requests in flight are cut.
func (t *stopTimes) end() time.Time { return t.began.Add(t.notice + t.grace) }

// since returns a time relative to the beginning of the stop, for the log, or "" for the zero time.
func (t *stopTimes) since(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.Sub(t.began).Round(time.Millisecond).String()
}

// stopRecord counts and logs what happens to requests during a planned stop.
type stopRecord struct {
	log      logr.Logger
	requests *prometheus.CounterVec // by result and route
	callers  caller.InFlight        // requests of callers and of local backend servers
	remote   caller.InFlight        // calls of other nodes for local endpoints

	times  atomic.Pointer[stopTimes] // nil before the stop
	closed atomic.Pointer[time.Time] // when the listener for callers was closed; nil before

	mu     sync.Mutex
	counts stopCounts
	isCut  bool
}

// stopCounts counts requests since the beginning of a stop.
type stopCounts struct {
	answered int
	refused  map[string]int            // by code
	failed   map[string]int            // by code
	cut      map[string]map[string]int // by route and reason
	cutTotal int
	calls    int // cut calls of other nodes
	late     int // requests that arrived after the listener was closed
}

func newStopRecord(log logr.Logger, requests *prometheus.CounterVec) *stopRecord {
	return &stopRecord{log: log, requests: requests, counts: stopCounts{
		refused: map[string]int{}, failed: map[string]int{}, cut: map[string]map[string]int{},
	}}
}

// begin starts the record; only the first call has an effect.
func (s *stopRecord) begin(now time.Time, notice, grace time.Duration) {
	s.times.CompareAndSwap(nil, &stopTimes{began: now, notice: notice, grace: grace})
}

// seconds returns the time since the stop began, 0 before.
func (s *stopRecord) seconds(now time.Time) float64 {
	t := s.times.Load()
	if t == nil {
		return 0
	}
	return now.Sub(t.began).Seconds()
}

// finished counts a request that ended during the stop.
func (s *stopRecord) finished(f caller.Finished) {
	if s.times.Load() == nil || f.Cut {
		return // cut counts a request that was cut
	}
	result := stopFailed
	switch {
	case f.Code == "":
		result = stopAnswered
	case f.Kind == outcome.NotRun:
		result = stopRefused
	}
	route := ""
	if f.Route != nil {
		route = f.Route.Name
	}
	s.requests.WithLabelValues(result, route).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLate(f.Began)
	switch result {
	case stopAnswered:
		s.counts.answered++
	case stopRefused:
		s.counts.refused[string(f.Code)]++
	default:
		s.counts.failed[string(f.Code)]++
	}
}

// countLate counts a request that arrived after the listener was closed. The caller holds the mutex.
func (s *stopRecord) countLate(began time.Time) {
	if c := s.closed.Load(); c != nil && began.After(*c) {
		s.counts.late++
	}
}

// listenerClosed records that the listener for callers was closed.
func (s *stopRecord) listenerClosed(now time.Time, connections int) {
	t := s.times.Load()
	if t == nil || !s.closed.CompareAndSwap(nil, &now) {
		return
	}
	s.log.Info("listener closed", "phase", "finish", "listener", "caller", "at", t.since(now), "left", t.end().Sub(now).Round(time.Millisecond).String(),
		"connections", connections, "running", s.callers.Len(), "calls", s.remote.Len())
}

// cut logs and counts the requests and calls that are still in flight at the end of the stop. It must be called before their
// connections are closed; only the first call has an effect.
func (s *stopRecord) cut(now time.Time) {
	t := s.times.Load()
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCut {
		return
	}
	s.isCut = true
	requests, calls := s.callers.Cut(), s.remote.Cut()
	s.log.Info("end of the stop reached", "phase", "end", "at", t.since(now), "running", len(requests), "calls", len(calls))
	s.logCut("caller", "request cut at the end of the stop", requests, now)
	s.logCut("backend", "call cut at the end of the stop", calls, now)
	for i := range requests {
		s.countCut(&requests[i])
	}
	s.counts.cutTotal, s.counts.calls = len(requests), len(calls)
}

// countCut counts a request that was cut. The caller holds the mutex.
func (s *stopRecord) countCut(p *caller.Progress) {
	s.requests.WithLabelValues(stopCut, p.Route).Inc()
	reasons := s.counts.cut[p.Route]
	if reasons == nil {
		reasons = map[string]int{}
		s.counts.cut[p.Route] = reasons
	}
	reasons[p.Reason()]++
	s.countLate(p.Began)
}

// logCut logs one line for each of the first maxCutLines requests.
func (s *stopRecord) logCut(name, message string, all []caller.Progress, now time.Time) {
	t, log := s.times.Load(), s.log.WithName(name)
	for _, p := range all[:min(len(all), maxCutLines)] {
		left, remaining := "", ""
		if !p.Sent.IsZero() {
			left = t.end().Sub(p.Sent).Round(time.Millisecond).String()
		}
		if !p.Deadline.IsZero() {
			remaining = p.Deadline.Sub(now).Round(time.Millisecond).String()
		}
		values := []any{"call", p.Call, "route", p.Route, "endpoint", p.Endpoint, "host", p.Host, "reason", p.Reason(), "began", t.since(p.Began)}
		if name == "caller" { // the node of an endpoint does not know the body and the attempts of a call
			values = append(values, "body", t.since(p.Body), "attempts", p.Attempts)
		}
		values = append(values, "sent", t.since(p.Sent), "left", left, "cut", t.since(now), "deadline", remaining, "answered", p.Answered)
		log.Info(message, values...)
	}
}

// stopped logs the summary of the stop. connections is the number of open connections of callers at the end of the notice.
func (s *stopRecord) stopped(now time.Time, connections int) {
	t := s.times.Load()
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counts
	closed := ""
	if at := s.closed.Load(); at != nil {
		closed = t.since(*at)
	}
	s.log.Info("stopped", "took", t.since(now), "notice", t.notice.String(), "grace", t.grace.String(), "closed", closed,
		"connections", connections, "answered", c.answered, "refused", c.refused, "failed", c.failed, "cut", c.cutTotal, "routes", c.cut,
		"calls", c.calls, "late", c.late, "unlogged", max(c.cutTotal-maxCutLines, 0)+max(c.calls-maxCutLines, 0))
}

// trackRemote adds a call of another node to the calls in flight.
func (s *stopRecord) trackRemote(m hop.Meta, host string, now time.Time) *caller.Request {
	r := &caller.Request{}
	s.remote.Add(r, caller.Progress{
		Call: m.Call, Route: m.Route, Endpoint: m.EndpointKey(), Host: host, Began: now, Body: now, Deadline: now.Add(m.Remaining),
	})
	return r
}

// trackedBody is the body of an answer to a call of another node; its call is in flight until it is closed.
type trackedBody struct {
	io.ReadCloser
	end func()
}

// Close closes the body and ends the call.
func (b *trackedBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// trackAnswer keeps the call in flight until its answer is passed on.
func trackAnswer(r *caller.Request, p *http.Response) {
	if p == nil || p.Body == nil || p.Body == http.NoBody {
		r.Remove()
		return
	}
	r.Update(func(s *caller.Progress) { s.Answered = true })
	p.Body = &trackedBody{ReadCloser: p.Body, end: sync.OnceFunc(r.Remove)}
}

// noticeTime returns the length of the notice of a planned stop.
func (h *Host) noticeTime() time.Duration { return cmp.Or(h.settings.CloseNotice, closeNoticeTime) }

// callerConnections returns the number of open connections of callers.
func (h *Host) callerConnections() int {
	s := h.servers["caller"]
	if s == nil {
		return 0
	}
	return s.Open()
}

func (h *Host) callersClosed(connections int) { h.stop.listenerClosed(time.Now(), connections) }

func (h *Host) cutRequests() { h.stop.cut(time.Now()) }

// cutCounts returns how many requests, and calls of other nodes, were cut.
func (s *stopRecord) cutCounts() (requests, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.cutTotal, s.counts.calls
}

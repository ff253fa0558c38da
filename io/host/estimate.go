package host

import (
	"maps"
	"math"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/capacity"
	"godwitspindle/core/routing"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
)

const (
	estimateLogInterval = 2 * time.Second // shortest time between two log lines about the estimate of an endpoint
	// loggedChange is the factor by which speed or limit must change since the last log line. Reported paces rise and fall by more
	// within a second, so that only a line in estimateLogInterval is written.
	loggedChange = 1.5
)

// estimateLog bounds the log lines about the estimate of one endpoint.
type estimateLog struct {
	mutex  sync.Mutex
	at     time.Time
	limit  int
	factor float64 // slowdown in the last log line, 0 before the first
}

// due reports whether an estimate differs much from the last one for which due reported true.
func (l *estimateLog) due(now time.Time, s admission.Estimate) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.at) < estimateLogInterval {
		return false
	}
	if l.factor > 0 && !differsBy(loggedChange, s.Slowdown, l.factor) && !differsBy(loggedChange, float64(s.Limit), float64(l.limit)) {
		return false
	}
	l.at, l.limit, l.factor = now, s.Limit, s.Slowdown
	return true
}

func differsBy(factor, a, b float64) bool { return math.Max(a, b) >= factor*math.Min(a, b) }

// loadReported passes the load that a local backend server reports to its admission gate.
func (h *Host) loadReported(a backend.Announcement, r capacity.Report) {
	if r.Invalid {
		h.metrics.InvalidReports.Inc()
		return
	}
	key, now := a.Key(), time.Now()
	l := h.endpoint(key)
	l.queue.report(r)
	s, ok := l.queue.gate.Estimate(now, "")
	if !ok || !l.estimate.due(now, s) {
		return
	}
	h.setCapacity(key, s)
	h.log.Info("endpoint's capacity changed", "endpoint", key, "limit", s.Limit, "slots", r.Slots, "speed", 1/s.Slowdown,
		"median", s.Median.String(), "pace", r.Pace, "running", r.Running, "waiting", r.Waiting)
}

// ownLoad returns the load of an endpoint on this host that reports its pace.
func (h *Host) ownLoad(endpoint, kind string, now time.Time) (routing.Load, bool) {
	h.mu.Lock()
	l := h.locals[endpoint]
	h.mu.Unlock()
	if l == nil {
		return routing.Load{}, false
	}
	s, ok := l.queue.gate.Estimate(now, kind)
	return routing.Load{Occupancy: s.Occupancy, Expected: s.Median}, ok
}

// reportsPace reports whether an endpoint on this host reports its pace.
func (h *Host) reportsPace(endpoint string) bool {
	_, ok := h.ownLoad(endpoint, "", time.Now())
	return ok
}

// setLoad states the load of a local endpoint in an answer, and the expected service time if the endpoint reports its pace.
func setLoad(p *http.Response, q *admissionQueue, kind string) {
	s, ok := q.gate.Estimate(time.Now(), kind)
	if !ok {
		hop.SetLoad(p, q.occupancy())
		return
	}
	hop.SetLoad(p, s.Occupancy)
	if s.Median > 0 {
		hop.SetExpected(p, s.Median)
	}
}

// measureCapacity sets the gauges for speed and capacity of the local endpoints that report their pace.
func (h *Host) measureCapacity(now time.Time) {
	h.mu.Lock()
	locals := maps.Clone(h.locals)
	h.mu.Unlock()
	h.metrics.Speed.Reset()
	h.metrics.Capacity.Reset()
	for k, l := range locals {
		s, ok := l.queue.gate.Estimate(now, "")
		if !ok {
			continue
		}
		h.setCapacity(k, s)
	}
}

func (h *Host) setCapacity(endpoint string, s admission.Estimate) {
	h.metrics.Speed.WithLabelValues(endpoint).Set(1 / s.Slowdown)
	h.metrics.Capacity.WithLabelValues(endpoint).Set(float64(s.Limit))
}

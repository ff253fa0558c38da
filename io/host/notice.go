package host

import (
	"fmt"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/notice"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
)

// invalidLimitLogInterval is the shortest time between two log lines about limits that are not valid.
const invalidLimitLogInterval = time.Second

// process identifies the process of a local endpoint as the agreed set does.
func (h *Host) process(a backend.Announcement) notice.Process {
	p := notice.Process{Endpoint: a.Key(), Incarnation: a.Incarnation}
	if p.Incarnation == 0 {
		p.Incarnation = h.incarnation
	}
	return p
}

// endpointNoticed handles what an answer of a local endpoint states about the endpoint.
func (h *Host) endpointNoticed(a backend.Announcement, n notice.Notice, sent time.Time) {
	p, now := h.process(a), time.Now()
	if n.Leaving && h.notices.Leave(p, now) {
		h.log.Info("endpoint states that it leaves", "endpoint", p.Endpoint, "incarnation", p.Incarnation)
	}
	if len(n.Limits) == 0 && n.Leaving {
		return // an endpoint that leaves need not repeat its limit
	}
	l := notice.Limit{At: now}
	if len(n.Limits) > 0 {
		rate, err := notice.ParseRate(n.Limits)
		if err != nil {
			h.limitInvalid(p, err)
			return
		}
		l.Rate = rate
	}
	e := h.endpoint(p.Endpoint)
	e.limitMutex.Lock()
	defer e.limitMutex.Unlock()
	if l.Rate > 0 {
		h.notices.State(p, l, now)
	} else if !h.notices.Withdraw(p, sent, now) {
		return
	}
	h.putInForce(e, p, l)
}

func (h *Host) limitInvalid(p notice.Process, err error) {
	h.metrics.InvalidLimits.Inc()
	h.invalidLimits.Do(func() {
		h.log.Info("limit not valid, keeping the one in force", "endpoint", p.Endpoint, "error", err.Error())
	})
}

// putInForce puts a limit of a local endpoint in force, and logs it and shows it in the metrics if the rate changes. It has no effect
// if the endpoint has another process by now. The caller holds e.limitMutex.
func (h *Host) putInForce(e *localEndpoint, p notice.Process, l notice.Limit) {
	h.mu.Lock()
	current := e.process == p
	h.mu.Unlock()
	previous := e.rate()
	if !current || l.Rate == 0 && previous == 0 {
		return
	}
	e.limit.Store(&l)
	if l.Rate == previous {
		return
	}
	e.queue.setRate(float64(l.Rate))
	h.log.Info("limit changed", "endpoint", p.Endpoint, "incarnation", p.Incarnation, "rate", float64(l.Rate), "previous", float64(previous),
		"from", limitSource(l), "age", time.Since(l.At).String())
	if l.Rate == 0 {
		h.metrics.Limit.DeleteLabelValues(p.Endpoint)
		return
	}
	h.metrics.Limit.WithLabelValues(p.Endpoint).Set(float64(l.Rate))
}

// rate returns the limit in force, 0 for none.
func (l *localEndpoint) rate() notice.Rate {
	if limit := l.limit.Load(); limit != nil {
		return limit.Rate
	}
	return 0
}

// adoptLimit puts a limit that a calling node tells in force, until this node has read an answer of the endpoint. Without it, a node
// that has just restarted would let as many calls through as the endpoint has slots.
func (h *Host) adoptLimit(m hop.Meta) {
	if m.Limit.Rate <= 0 {
		return
	}
	now := time.Now()
	p := notice.Process{Endpoint: m.EndpointKey(), Incarnation: m.Limit.Incarnation}
	l := notice.Limit{Rate: notice.Rate(m.Limit.Rate), At: now.Add(-m.Limit.Age), From: m.Limit.Node}
	if !h.notices.Adopt(p, l, now) {
		return
	}
	h.mu.Lock()
	e := h.locals[p.Endpoint]
	h.mu.Unlock()
	if e == nil {
		return // the limit is put in force when the process announces itself
	}
	e.limitMutex.Lock()
	defer e.limitMutex.Unlock()
	h.putInForce(e, p, l)
}

// processChanged puts the limit that the new process of a local endpoint has stated in force, or none.
func (h *Host) processChanged(e *localEndpoint, p notice.Process) {
	e.limitMutex.Lock()
	defer e.limitMutex.Unlock()
	l, _ := h.notices.Limit(p, time.Now())
	h.putInForce(e, p, l)
}

// knownLimit returns what a call to an endpoint on another host tells about the limit of the endpoint.
func (h *Host) knownLimit(e config.Endpoint) hop.KnownLimit {
	now := time.Now()
	l, ok := h.notices.Limit(notice.Process{Endpoint: e.Key(), Incarnation: e.Incarnation}, now)
	if !ok {
		return hop.KnownLimit{}
	}
	return hop.KnownLimit{Rate: float64(l.Rate), Age: now.Sub(l.At), Incarnation: e.Incarnation, Node: h.settings.Name}
}

// noticesObserved records what an answer from an endpoint on another host says about the endpoint.
func (h *Host) noticesObserved(endpoint string, o caller.Observation) {
	p := notice.Process{Endpoint: endpoint, Incarnation: o.Incarnation}
	if o.Leaving {
		h.notices.Leave(p, o.At)
		h.picker.Leave(endpoint, o.Incarnation)
	}
	switch {
	case o.Limit > 0:
		h.notices.State(p, notice.Limit{Rate: notice.Rate(o.Limit), At: o.At}, o.At)
	case o.Failure == nil && !o.Leaving:
		h.notices.Withdraw(p, o.At.Add(-o.Took), o.At)
	}
}

// explainLimit adds to a refusal how old the limit of the endpoint is and from whom it was learned.
func (l *localEndpoint) explainLimit(f *outcome.Failure) {
	limit := l.limit.Load()
	if l.rate() == 0 {
		return
	}
	source := "in an answer of the endpoint"
	if limit.From != "" {
		source = "as node " + limit.From + " tells"
	}
	f.Detail += fmt.Sprintf(" The limit was stated %s ago, %s.", time.Since(limit.At).Round(time.Millisecond), source)
}

// limitSource names the source of a limit for logs: a node, or the endpoint itself.
func limitSource(l notice.Limit) string {
	if l.From == "" {
		return "endpoint"
	}
	return l.From
}

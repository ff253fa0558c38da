package host

import (
	"time"

	"godwitspindle/core/notice"
	"godwitspindle/io/backend"
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
	if len(n.Limits) == 0 {
		if n.Leaving {
			return // an endpoint that leaves need not repeat its limit
		}
		if previous := h.notices.Withdraw(p, sent, now); previous > 0 {
			h.limitChanged(p, previous, notice.Limit{At: now})
		}
		return
	}
	rate, err := notice.ParseRate(n.Limits)
	if err != nil {
		h.metrics.InvalidLimits.Inc()
		h.invalidLimits.Do(func() {
			h.log.Info("limit not valid, keeping the one in force", "endpoint", p.Endpoint, "error", err.Error())
		})
		return
	}
	if previous := h.notices.State(p, rate, now); previous != rate {
		h.limitChanged(p, previous, notice.Limit{Rate: rate, At: now})
	}
}

// limitChanged logs a changed limit of a local endpoint and shows it in the metrics.
func (h *Host) limitChanged(p notice.Process, previous notice.Rate, l notice.Limit) {
	h.log.Info("limit changed", "endpoint", p.Endpoint, "incarnation", p.Incarnation, "rate", float64(l.Rate), "previous", float64(previous),
		"from", limitSource(l.From))
	if l.Rate == 0 {
		h.metrics.Limit.DeleteLabelValues(p.Endpoint)
		return
	}
	h.metrics.Limit.WithLabelValues(p.Endpoint).Set(float64(l.Rate))
}

// limitSource names the source of a limit for logs: a node, or the endpoint itself.
func limitSource(node string) string {
	if node == "" {
		return "endpoint"
	}
	return node
}

package host

import (
	"net/http"
	"os"
	"sync"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/routing"
	"godwitspindle/io/caller"
)

// countCall records the outcome of a call at the node that received it from its caller.
func (h *Host) countCall(f caller.Finished) {
	h.metrics.Calls.WithLabelValues(string(f.Kind), string(f.Code), classLabel(f.Route)).Inc()
	if f.Customer != "" {
		h.metrics.CustomerRequests.WithLabelValues(h.customerLabels.of(f.Customer), resultLabel(f.Kind)).Inc()
	}
	h.stop.finished(f)
	h.nested.finished(f)
	h.metrics.RequestTime.WithLabelValues(string(f.Kind), classLabel(f.Route)).Observe(f.Took.Seconds())
	if f.Overhead >= 0 {
		h.metrics.AddedTime.Observe(f.Overhead.Seconds())
	}
}

// maxCustomerLabels bounds the series of customers in the metrics of one process.
const maxCustomerLabels = 200

// customerLabels returns the metrics label of customers: their names, and one label for all beyond maxCustomerLabels.
type customerLabels struct {
	mu    sync.Mutex
	names map[string]bool
}

func (l *customerLabels) of(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[name] {
		return name
	}
	if len(l.names) >= maxCustomerLabels {
		return "(other)" // not a valid name
	}
	if l.names == nil {
		l.names = make(map[string]bool)
	}
	l.names[name] = true
	return name
}

func resultLabel(k outcome.Kind) string {
	switch k {
	case outcome.None:
		return "served"
	case outcome.NotRun:
		return "refused"
	case outcome.Unknown, outcome.Lost:
	}
	return "failed"
}

func classLabel(r *config.Route) string {
	if r == nil {
		return ""
	}
	switch routing.ClassOf(r) {
	case routing.NonIdempotent:
		return "once"
	case routing.LateTolerant:
		return "slow"
	case routing.Idempotent:
	}
	return "read"
}

// metricsHandler sets the gauges for the confirmation age, queued calls, the planned stop, quarantine and the use of limits at each
// scrape, then serves all metrics.
func (h *Host) metricsHandler() http.Handler {
	next := h.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.metrics.ConfirmationAge.Set(h.confirmationAge().Seconds())
		h.metrics.Queued.Set(float64(h.queued()))
		h.metrics.StopTime.Set(h.stop.seconds(time.Now()))
		h.metrics.Quarantine.Set(float64(h.holder.View().Table.Quarantined(time.Now())))
		h.measureLimitUse(time.Now())
		h.quotas.measure(time.Now())
		h.nested.measure(time.Now())
		h.measureCapacity(time.Now())
		next.ServeHTTP(w, r)
	})
}

// measureLimitUse sets the gauge for the use of limits, for the local endpoints that state one.
func (h *Host) measureLimitUse(now time.Time) {
	h.metrics.LimitUse.Reset()
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, l := range h.locals {
		if l.rate() > 0 {
			h.metrics.LimitUse.WithLabelValues(k).Set(l.queue.gate.Started(now))
		}
	}
}

func (h *Host) queued() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, l := range h.locals {
		n += l.queue.queued()
	}
	return n
}

// timedSync returns a file sync that passes its duration in seconds to observe.
func timedSync(observe func(seconds float64)) func(f *os.File) error {
	return func(f *os.File) error {
		begin := time.Now()
		err := f.Sync()
		observe(time.Since(begin).Seconds())
		return err
	}
}

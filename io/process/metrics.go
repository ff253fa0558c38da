package process

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds the collectors of one process, on a registry of its own so that a demo can run many processes in one.
type Metrics struct {
	Registry *prometheus.Registry

	Calls         *prometheus.CounterVec   // outcome, code, class
	Requests      *prometheus.HistogramVec // seconds; outcome, class
	Added         prometheus.Histogram     // seconds added to a call by the mesh
	Retries       *prometheus.CounterVec   // kind: retry, repick
	Crossed       prometheus.Counter       // answers dropped because their call id did not match
	Running       prometheus.Gauge         // calls admitted and running at this node's backend server
	Queued        prometheus.Gauge         // calls waiting for a slot
	Refusals      *prometheus.CounterVec   // code
	Claims        *prometheus.CounterVec   // state
	Quarantine    prometheus.Gauge         // fingerprints in quarantine
	ControlBytes  *prometheus.CounterVec   // message, direction: sent, received
	Convergence   prometheus.Histogram     // seconds from accepted to in force everywhere
	Version       prometheus.Gauge         // snapshot version in force on this node
	Age           prometheus.Gauge         // seconds since the last quorum confirmation; negative when never
	Whole         prometheus.Counter       // full snapshots taken
	Deltas        prometheus.Counter       // deltas taken
	Given         prometheus.Counter       // full snapshots given to other nodes
	Mismatches    prometheus.Counter       // digest mismatches
	Commits       prometheus.Counter       // commands of the agreed log applied
	Term          prometheus.Gauge         // current term
	Leader        prometheus.Gauge         // 1 on the leader
	Sync          prometheus.Histogram     // seconds of one fsync of the log
	RefusedOpens  *prometheus.CounterVec   // listener: connections closed over the limit
	OperatorCalls *prometheus.CounterVec   // path, status
	Edits         *prometheus.CounterVec   // form: edit, whole, mismatch
}

const space = "godwitspindle"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: space, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: space, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: space, Name: name, Help: help})
}

func histogram(name, help string, start, factor float64, count int) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: space, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(start, factor, count),
	})
}

// NewMetrics returns registered collectors.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Calls:    counters("calls_total", "Calls answered, by outcome (empty for an answer of the backend server), code and class.", "outcome", "code", "class"),
		Requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: space, Name: "request_seconds", Help: "Time from a request's arrival to its answer, by outcome and class.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"outcome", "class"}),
		Added:        histogram("added_seconds", "Time until the head of an answer that the backend server did not take.", 0.00005, 2, 14),
		Retries:      counters("retries_total", "Attempts after the first, by kind (retry or repick).", "kind"),
		Crossed:      counter("crossed_answers_total", "Answers dropped because their call id did not match."),
		Running:      gauge("admission_running", "Calls running at the backend server."),
		Queued:       gauge("admission_queued", "Calls waiting for a slot."),
		Refusals:     counters("admission_refused_total", "Calls refused by admission, by code.", "code"),
		Claims:       counters("claims_total", "Answers to claims, by state.", "state"),
		Quarantine:   gauge("quarantine_fingerprints", "Requests in quarantine."),
		ControlBytes: counters("control_bytes_total", "Bytes of distribution, by message and direction.", "message", "direction"),
		Convergence:  histogram("convergence_seconds", "Time from an accepted change to in force on every node.", 0.01, 2, 14),
		Version:      gauge("snapshot_version", "Configuration version in force."),
		Age:          gauge("confirmation_age_seconds", "Time since the last quorum confirmation; negative when never."),
		Whole:        counter("full_transfers_total", "Whole snapshots taken."),
		Deltas:       counter("delta_transfers_total", "Deltas taken."),
		Given:        counter("full_transfers_given_total", "Whole snapshots given to other nodes."),
		Mismatches:   counter("digest_mismatches_total", "Deltas whose digest did not match."),
		Commits:      counter("agreement_commits_total", "Commands of the agreed log that this replica applied, those read back at its start included."),
		Term:         gauge("agreement_term", "Current term of the agreed log."),
		Leader:       gauge("agreement_leader", "1 when this replica leads."),
		Sync:         histogram("fsync_seconds", "Time of one fsync of the agreed log.", 0.0001, 2, 15),
		RefusedOpens: counters("connections_refused_total", "Connections closed over a listener's limit.", "listener"),

		OperatorCalls: counters("operator_requests_total", "Requests of operators, by path and status.", "path", "status"),
		Edits:         counters("content_changes_total", "Whole contents proposed, by form in the log: edit, whole, or mismatch for an edit sent again whole.", "form"),
	}
	m.Registry.MustRegister(
		m.Calls, m.Requests, m.Added, m.Retries, m.Crossed, m.Running, m.Queued, m.Refusals, m.Claims, m.Quarantine,
		m.ControlBytes, m.Convergence, m.Version, m.Age, m.Whole, m.Deltas, m.Given, m.Mismatches,
		m.Commits, m.Term, m.Leader, m.Sync, m.RefusedOpens, m.OperatorCalls, m.Edits,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Handler serves the collectors in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

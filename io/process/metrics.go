package process

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds the collectors of one process. They have their own registry, so that a demo can run many processes in one.
type Metrics struct {
	Registry *prometheus.Registry

	Calls              *prometheus.CounterVec   // answered calls, by outcome, code and class
	RequestTime        *prometheus.HistogramVec // seconds from a request's arrival to its answer, by outcome and class
	AddedTime          prometheus.Histogram     // seconds added to a call by the mesh
	Retries            *prometheus.CounterVec   // attempts after the first, by kind: retry or repick
	CrossedAnswers     prometheus.Counter       // answers dropped because their call id did not match
	Running            prometheus.Gauge         // calls running at a local backend server
	Queued             prometheus.Gauge         // calls waiting for a slot
	Refusals           *prometheus.CounterVec   // calls refused by admission or quarantine, by code
	Sent               *prometheus.CounterVec   // calls admitted to a local backend server, by kind: first, resent or nested
	NestedCalls        *prometheus.CounterVec   // calls that runs at local endpoints made, by service and result
	NestedShare        *prometheus.GaugeVec     // share of parents that are admitted, by the service that lacks room for their calls
	Limit              *prometheus.GaugeVec     // limits in force that local endpoints state, in requests per second, by endpoint
	LimitUse           *prometheus.GaugeVec     // calls per second that started at endpoints with a limit, in the last 4 s, by endpoint
	InvalidLimits      prometheus.Counter       // limits of local endpoints that are not valid
	Speed              *prometheus.GaugeVec     // estimated current to usual speed of local endpoints that report their pace, by endpoint
	Capacity           *prometheus.GaugeVec     // requests that those endpoints are estimated to handle well at once, by endpoint
	InvalidReports     prometheus.Counter       // load reports of local endpoints that are not valid
	Claims             *prometheus.CounterVec   // answers to claims, by state
	Quarantine         prometheus.Gauge         // fingerprints in quarantine
	ControlBytes       *prometheus.CounterVec   // bytes between nodes, by message and direction (sent or received)
	RolloutAnswers     *prometheus.CounterVec   // results of services with a running rollout, by service, release (old or new) and result
	RolloutShare       *prometheus.GaugeVec     // share of the new release of each service's running rollout, on the leader
	RolloutSteps       *prometheus.CounterVec   // steps that this replica committed as the leader, by service and state
	Convergence        prometheus.Histogram     // seconds from acceptance until in force on every node
	Version            prometheus.Gauge         // snapshot version in force on this node
	ConfirmationAge    prometheus.Gauge         // seconds since the last quorum confirmation; negative if there was none
	FullTransfers      prometheus.Counter       // whole snapshots received
	DeltaTransfers     prometheus.Counter       // deltas received
	FullTransfersSent  prometheus.Counter       // whole snapshots sent to other nodes
	DigestMismatches   prometheus.Counter       // deltas whose digest did not match
	Commits            prometheus.Counter       // commands of the replicated log that were applied
	Term               prometheus.Gauge         // current term of the replicated log
	Leader             prometheus.Gauge         // 1 on the leader
	Voters             *prometheus.GaugeVec     // voters of the replicated log as the leader sees them, by state: answering, silent or unheard; none on other replicas
	Learners           prometheus.Gauge         // learners that wait to become voters; 0 on a replica that does not lead
	Losses             prometheus.Gauge         // voters that may still be lost; -1 on a replica that does not lead
	PromisedLosses     prometheus.Gauge         // losses that the settings promise; -1 on a replica that does not lead
	FsyncTime          prometheus.Histogram     // seconds of one fsync of the log
	StopRequests       *prometheus.CounterVec   // requests since a planned stop began, by result (answered, refused, failed or cut) and route
	StopTime           prometheus.Gauge         // seconds since a planned stop began, 0 before
	RefusedConnections *prometheus.CounterVec   // connections closed above the limit of their listener, by listener
	OperatorRequests   *prometheus.CounterVec   // requests of operators, by path and status
	QuotaGranted       prometheus.Counter       // tokens of customers' quotas that were granted to this node
	QuotaSpent         *prometheus.CounterVec   // requests charged to a quota, by what admitted them: token, or fallback without a coordinator
	QuotaReturned      prometheus.Counter       // requests given back to a quota, since they ended without having run
	QuotaRefused       prometheus.Counter       // requests over a quota
	QuotaFallback      prometheus.Gauge         // 1 while no coordinator of quotas answers
	QuotaAge           prometheus.Gauge         // seconds since the last answered request to the coordinator was sent; negative if there was none
	ContentChanges     *prometheus.CounterVec   // complete contents proposed, by form: edit, whole, or mismatch (edit resent whole)

	CustomerRequests *prometheus.CounterVec // requests of customers, by customer and result: served, refused or failed
}

const namespace = "godwitspindle"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, start, factor float64, count int) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(start, factor, count),
	})
}

// NewMetrics returns new collectors, registered with their own registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Calls:    counters("calls_total", "Calls answered, by outcome (empty for an answer of the backend server), code and class.", "outcome", "code", "class"),
		RequestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer, by outcome and class.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"outcome", "class"}),
		AddedTime:      histogram("added_seconds", "Time until the head of an answer that the backend server did not take.", 0.00005, 2, 14),
		Retries:        counters("retries_total", "Attempts after the first, by kind (retry or repick).", "kind"),
		CrossedAnswers: counter("crossed_answers_total", "Answers dropped because their call id did not match."),
		Running:        gauge("admission_running", "Calls running at the backend server."),
		Queued:         gauge("admission_queued", "Calls waiting for a slot."),
		Refusals:       counters("admission_refused_total", "Calls refused by admission, by code.", "code"),
		Sent:           counters("admission_sent_total", "Calls admitted to a backend server, by kind (first, resent by the caller, or nested).", "kind"),
		NestedCalls:    counters("nested_calls_total", "Calls that runs at local endpoints made, by service and result (served, refused, late or failed).", "service", "result"),
		NestedShare:    gauges("nested_admitted_share", "Share of the requests that call a service which are admitted; absent while it is 1.", "service"),
		Limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "limit_requests_per_second", Help: "Limit in force that the endpoint states.",
		}, []string{"endpoint"}),
		LimitUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "limit_started_per_second", Help: "Calls started per second in the last 4 s at an endpoint that states a limit.",
		}, []string{"endpoint"}),
		Speed:              gauges("capacity_speed", "Estimated current speed of an endpoint that reports its pace, 1 as usual.", "endpoint"),
		Capacity:           gauges("capacity_requests", "Requests that an endpoint that reports its pace is estimated to handle well at once.", "endpoint"),
		InvalidReports:     counter("load_reports_invalid_total", "Answers with a load report that is not valid."),
		InvalidLimits:      counter("limits_invalid_total", "Answers with a limit that is not valid."),
		Claims:             counters("claims_total", "Answers to claims, by state.", "state"),
		Quarantine:         gauge("quarantine_fingerprints", "Requests in quarantine."),
		ControlBytes:       counters("control_bytes_total", "Bytes of distribution, by message and direction.", "message", "direction"),
		RolloutAnswers:     counters("rollout_answers_total", "Results of services with a running rollout, by service, release (old or new) and result.", "service", "release", "result"),
		RolloutShare:       gauges("rollout_share", "Share of the new release of a running rollout, by service; only on the leader.", "service"),
		RolloutSteps:       counters("rollout_steps_total", "Steps of rollouts that this replica committed as the leader, by service and state.", "service", "state"),
		Convergence:        histogram("convergence_seconds", "Time from an accepted change to in force on every node.", 0.01, 2, 14),
		Version:            gauge("snapshot_version", "Configuration version in force."),
		ConfirmationAge:    gauge("confirmation_age_seconds", "Time since the last quorum confirmation; negative when never."),
		FullTransfers:      counter("full_transfers_total", "Whole snapshots taken."),
		DeltaTransfers:     counter("delta_transfers_total", "Deltas taken."),
		FullTransfersSent:  counter("full_transfers_given_total", "Whole snapshots given to other nodes."),
		DigestMismatches:   counter("digest_mismatches_total", "Deltas whose digest did not match."),
		Commits:            counter("agreement_commits_total", "Commands of the agreed log that this replica applied, those read back at its start included."),
		Term:               gauge("agreement_term", "Current term of the agreed log."),
		Leader:             gauge("agreement_leader", "1 when this replica leads."),
		Voters:             gauges("agreement_voters", "Voters as the leader sees them, by state: answering, silent, or unheard since its term began.", "state"),
		Learners:           gauge("agreement_learners", "Learners that wait to become voters; 0 when this replica does not lead."),
		Losses:             gauge("agreement_losses", "Voters that may still be lost while a majority answers; -1 when this replica does not lead."),
		PromisedLosses:     gauge("agreement_promised_losses", "Voters that the group is meant to bear losing; -1 when this replica does not lead."),
		FsyncTime:          histogram("fsync_seconds", "Time of one fsync of the agreed log.", 0.0001, 2, 15),
		StopRequests:       counters("stop_requests_total", "Requests since a planned stop began, by result (answered, refused, failed or cut) and route.", "result", "route"),
		StopTime:           gauge("stop_seconds", "Time since a planned stop began; 0 before."),
		RefusedConnections: counters("connections_refused_total", "Connections closed over a listener's limit.", "listener"),

		OperatorRequests: counters("operator_requests_total", "Requests of operators, by path and status.", "path", "status"),
		QuotaGranted:     counter("quota_granted_total", "Tokens of customers' quotas granted to this node."),
		QuotaSpent:       counters("quota_spent_total", "Requests charged to a quota, by what admitted them (token, or fallback without a coordinator).", "by"),
		QuotaReturned:    counter("quota_returned_total", "Requests given back to a quota, since they ended without having run."),
		QuotaRefused:     counter("quota_refused_total", "Requests over a customer's quota."),
		QuotaFallback:    gauge("quota_fallback", "1 while no coordinator of quotas answers this node."),
		QuotaAge:         gauge("quota_grant_age_seconds", "Time since the last answered request for tokens; negative when never."),
		ContentChanges:   counters("content_changes_total", "Whole contents proposed, by form in the log: edit, whole, or mismatch for an edit sent again whole.", "form"),

		CustomerRequests: counters("customer_requests_total", "Requests of customers, by customer ((other) beyond 200 names) and result: served, refused (not run) or failed.", "customer", "result"),
	}
	m.Registry.MustRegister(
		m.Calls, m.RequestTime, m.AddedTime, m.Retries, m.CrossedAnswers, m.Running, m.Queued, m.Refusals, m.Sent, m.NestedCalls, m.NestedShare, m.Limit, m.LimitUse, m.InvalidLimits, m.Speed, m.Capacity, m.InvalidReports, m.Claims, m.Quarantine,
		m.ControlBytes, m.RolloutAnswers, m.RolloutShare, m.RolloutSteps, m.Convergence, m.Version, m.ConfirmationAge, m.FullTransfers, m.DeltaTransfers, m.FullTransfersSent, m.DigestMismatches,
		m.StopRequests, m.StopTime, m.Commits, m.Term, m.Leader, m.Voters, m.Learners, m.Losses, m.PromisedLosses, m.FsyncTime, m.RefusedConnections, m.OperatorRequests, m.ContentChanges,
		m.CustomerRequests,
		m.QuotaGranted, m.QuotaSpent, m.QuotaReturned, m.QuotaRefused, m.QuotaFallback, m.QuotaAge,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

package host

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/rollout"
	"godwitspindle/core/routing"
	"godwitspindle/core/wire"
	"godwitspindle/io/caller"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

const (
	// contactShare is the part of the rollback time after which a node that gets no answer from a leader sends nothing more to the new
	// release. The rest is for requests that were already assigned.
	contactShare = 0.8
	// maxCountedRoutes limits the routes of a service that a node counts separately; all others are counted together.
	maxCountedRoutes = 64
	// goldenRatio is 2^64 divided by the golden ratio; its multiples are spread evenly modulo 2^64 (Knuth, TAOCP volume 3, 6.4).
	goldenRatio = 0x9e3779b97f4a7c15
)

// rolloutParts holds what rollouts need from the process.
type rolloutParts struct {
	table    func() *config.RoutingTable
	report   func(context.Context, *rpc.OutcomesRequest) (*rpc.OutcomesResponse, error)
	now      func() time.Time
	node     string
	identity uint64        // incarnation of the node
	rollback time.Duration // maximum time for which requests are still sent to a bad release
	metrics  *process.Metrics
	log      logr.Logger
}

// rollouts assigns the requests of this node to the old and the new release of services with a rollout, counts their results and
// reports the counts to the leader.
type rollouts struct {
	rolloutParts
	changed chan struct{} // signaled when a version comes into force
	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	services map[string]*serviceRollout // by name, of services with a running rollout
}

// serviceRollout is one running rollout as this node sees it.
type serviceRollout struct {
	newest   *wire.Rollout // newest state known, from the version in force or from the leader's answer
	sequence uint64        // number of the last request, by which requests are spread over the releases
	counts   map[rollout.Key]rollout.Counts
	acked    map[rollout.Key]uint64 // sums of the counts in the last report that was answered
	missed   uint64                 // requests assigned to the new release that found no usable endpoint of it
	// pending counts the requests that wait for an answer, by endpoint.
	pending map[string]int
	stopped bool      // this node sends nothing more to the new release, because it saw too many failures
	silent  bool      // no leader has answered for contactTimeout, and this was logged
	urgent  bool      // the next report is due after minReportInterval
	heard   time.Time // time at which the last answered report was sent, or of the order
	sent    time.Time // time of the last report
}

func newRollouts(p rolloutParts) *rollouts {
	r := &rollouts{rolloutParts: p, changed: make(chan struct{}, 1), services: map[string]*serviceRollout{}}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// start begins to report to the leader.
func (r *rollouts) start() { r.wait.Go(func() { r.run(r.ctx) }) }

// close ends the reports.
func (r *rollouts) close() {
	r.stop()
	r.wait.Wait()
}

// newer returns the newer of two states of a service's rollouts.
func newer(a, b *wire.Rollout) *wire.Rollout {
	if a.GetOrder() > b.GetOrder() || a.GetOrder() == b.GetOrder() && a.GetStep() >= b.GetStep() {
		return a
	}
	return b
}

// viewLocked returns this node's view of a service's rollout and creates it if needed, or nil if none is running; the caller holds the
// mutex.
func (r *rollouts) viewLocked(name string, agreed *wire.Rollout, now time.Time) *serviceRollout {
	s := r.services[name]
	if s != nil {
		agreed = newer(agreed, s.newest)
	}
	if !rollout.Running(agreed) {
		return nil
	}
	if s == nil || s.newest.GetOrder() != agreed.GetOrder() {
		s = &serviceRollout{
			sequence: rand.Uint64(), counts: map[rollout.Key]rollout.Counts{}, acked: map[rollout.Key]uint64{}, pending: map[string]int{}, heard: now,
			sent: now.Add(-rand.N(reportInterval)), // nodes report at different times
		}
		r.services[name] = s
	}
	s.newest = agreed
	return s
}

// assign returns the side of one request to a service, and whether a rollout of it is running.
func (r *rollouts) assign(service *config.Service, now time.Time) (side routing.Side, running bool) {
	if service.Rollout == nil {
		return routing.AnyRelease, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.viewLocked(service.Name, service.Rollout, now)
	if s == nil {
		return endedSide(newer(service.Rollout, r.newestLocked(service.Name))), false
	}
	s.sequence++
	if s.stopped || now.Sub(s.heard) > r.contactTimeout() || spread(s.sequence) >= uint64(s.newest.GetShare()) {
		return routing.OldReleases, true
	}
	return routing.NewRelease, true
}

// spread maps consecutive numbers evenly to 0 to rollout.Whole-1 (Fibonacci hashing), so that a share is met within a few requests and
// without randomness.
func spread(n uint64) uint64 { return n * goldenRatio >> 32 * rollout.Whole >> 32 }

func (r *rollouts) newestLocked(name string) *wire.Rollout {
	if s := r.services[name]; s != nil {
		return s.newest
	}
	return nil
}

func endedSide(r *wire.Rollout) routing.Side {
	if r.GetState() == wire.RolloutState_ROLLOUT_STATE_COMPLETED {
		return routing.NewRelease
	}
	return routing.OldReleases
}

// contactTimeout returns the time without an answer of a leader after which a node sends nothing more to the new release.
func (r *rollouts) contactTimeout() time.Duration {
	return time.Duration(contactShare * float64(r.rollback))
}

// decide chooses an endpoint of the side that the request is assigned to. If the new release has no usable one, the old ones take
// the request; the new release never gets more than its share.
func (r *rollouts) decide(c routing.Call, pick func(routing.Call) (routing.Choice, error)) (routing.Choice, error) {
	side, running := r.assign(c.Service, c.Now)
	c.Side = side
	choice, err := pick(c)
	if side != routing.NewRelease || err == nil && (!running || choice.Reason != routing.ReasonLastResort) {
		return choice, err
	}
	if !running {
		return r.decideCompleted(c, choice, err, pick)
	}
	if len(c.Tried) == 0 {
		r.countMissed(c.Service.Name)
	}
	c.Side = routing.OldReleases
	return pick(c)
}

// decideCompleted chooses an endpoint of any release if the release of a completed rollout has none at all: a release that replaced it
// without an order must still be reachable.
func (r *rollouts) decideCompleted(c routing.Call, choice routing.Choice, err error, pick func(routing.Call) (routing.Choice, error)) (routing.Choice, error) {
	for i := range c.Service.Endpoints {
		if c.Service.Endpoints[i].Release == c.Service.Rollout.GetRelease() {
			return choice, err
		}
	}
	c.Side = routing.AnyRelease
	return pick(c)
}

func (r *rollouts) countMissed(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		s.missed++
	}
}

// serviceOf returns the service in the key SERVICE/NAME of an endpoint.
func serviceOf(endpoint string) string {
	name, _, _ := strings.Cut(endpoint, "/")
	return name
}

// begin counts an attempt that is sent to an endpoint.
func (r *rollouts) begin(endpoint string) {
	name := serviceOf(endpoint)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		s.pending[endpoint]++
	}
}

// endLocked ends an attempt that begin counted; one that began before the rollout is not counted. The caller holds the mutex.
func (s *serviceRollout) endLocked(endpoint string) {
	if s.pending[endpoint]--; s.pending[endpoint] <= 0 {
		delete(s.pending, endpoint)
	}
}

// pendingOld returns the number of requests that wait for an answer of another release than the new one.
func (s *serviceRollout) pendingOld(t *config.RoutingTable) uint32 {
	n := 0
	for endpoint, waiting := range s.pending {
		if e, ok := t.Endpoint(endpoint); !ok || e.Release != s.newest.GetRelease() {
			n += waiting
		}
	}
	return uint32(n)
}

// observe counts the result of an attempt. A request that an endpoint of the new release refused without running it counts as missed;
// refusals by other endpoints do not count. A request that its caller gave up counts as an answer that took as long, since a
// release that answers too late or never would otherwise show no fault.
func (r *rollouts) observe(endpoint string, o caller.Observation) {
	name := serviceOf(endpoint)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return
	}
	s.endLocked(endpoint)
	isNew := o.Release == s.newest.GetRelease()
	if o.Failure != nil && o.Failure.Kind == outcome.NotRun {
		if isNew {
			s.missed++
		}
		return
	}
	k := rollout.Key{Route: o.Route, New: isNew}
	if _, known := s.counts[k]; !known && len(s.counts) >= 2*maxCountedRoutes {
		k.Route = ""
	}
	failed := o.Failure != nil && o.Failure.Code != outcome.Canceled || o.Status >= 500
	c := s.counts[k]
	c.Record(o.Took, failed)
	s.counts[k] = c
	r.metrics.RolloutAnswers.WithLabelValues(name, sideLabel(isNew), answerLabel(failed)).Inc()
	if !isNew || !failed {
		return
	}
	s.urgent = true
	if !s.stopped && rollout.Failing(s.counts) {
		s.stopped = true
		r.log.Info("new release fails, nothing more is sent to it", "service", name, "release", s.newest.GetRelease(), "route", o.Route,
			"failures", c.Failures, "answers", c.Sum())
	}
}

func sideLabel(isNew bool) string {
	if isNew {
		return "new"
	}
	return "old"
}

func answerLabel(failed bool) string {
	if failed {
		return "failed"
	}
	return "answered"
}

// versionChanged makes run look for running rollouts.
func (r *rollouts) versionChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

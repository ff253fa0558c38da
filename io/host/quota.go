package host

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/quota"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

const (
	// quotaTimeout is the time for one request to the coordinator. A lost leader must be noticed before the tokens of a node are used up.
	quotaTimeout = 300 * time.Millisecond
	// leaderCheck is the time between two checks for a new leader, and for the first quota in a version.
	leaderCheck = 200 * time.Millisecond
	// refusalLines and refusalBurst bound the log lines about refused requests of one node.
	refusalLines rate.Limit = 20
	refusalBurst int        = 20
)

// quotaParts are the parts of the process that quotas use.
type quotaParts struct {
	name     string
	local    *quota.Local
	table    func() *config.RoutingTable
	leader   func() string                            // name of the leader, if known
	address  func(name string) (netip.AddrPort, bool) // of a replica
	replicas func() []netip.AddrPort
	standing func() quota.Standing // nil without a control replica
	clients  func() *peer.Clients
	metrics  *process.Metrics
	log      logr.Logger
}

// quotas enforces the quotas of customers at this node and, on a replica, coordinates them for all nodes.
type quotas struct {
	quotaParts
	coordinator *quota.Coordinator
	limited     atomic.Bool // the table in force has a customer with a quota
	wake        chan struct{}
	stop        context.CancelFunc
	done        chan struct{}
	lines       *rate.Limiter
	unlogged    atomic.Uint64 // refusals without a line since the last line

	// The fields below are used only by the loop.
	known    string // leader at the last check
	hint     string // leader that a replica named
	failures int    // requests in a row that got no grants
}

func newQuotas(bounds process.Quota, p quotaParts) *quotas {
	q := &quotas{quotaParts: p, wake: make(chan struct{}, 1), lines: rate.NewLimiter(refusalLines, refusalBurst)}
	if bounds == (process.Quota{}) { // settings that were built in code
		bounds = process.DefaultQuota()
	}
	q.coordinator = quota.NewCoordinator(q.limit, quota.WithBounds(quota.Bounds(bounds)))
	return q
}

// hostQuotas returns the quotas of a process.
func (h *Host) hostQuotas() *quotas {
	p := quotaParts{
		name: h.settings.Name, table: func() *config.RoutingTable { return h.holder.View().Table },
		leader: h.leader, address: h.directory.address, replicas: h.replicaAddresses,
		clients: func() *peer.Clients { return h.clients }, metrics: h.metrics, log: h.log.WithName("quota"),
	}
	nodes := func() int { return len(p.table().Nodes()) }
	p.local = quota.NewLocal(h.settings.Name, h.incarnation, quota.WithNodes(nodes), quota.WithRandom(rand.Float64))
	if h.settings.IsReplica() {
		p.standing = func() quota.Standing {
			st := h.control.replica.Status()
			return quota.Standing{
				Leads: st.Role == agreement.Leader, Term: st.Term, Leader: agreement.Name(st.Leader),
				Confirmed: h.control.replica.Confirmed(), Nodes: nodes(),
			}
		}
	}
	return newQuotas(h.settings.Quota, p)
}

// startQuotas starts the loop that asks the coordinator.
func (h *Host) startQuotas() error {
	h.quotas.start()
	return nil
}

// start starts the loop; Close ends it.
func (q *quotas) start() {
	ctx, stop := context.WithCancel(context.Background())
	q.stop, q.done = stop, make(chan struct{})
	go func() {
		defer close(q.done)
		q.run(ctx)
	}()
}

// close ends the loop, if it was started.
func (q *quotas) close() {
	if q.stop == nil {
		return
	}
	q.stop()
	<-q.done
}

// update takes over the quotas of a new version.
func (q *quotas) update(t *config.RoutingTable) {
	limited := t.HasQuotas()
	if q.limited.Swap(limited) != limited {
		q.notify()
	}
}

// notify makes the loop check what is due.
func (q *quotas) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// limit returns the quota of a customer in the version in force, and false for a customer that this does not have.
func (q *quotas) limit(customer string) (quota.Limit, bool) {
	c, ok := q.table().Customer(customer)
	if !ok {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: c.Rate, Burst: c.Burst}, true
}

// take takes a request of a customer off its quota. It waits for the coordinator if this node has no token.
func (q *quotas) take(ctx context.Context, customer string, late bool) (giveBack func(), f *outcome.Failure) {
	limit, _ := q.limit(customer)
	if limit.Rate <= 0 {
		return nil, nil
	}
	now := time.Now()
	decide := q.local.Take
	if late {
		decide = q.local.TakeLate
	}
	v, w := decide(now, customer, limit)
	if w != nil {
		q.notify()
		v = q.await(ctx, w)
		now = time.Now()
	}
	if !v.Granted {
		return nil, q.refuse(customer, v)
	}
	if v.Fallback {
		q.metrics.QuotaSpent.WithLabelValues("fallback").Inc()
	} else {
		q.metrics.QuotaSpent.WithLabelValues("token").Inc()
	}
	return func() {
		q.metrics.QuotaReturned.Inc()
		q.local.GiveBack(time.Now(), now, customer, v)
	}, nil
}

// await waits for the verdict on a request.
func (q *quotas) await(ctx context.Context, w *quota.Waiter) quota.Verdict {
	t := time.NewTimer(quota.MaxWait)
	defer t.Stop()
	select {
	case v := <-w.Decided:
		return v
	case <-t.C:
	case <-ctx.Done():
	}
	return q.local.Leave(time.Now(), w)
}

// refuse returns the failure of a request over the quota and logs it, unless there were many lines lately.
func (q *quotas) refuse(customer string, v quota.Verdict) *outcome.Failure {
	q.metrics.QuotaRefused.Inc()
	if q.lines.Allow() {
		s := v.State
		q.log.Info("request over the quota refused", "customer", customer, "rate", s.Limit.Rate, "burst", s.Limit.Burst, "demand", s.Demand,
			"tokens", s.Tokens, "granted", s.Age.String(), "term", s.Term, "after", v.RetryAfter.String(), "unlogged", q.unlogged.Swap(0))
	} else {
		q.unlogged.Add(1)
	}
	return &outcome.Failure{
		Code: outcome.Quota, Kind: outcome.NotRun, Status: http.StatusTooManyRequests, RetryAfter: v.RetryAfter,
		Detail: "the quota of the customer is used up",
	}
}

// run sends the requests to the coordinator as they become due, while the table in force has a quota.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(leaderCheck)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer.C:
		}
		timer.Reset(q.step(ctx))
	}
}

// step sends a request if one is due, and returns the time until the next step.
func (q *quotas) step(ctx context.Context) time.Duration {
	if !q.limited.Load() {
		return time.Hour // update ends the wait
	}
	q.checkLeader()
	at, due := q.local.Due()
	if due && time.Until(at) <= 0 {
		q.ask(ctx)
		at, due = q.local.Due()
	}
	if !due {
		return leaderCheck
	}
	return min(max(time.Until(at), 0), leaderCheck)
}

// checkLeader makes a request due when the leader changes.
func (q *quotas) checkLeader() {
	leader := q.leader()
	if leader == q.known {
		return
	}
	q.known, q.hint, q.failures = leader, "", 0
	q.local.Greet()
}

// ask sends one request to the coordinator and applies the answer. If another replica leads, that one is asked at once, as requests may
// be waiting.
func (q *quotas) ask(ctx context.Context) {
	name, address := q.target()
	p, err := q.send(ctx, name, address)
	if err == nil && p.Term == 0 && p.Leader != "" && p.Leader != name {
		q.hint = p.Leader
		if a, ok := q.address(p.Leader); ok && ctx.Err() == nil {
			q.local.Moved()
			name = p.Leader
			p, err = q.send(ctx, name, a)
		}
	}
	now := time.Now()
	if err != nil {
		q.log.V(1).Info("coordinator of quotas not reached", "replica", name, "error", err.Error())
		q.local.Failed(now)
		q.failures, q.hint = q.failures+1, ""
		return
	}
	if !q.local.Answer(now, name, p) {
		q.failures, q.hint = q.failures+1, ""
		return
	}
	q.failures, q.hint = 0, p.Leader
	granted := 0
	for _, g := range p.Grants {
		granted += g.Tokens
	}
	q.metrics.QuotaGranted.Add(float64(granted))
}

// target returns the replica to ask: the leader if it is known, and after failures the replicas in turn.
func (q *quotas) target() (name string, address netip.AddrPort) {
	name = cmp.Or(q.hint, q.known)
	if a, ok := q.address(name); name == q.name || ok && q.failures%2 == 0 {
		return name, a
	}
	list := q.replicas()
	if len(list) == 0 {
		return name, netip.AddrPort{}
	}
	a := list[q.failures/2%len(list)]
	return a.String(), a
}

// send sends the request that is due to a replica; the coordinator of this process is called directly.
func (q *quotas) send(ctx context.Context, name string, address netip.AddrPort) (quota.Response, error) {
	r := q.local.Ask(time.Now(), name)
	if name == q.name && q.standing != nil {
		return q.coordinator.Decide(time.Now(), q.standing(), r), nil
	}
	if !address.IsValid() {
		return quota.Response{}, &peer.NoUpstreamError{}
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	p, err := q.clients().At(address).Quota(ctx, connect.NewRequest(quotaRequest(r)))
	if err != nil {
		return quota.Response{}, err
	}
	return quotaResponse(p.Msg), nil
}

// handle answers a node's request if this replica leads.
func (q *quotas) handle(_ context.Context, r *rpc.QuotaRequest) (*rpc.QuotaResponse, error) {
	return rpcQuotaResponse(q.coordinator.Decide(time.Now(), q.standing(), coreQuotaRequest(r))), nil
}

// measure sets the gauges for a scrape.
func (q *quotas) measure(now time.Time) {
	t := q.local.Totals(now)
	q.metrics.QuotaFallback.Set(0)
	if t.Alone {
		q.metrics.QuotaFallback.Set(1)
	}
	q.metrics.QuotaAge.Set(-1)
	if !t.Answered.IsZero() {
		q.metrics.QuotaAge.Set(now.Sub(t.Answered).Seconds())
	}
}

package host

import (
	"context"
	"sync"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/rollout"
	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/rpc"
)

const (
	rolloutInterval = 100 * time.Millisecond // time between two decisions on the running rollouts
	advanceTimeout  = time.Second            // limit for the commit of one step; a step that is not committed is decided again
	// maxConfirmationAge is the age of the last confirmation by a majority up to which a leader answers reports. A leader that was
	// partitioned must not keep nodes sending to a release that another leader has rolled back.
	maxConfirmationAge = time.Second
)

// UnconfirmedError reports a leader without a confirmation by a majority in the last maxConfirmationAge.
type UnconfirmedError struct{ Age time.Duration }

// Error states the time since the last confirmation.
func (e *UnconfirmedError) Error() string {
	return "no majority has confirmed this leader for " + e.Age.String()
}

// rolloutLeader adds up the counts of all nodes and decides the steps of the running rollouts, on the leader.
type rolloutLeader struct {
	policy *rollout.Policy

	mu      sync.Mutex
	tallies map[string]*orderTally // by service, of running rollouts
}

// orderTally is the tally of one rollout.
type orderTally struct {
	order uint64
	tally *rollout.Tally
}

func newRolloutLeader(p *rollout.Policy) *rolloutLeader {
	return &rolloutLeader{policy: p, tallies: map[string]*orderTally{}}
}

// reset drops all counts; a new leader gets them again from the nodes.
func (l *rolloutLeader) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.tallies)
}

// tallyLocked returns the tally of a rollout; the caller holds the mutex.
func (l *rolloutLeader) tallyLocked(now time.Time, r *wire.Rollout) *rollout.Tally {
	t := l.tallies[r.GetService()]
	if t == nil || t.order != r.GetOrder() {
		t = &orderTally{order: r.GetOrder(), tally: rollout.NewTally(now, time.UnixMilli(r.GetAccepted()))}
		l.tallies[r.GetService()] = t
	}
	return t.tally
}

// add adds a node's counts of one service. Counts of another rollout than the newest, and of one that has ended, are ignored.
func (l *rolloutLeader) add(now time.Time, r *wire.Rollout, q *rpc.OutcomesRequest, o *rpc.ServiceOutcomes) {
	if !rollout.Running(r) || r.GetOrder() != o.GetOrder() {
		return
	}
	report := rollout.Report{
		Node: q.GetNode(), Incarnation: q.GetIncarnation(), Missed: o.GetMissed(), Stopped: o.GetCut(), Step: o.GetStep(), Pending: o.GetPending(),
		Counts: make(map[rollout.Key]rollout.Counts, len(o.GetRoutes())),
	}
	for _, n := range o.GetRoutes() {
		c := rollout.Counts{Answers: n.GetAnswers(), Failures: n.GetFailures()}
		copy(c.Times[:], n.GetTimes())
		report.Counts[rollout.Key{Route: n.GetRoute(), New: n.GetNew()}] = c
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tallyLocked(now, r).Add(now, report)
}

// decide returns the steps that are due.
func (l *rolloutLeader) decide(now time.Time, running []*wire.Rollout, t *config.RoutingTable) []*wire.RolloutAdvance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var steps []*wire.RolloutAdvance
	for _, r := range running {
		if a := l.policy.Decide(now, r, l.tallyLocked(now, r), rolloutCapacity(t, r)); a != nil {
			steps = append(steps, a)
		}
	}
	if len(l.tallies) > len(running) {
		l.dropLocked(running)
	}
	return steps
}

func (l *rolloutLeader) dropLocked(running []*wire.Rollout) {
	kept := make(map[string]*orderTally, len(running))
	for _, r := range running {
		kept[r.GetService()] = l.tallies[r.GetService()]
	}
	l.tallies = kept
}

// rolloutCapacity describes the endpoints of a service with a rollout.
func rolloutCapacity(t *config.RoutingTable, r *wire.Rollout) rollout.Capacity {
	c := rollout.Capacity{Nodes: len(t.Nodes())}
	s, ok := t.Service(r.GetService())
	if !ok {
		return c
	}
	for i := range s.Endpoints {
		if e := &s.Endpoints[i]; e.Release == r.GetRelease() {
			c.New++
			c.NewSlots += e.Slots
		} else {
			c.OldSlots += e.Slots
		}
	}
	return c
}

// outcomes takes a node's counts and answers with the agreed state of its rollouts. Only a confirmed leader answers.
func (c *control) outcomes(_ context.Context, q *rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) {
	st := c.replica.Status()
	if st.Role != agreement.Leader {
		return nil, &agreement.NotLeaderError{Leader: st.Leader}
	}
	if age := c.replica.Confirmed(); age < 0 || age > maxConfirmationAge {
		return nil, &UnconfirmedError{Age: age}
	}
	now := time.Now()
	a := &rpc.OutcomesResponse{Leader: agreement.Name(st.Leader)}
	for _, o := range q.GetServices() {
		r := c.rollout(o.GetService())
		if r == nil {
			continue
		}
		c.rollouts.add(now, r, q, o)
		a.Rollouts = append(a.Rollouts, r)
	}
	return a, nil
}

// rollout returns the newest rollout of a service as this replica knows it, or nil.
func (c *control) rollout(service string) *wire.Rollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Rollout(service)
}

// advanceRollouts commits the steps that are due. It is called only on the leader.
func (c *control) advanceRollouts(ctx context.Context, now time.Time) {
	if now.Sub(c.lastRollouts) < rolloutInterval {
		return
	}
	c.lastRollouts = now
	c.mu.Lock()
	running := c.store.RunningRollouts()
	c.mu.Unlock()
	for _, a := range c.rollouts.decide(now, running, c.holder.View().Table) {
		c.advance(ctx, a)
	}
	c.metrics.RolloutShare.Reset()
	for _, r := range running {
		c.metrics.RolloutShare.WithLabelValues(r.GetService()).Set(float64(r.GetShare()) / rollout.Whole)
	}
}

func (c *control) advance(ctx context.Context, a *wire.RolloutAdvance) {
	ctx, cancel := context.WithTimeout(ctx, advanceTimeout)
	defer cancel()
	result, err := c.replica.Propose(ctx, &wire.Command{Body: &wire.Command_Advance{Advance: a}})
	if err != nil {
		c.log.Info("step of a rollout not committed, it is decided again", "service", a.GetService(), "state", operator.RolloutState(a.GetState()),
			"reason", a.GetReason(), "error", err.Error())
		return
	}
	r := result.GetRollout()
	if r.GetOrder() != a.GetOrder() || r.GetStep() != a.GetStep()+1 {
		return // another leader's step came first
	}
	c.metrics.RolloutSteps.WithLabelValues(r.GetService(), operator.RolloutState(r.GetState())).Inc()
	c.log.Info("rollout advanced", "service", r.GetService(), "release", r.GetRelease(), "state", operator.RolloutState(r.GetState()),
		"step", r.GetStep(), "share", float64(r.GetShare())/rollout.Whole, "reason", r.GetReason(), "sent", r.GetSent(), "bad", r.GetBad(),
		"total", r.GetTotal())
}

package host

import (
	"context"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/rollout"
	"godwitspindle/io/rpc"
)

// Times of the reports on rollouts.
const (
	reportCheckInterval = 50 * time.Millisecond  // time between two checks whether a report is due
	reportInterval      = time.Second            // time between two reports while the new release is judged
	rampReportInterval  = 200 * time.Millisecond // the same while most requests move
	minReportInterval   = 100 * time.Millisecond // minimum time between two reports if the new release fails
	maxReportInterval   = 2 * time.Second        // less than half of the time after which a node without contact stops sending
	reportTimeout       = time.Second
	rampReportShare     = rollout.Whole / 10 // share of the first step of the ramp, from which on reports come at rampReportInterval
	// leaderTimePerReport and rampLeaderTimePerReport limit the reports of all nodes together: the leader gets at most one in this time.
	leaderTimePerReport     = 5 * time.Millisecond
	rampLeaderTimePerReport = 3 * time.Millisecond
)

// run reports to the leader while a rollout runs, until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.update(r.now()) == 0 {
			select {
			case <-ctx.Done():
			case <-r.changed:
			}
			continue
		}
		if request := r.due(r.now()); request != nil {
			r.send(ctx, request)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportCheckInterval):
		}
	}
}

// update takes the rollouts of the version in force, drops those that have ended and returns the number of running ones.
func (r *rollouts) update(now time.Time) int {
	t := r.table()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range t.ServicesInRollout() {
		r.viewLocked(s.Name, s.Rollout, now)
	}
	for name, s := range r.services {
		service, ok := t.Service(name)
		if !ok || newer(service.Rollout, s.newest) == service.Rollout && !rollout.Running(service.Rollout) {
			delete(r.services, name)
			continue
		}
		s.newest = newer(service.Rollout, s.newest)
	}
	return len(r.services)
}

// due returns a report if one is due, with the counts that changed since the last one that was answered, or nil.
func (r *rollouts) due(now time.Time) *rpc.OutcomesRequest {
	t := r.table()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := false
	for _, s := range r.services {
		age := now.Sub(s.sent)
		due = due || age >= s.interval(len(t.Nodes())) || s.urgent && age >= minReportInterval
	}
	if !due {
		return nil
	}
	q := &rpc.OutcomesRequest{Node: r.node, Incarnation: r.identity}
	for name, s := range r.services {
		s.sent, s.urgent = now, false
		q.Services = append(q.Services, s.report(name, t))
	}
	return q
}

// interval returns the time between two reports.
func (s *serviceRollout) interval(nodes int) time.Duration {
	if s.newest.GetShare() >= rampReportShare {
		return min(max(rampReportInterval, time.Duration(nodes)*rampLeaderTimePerReport), maxReportInterval)
	}
	return min(max(reportInterval, time.Duration(nodes)*leaderTimePerReport), maxReportInterval)
}

func (s *serviceRollout) report(name string, t *config.RoutingTable) *rpc.ServiceOutcomes {
	o := &rpc.ServiceOutcomes{
		Service: name, Order: s.newest.GetOrder(), Step: s.newest.GetStep(), Missed: s.missed, Cut: s.stopped, Pending: s.pendingOld(t),
	}
	for k, c := range s.counts {
		if s.acked[k] == c.Sum() {
			continue
		}
		times := c.Times[:]
		for len(times) > 0 && times[len(times)-1] == 0 {
			times = times[:len(times)-1]
		}
		o.Routes = append(o.Routes, &rpc.RouteOutcomes{
			Route: k.Route, New: k.New, Answers: c.Answers, Failures: c.Failures, Times: append([]uint32(nil), times...),
		})
	}
	return o
}

// send sends a report and takes the leader's answer.
func (r *rollouts) send(ctx context.Context, q *rpc.OutcomesRequest) {
	sent := r.now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := r.report(ctx, q)
	if err != nil {
		r.log.V(1).Info("counts of a rollout not reported", "error", err.Error())
		r.unanswered()
		return
	}
	r.answered(sent, q, a)
}

// unanswered makes the next report due soon, since another leader may answer, and logs once that none has for too long.
func (r *rollouts) unanswered() {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		s.sent, s.urgent = now, true
		if silent := now.Sub(s.heard); silent > r.contactTimeout() && !s.silent {
			s.silent = true
			r.log.Info("no leader answers, nothing more is sent to the new release", "service", name, "release", s.newest.GetRelease(),
				"silent", silent.String())
		}
	}
}

func (r *rollouts) answered(sent time.Time, q *rpc.OutcomesRequest, a *rpc.OutcomesResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range q.GetServices() {
		s := r.services[o.GetService()]
		if s == nil || s.newest.GetOrder() != o.GetOrder() {
			continue
		}
		s.heard, s.silent = sent, false
		for _, c := range o.GetRoutes() {
			s.acked[rollout.Key{Route: c.GetRoute(), New: c.GetNew()}] = c.GetAnswers() + c.GetFailures()
		}
	}
	for _, n := range a.GetRollouts() {
		if s := r.services[n.GetService()]; s != nil && s.newest.GetOrder() == n.GetOrder() {
			s.newest = newer(n, s.newest)
		}
	}
}

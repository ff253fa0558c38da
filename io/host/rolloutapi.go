package host

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/config"
	"godwitspindle/core/rollout"
	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

// rolloutPolicy returns the policy with the limits of the settings.
func rolloutPolicy(s process.Rollouts) *rollout.Policy {
	var options []rollout.Option
	if s.Share > 0 {
		options = append(options, rollout.WithExposure(s.Share, s.Slack))
	}
	if s.Rollback > 0 {
		options = append(options, rollout.WithRollback(s.Rollback))
	}
	return rollout.New(options...)
}

// newRollouts returns the part of the process that assigns and counts requests during rollouts.
func (h *Host) newRollouts() *rollouts {
	return newRollouts(rolloutParts{
		table:    func() *config.RoutingTable { return h.holder.View().Table },
		report:   h.reportOutcomes,
		now:      time.Now,
		node:     h.settings.Name,
		identity: h.incarnation,
		rollback: rolloutPolicy(h.settings.Rollouts).Rollback(),
		metrics:  h.metrics,
		log:      h.log.WithName("rollout"),
	})
}

// reportOutcomes sends counts to the leader.
func (h *Host) reportOutcomes(ctx context.Context, q *rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) {
	if h.Leads() {
		if a, err := h.control.outcomes(ctx, q); err == nil {
			return a, nil
		}
	}
	return askReplicas(ctx, h, false, func(ctx context.Context, a netip.AddrPort) (*rpc.OutcomesResponse, error) {
		resp, err := h.clients.At(a).Outcomes(ctx, connect.NewRequest(q))
		if err != nil {
			return nil, fmt.Errorf("report counts to %s: %w", a, err)
		}
		return resp.Msg, nil
	})
}

// StartRollout commits an order. A refusal is part of the result; an *operator.UnavailableError means that the order may or may not have
// been accepted.
func (h *Host) StartRollout(ctx context.Context, o *wire.RolloutOrder) (*wire.Result, error) {
	r, err := h.proposer.Propose(ctx, &wire.Command{Body: &wire.Command_Order{Order: o}})
	if err != nil {
		return nil, &operator.UnavailableError{Outcome: operator.Unknown, Leader: h.leader(), Err: h.refusal(err)}
	}
	h.log.Info("rollout ordered", "service", o.GetService(), "release", o.GetRelease(), "duration", o.GetDuration(),
		"refused", r.GetRefusal().GetCode(), "state", operator.RolloutState(r.GetRollout().GetState()), "order", r.GetRollout().GetOrder())
	return r, nil
}

// Rollout returns the newest rollout of a service, confirmed by a majority after the call began, or nil if it had none.
func (h *Host) Rollout(ctx context.Context, service string) (*wire.Rollout, error) {
	if err := h.confirmed(ctx); err != nil {
		return nil, err
	}
	return h.control.rollout(service), nil
}

package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/rpc"
)

const (
	progressInterval = 50 * time.Millisecond // time between two requests for the status of the mesh
	confirmTimeout   = 3 * time.Second       // limit for a read that must be current
)

// operatorServer returns the handler of the listener for operators.
func (h *Host) operatorServer() *operator.Server {
	return operator.New(
		operator.WithKey(h.settings.Key),
		operator.WithLogger(h.log.WithName("operator")),
		operator.WithRequestCounter(func(path string, status int) {
			h.metrics.OperatorRequests.WithLabelValues(path, fmt.Sprint(status)).Inc()
		}),
		operator.WithPropose(h.change),
		operator.WithPlan(h.plan),
		operator.WithHistory(h.history),
		operator.WithContent(h.confirmedContent),
		operator.WithLocalContent(h.localContent),
		operator.WithStatus(h.status),
		operator.WithWait(h.progress),
		operator.WithReplicas(h.replicas),
		operator.WithRollouts(h.StartRollout, h.Rollout),
		operator.WithParsers(config.ParseRegister, config.ParseRules, Faults),
		operator.WithCustomersParser(config.ParseCustomers),
	)
}

// Faults returns the faults in an error of config.ParseRegister, config.ParseRules or config.ParseCustomers, or nil for any other error.
func Faults(err error) []*wire.Fault {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Wire()
	}
	return nil
}

func (h *Host) serverTLS() *tls.Config {
	if h.tls == nil {
		return nil
	}
	return h.tls.Server()
}

// change commits an operator's change through the leader. A whole content is sent as an edit of the newest content if the edit is
// smaller, and again as a whole if the replicas cannot apply the edit.
func (h *Host) change(ctx context.Context, c *wire.Change) (*wire.Result, error) {
	short := h.control.shorten(c)
	r, err := h.proposer.Propose(ctx, &wire.Command{Body: &wire.Command_Change{Change: short}})
	if err == nil && short != c && r.GetRefusal().GetCode() == store.Mismatch {
		h.metrics.ContentChanges.WithLabelValues("mismatch").Inc()
		h.log.Info("replicas cannot apply the edit, the whole content is sent", "id", c.GetId(), "number", c.GetNumber(), "builds", c.GetBuilds())
		r, err = h.proposer.Propose(ctx, &wire.Command{Body: &wire.Command_Change{Change: c}})
	}
	if err != nil {
		return nil, &operator.UnavailableError{Outcome: operator.Unknown, Leader: h.leader(), Err: h.refusal(err)}
	}
	a := r.GetAccepted()
	h.log.Info("change decided", "id", c.GetId(), "author", c.GetAuthor(), "accepted", a != nil, "version", r.GetVersion())
	return r, nil
}

// confirmed waits until the store of this replica is at least as new as the last version committed before the call.
func (h *Host) confirmed(ctx context.Context) error {
	if st := h.control.replica.Status(); st.Role == agreement.Waiting && h.upstream.leaderName() != "" {
		return operator.WaitingProblem(h.settings.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	version, err := h.readConfirmed(ctx, true)
	if err != nil {
		return &operator.UnavailableError{Outcome: operator.NotRun, Leader: h.leader(), Err: h.refusal(err)}
	}
	for h.control.version() < version {
		if ctx.Err() != nil {
			return &operator.UnavailableError{Outcome: operator.NotRun, Leader: h.leader(), Err: ctx.Err()}
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (h *Host) plan(ctx context.Context, c *wire.Change) (*wire.Result, error) {
	if err := h.confirmed(ctx); err != nil {
		return nil, err
	}
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	return h.control.store.Plan(c), nil
}

func (h *Host) history(ctx context.Context, limit int) ([]*wire.Accepted, error) {
	if err := h.confirmed(ctx); err != nil {
		return nil, err
	}
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	list := h.control.store.Changes()
	return list[max(len(list)-limit, 0):], nil
}

func (h *Host) confirmedContent(ctx context.Context, version uint64) (uint64, *wire.Content, error) {
	if err := h.confirmed(ctx); err != nil {
		return 0, nil, err
	}
	return h.localContent(ctx, version)
}

// localContent returns a content from the store of this replica, which may be out of date; version 0 means the newest.
func (h *Host) localContent(_ context.Context, version uint64) (uint64, *wire.Content, error) {
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	list := h.control.store.Changes()
	if version == 0 && len(list) == 0 {
		return 0, &wire.Content{Register: &wire.Register{}}, nil
	}
	if version == 0 {
		version = list[len(list)-1].GetVersion()
	}
	c, err := h.control.store.Content(version)
	if err != nil {
		return 0, nil, &operator.MissingError{Version: version}
	}
	return version, c, nil
}

// meshStatus asks the leader on how many nodes a version is in force; version 0 means the newest.
// With wait, it waits for a leader while a majority is heard.
func (h *Host) meshStatus(ctx context.Context, version uint64, wait bool) (*rpc.StatusResponse, error) {
	request := &rpc.StatusRequest{Version: version}
	if h.Leads() {
		if answer, err := h.control.status(ctx, request); err == nil {
			return answer, nil
		}
	}
	resp, err := askReplicas(ctx, h, wait, func(ctx context.Context, a netip.AddrPort) (*connect.Response[rpc.StatusResponse], error) {
		resp, err := h.clients.At(a).Status(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, fmt.Errorf("ask %s for the status: %w", a, err)
		}
		return resp, nil
	})
	if err != nil {
		return nil, &operator.UnavailableError{Outcome: operator.NotRun, Leader: h.leader(), Err: h.refusal(err)}
	}
	return resp.Msg, nil
}

// status describes the mesh. If no leader answers within confirmTimeout, or none can be elected, it returns what this replica
// knows.
func (h *Host) status(ctx context.Context) (*operator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	v := h.holder.View()
	st := &operator.Status{
		Node:     h.settings.Name,
		Version:  v.Snapshot.Version(),
		Nodes:    len(v.Table.Nodes()),
		Spread:   -1,
		Age:      operator.Duration(h.confirmationAge()),
		Services: serviceCapacities(v.Table),
		Rollouts: runningRollouts(v.Table),
	}
	answer, err := h.meshStatus(ctx, 0, true)
	if err != nil {
		hearing := h.control.hearing(time.Now())
		m := h.control.replica.Status().Members
		st.Replicas, st.Hearing = membersWithoutProgress(m.Voters, m.Learners), &hearing
		return st, nil
	}
	st.Version = answer.GetVersion()
	st.Leader = answer.GetLeader()
	st.Current = int(answer.GetReport().GetCount())
	st.Behind = behind(answer.GetReport())
	st.Replicas = members(answer.GetReplicas())
	st.Health = newHealth(answer.GetHealth())
	st.Spread = duration(answer.GetSpread())
	return st, nil
}

// progress calls report until the version is in force on every node or ctx ends. While no leader answers, it calls nothing.
func (h *Host) progress(ctx context.Context, version uint64, report func(operator.Progress)) error {
	began := time.Now()
	for {
		p, err := h.progressNow(ctx, version)
		if err == nil {
			if p.Elapsed < 0 {
				p.Elapsed = operator.Duration(time.Since(began))
			}
			report(*p)
			if p.Done {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(progressInterval):
		}
	}
}

// progressNow asks the leader once how far the version has spread. Elapsed is negative while the convergence time is unknown.
func (h *Host) progressNow(ctx context.Context, version uint64) (*operator.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer, err := h.meshStatus(ctx, version, false)
	if err != nil {
		return nil, err
	}
	nodes := len(h.holder.View().Table.Nodes())
	p := &operator.Progress{
		Version: version,
		Nodes:   nodes,
		Current: int(answer.GetReport().GetCount()),
		Elapsed: duration(answer.GetSpread()),
		Behind:  behind(answer.GetReport()),
	}
	p.Done = h.holder.View().Snapshot.Version() >= version && p.Current >= nodes && nodes > 0
	return p, nil
}

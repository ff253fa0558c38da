package host

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/agreement"
	"godwitspindle/io/operator"
	"godwitspindle/io/peer"
	"godwitspindle/io/rpc"
)

const (
	identityTimeout  = time.Second           // limit for asking one replica for its identity
	silentAfter      = 3 * time.Second       // time without a message after which a voter counts as silent; three election timeouts
	changeTimeout    = 3 * time.Second       // limit for one change of the member set, retries included
	changeRetryPause = 10 * time.Millisecond // short, because an earlier change is usually committed within milliseconds
)

// Actions of the Replicas method besides those of package operator. Every replica answers actionIdentity for itself.
const (
	actionIdentity = "identity"
	actionList     = "list"
)

// refusalError is a refusal that is returned to the operator with its problem code.
type refusalError struct{ code, detail string }

// Error returns the code and the detail.
func (e *refusalError) Error() string { return e.code + ": " + e.detail }

// replicas answers the Replicas method: with the identity of this replica or, on the leader, by listing or changing the member
// set.
func (c *control) replicas(ctx context.Context, r *rpc.ReplicasRequest) (*rpc.ReplicasResponse, error) {
	st := c.replica.Status()
	if r.GetAction() == actionIdentity {
		return &rpc.ReplicasResponse{Identity: c.replica.ID(), Waiting: st.Role == agreement.Waiting}, nil
	}
	if st.Role != agreement.Leader {
		return nil, &agreement.NotLeaderError{Leader: st.Leader}
	}
	err := c.membership(ctx, r.GetAction(), r.GetName())
	var refused *refusalError
	switch {
	case errors.As(err, &refused):
		return &rpc.ReplicasResponse{Code: refused.code, Detail: refused.detail}, nil
	case err != nil:
		return nil, err
	}
	st = c.replica.Status()
	resp := &rpc.ReplicasResponse{Identity: st.ID, Leader: agreement.Name(st.Leader), Replicas: c.members(st), Health: c.health(time.Now(), st, c.target())}
	if r.GetAction() == actionList {
		resp.Replicas = append(resp.Replicas, c.waitingReplicas(ctx, st.Members)...)
	}
	return resp, nil
}

// membership changes the member set. Every action is idempotent. It fails with *refusalError or an error of package replica.
func (c *control) membership(ctx context.Context, action, name string) error {
	if action == actionList {
		return nil
	}
	if _, ok := c.directory.address(name); !ok && len(c.memberIDs(name)) == 0 {
		return &refusalError{operator.CodeNoReplica, name + " is neither in the setting replicas nor a member"}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	c.log.Info("member set change", "action", action, "replica", name)
	switch action {
	case operator.ActionAdd:
		return c.add(ctx, name)
	case operator.ActionPromote:
		return c.promote(ctx, name)
	case operator.ActionRemove:
		return c.remove(ctx, name)
	}
	return &refusalError{operator.CodeMalformed, "action: expected add, promote or remove"}
}

// add asks the named replica for its identity and adds the identity as a learner. An earlier identity of that name stays a voter
// until the learner is promoted in its place.
func (c *control) add(ctx context.Context, name string) error {
	id, waiting, err := c.askIdentity(ctx, name)
	var refused *refusalError
	if errors.As(err, &refused) {
		return err
	}
	if err != nil {
		return &refusalError{operator.CodeSilent, fmt.Sprintf("%s did not give its identity: %v", name, err)}
	}
	if c.replica.Status().Members.Has(id) {
		return nil
	}
	if !waiting {
		return &refusalError{operator.CodeForeign, id + " is not a member, but its data folder already holds a log"}
	}
	return c.retryChange(ctx, func() error { return c.replica.AddLearner(ctx, id) })
}

func (c *control) promote(ctx context.Context, name string) error {
	m := c.replica.Status().Members
	ids := c.memberIDs(name)
	if len(ids) == 0 {
		return &refusalError{operator.CodeNoReplica, name + " is not a member; add it first"}
	}
	if slices.Contains(m.Voters, ids[0]) {
		if r := describeMember(c.replica.Status(), ids[0], "voter"); r.GetHeard() < 0 || r.GetHeard() > silentAfter.Milliseconds() {
			return &refusalError{operator.CodeUnsafeMembership, name + " is a voter that does not answer; if it lost its data folder, add it first"}
		}
		return c.awaitReplacement(ctx)
	}
	return c.retryChange(ctx, func() error { return c.replica.Promote(ctx, ids[0]) })
}

// awaitReplacement waits until no replacement is in progress.
func (c *control) awaitReplacement(ctx context.Context) error {
	for c.replica.Status().Members.Joint() {
		if ctx.Err() != nil {
			return &refusalError{operator.CodeUnsafeMembership, "the replacement has not ended: the voters do not answer, of which it needs a majority before and after"}
		}
		time.Sleep(changeRetryPause)
	}
	return nil
}

func (c *control) remove(ctx context.Context, name string) error {
	for _, id := range c.memberIDs(name) {
		if err := c.retryChange(ctx, func() error { return c.replica.Remove(ctx, id) }); err != nil {
			return err
		}
	}
	return nil
}

// retryChange repeats a change, for up to half of changeTimeout, while it is refused for a reason that may pass: a learner that
// is slightly behind, or a leader or an earlier change that is not yet committed.
func (c *control) retryChange(ctx context.Context, change func() error) error {
	until := time.Now().Add(changeTimeout / 2)
	for {
		err := change()
		var lag *agreement.LagError
		var members *agreement.MembersError
		behind, refused := errors.As(err, &lag), errors.As(err, &members)
		if !behind && !refused {
			return err
		}
		if time.Now().Before(until) && ctx.Err() == nil {
			time.Sleep(changeRetryPause)
			continue
		}
		if behind {
			return &refusalError{operator.CodeBehind, fmt.Sprintf("%s holds the log up to %d of %d: %d entries behind",
				agreement.Name(lag.Learner), lag.Match, lag.Commit, lag.Commit-lag.Match)}
		}
		return &refusalError{operator.CodeUnsafeMembership, members.Reason}
	}
}

// memberIDs returns the identities of the members with the given name, learners first.
func (c *control) memberIDs(name string) []string {
	m := c.replica.Status().Members
	return slices.DeleteFunc(slices.Concat(m.Learners, m.Voters), func(id string) bool { return agreement.Name(id) != name })
}

// askIdentity asks a known replica for its identity and whether it waits to be added. It fails for an unknown replica.
func (c *control) askIdentity(ctx context.Context, name string) (id string, waiting bool, err error) {
	if name == c.name {
		return c.replica.ID(), false, nil
	}
	a, ok := c.directory.address(name)
	if !ok {
		return "", false, &peer.NoUpstreamError{}
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	resp, err := c.clients.At(a).Replicas(ctx, connect.NewRequest(&rpc.ReplicasRequest{Action: actionIdentity}))
	if err != nil {
		return "", false, fmt.Errorf("ask %s: %w", a, err)
	}
	if got := agreement.Name(resp.Msg.GetIdentity()); got != name {
		return "", false, &refusalError{operator.CodeForeign, fmt.Sprintf("%s answers as %s", a, got)}
	}
	return resp.Msg.GetIdentity(), resp.Msg.GetWaiting(), nil
}

// members describes the member set as the leader sees it.
func (c *control) members(st agreement.Status) []*rpc.Replica {
	var list []*rpc.Replica
	for _, id := range st.Members.Voters {
		list = append(list, describeMember(st, id, "voter"))
	}
	for _, id := range st.Members.Learners {
		list = append(list, describeMember(st, id, "learner"))
	}
	_, leaving := replacement(st.Members)
	for _, id := range leaving {
		list = append(list, describeMember(st, id, "leaving"))
	}
	return list
}

func describeMember(st agreement.Status, id, role string) *rpc.Replica {
	if id == st.ID {
		return &rpc.Replica{Identity: id, Role: "leader"}
	}
	r := &rpc.Replica{Identity: id, Role: role, Behind: -1, Heard: -1}
	if p, ok := st.Progress[id]; ok && !p.LastHeard.IsZero() {
		r.Heard = max(0, time.Since(p.LastHeard).Milliseconds())
		if p.Match > 0 {
			r.Behind = max(0, int64(st.Commit)-int64(p.Match))
		}
	}
	return r
}

// waitingReplicas asks the known replicas for identities that are not members, such as that of a replica that lost its data
// folder.
func (c *control) waitingReplicas(ctx context.Context, m agreement.Members) []*rpc.Replica {
	replicas := c.directory.replicas()
	found := make([]*rpc.Replica, len(replicas))
	var wait sync.WaitGroup
	for i, r := range replicas {
		wait.Go(func() {
			id, _, err := c.askIdentity(ctx, r.Name)
			if err == nil && !m.Has(id) {
				found[i] = &rpc.Replica{Identity: id, Role: "waiting", Behind: -1}
			}
		})
	}
	wait.Wait()
	return slices.DeleteFunc(found, func(r *rpc.Replica) bool { return r == nil })
}

// replicas lists or changes the member set through the leader.
func (h *Host) replicas(ctx context.Context, action, name string) (*operator.Replicas, error) {
	request := &rpc.ReplicasRequest{Action: action, Name: name}
	resp, err := h.changeReplicas(ctx, request)
	if err != nil {
		return nil, err
	}
	if resp.GetCode() != "" {
		return nil, operator.MemberProblem(resp.GetCode(), resp.GetDetail())
	}
	return &operator.Replicas{Leader: resp.GetLeader(), Replicas: members(resp.GetReplicas()), Health: newHealth(resp.GetHealth())}, nil
}

func (h *Host) changeReplicas(ctx context.Context, request *rpc.ReplicasRequest) (*rpc.ReplicasResponse, error) {
	if h.Leads() {
		if resp, err := h.control.replicas(ctx, request); err == nil {
			return resp, nil
		}
	}
	resp, err := peer.FirstAnswer(h.upstream.replicas(), func(a netip.AddrPort) (*connect.Response[rpc.ReplicasResponse], error) {
		return h.clients.At(a).Replicas(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return nil, &operator.UnavailableError{Outcome: operator.Unknown, Leader: h.leader(), Err: h.refusal(err)}
	}
	return resp.Msg, nil
}

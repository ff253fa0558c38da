package host

import (
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/rpc"
)

// duration converts milliseconds; a negative value means unknown.
func duration(ms int64) operator.Duration {
	if ms < 0 {
		return -1
	}
	return operator.Duration(time.Duration(ms) * time.Millisecond)
}

// behind lists the nodes that a report names as not having a version in force.
func behind(r *wire.Report) []operator.LaggingNode {
	list := make([]operator.LaggingNode, 0, len(r.GetLaggards()))
	for _, l := range r.GetLaggards() {
		list = append(list, operator.LaggingNode{
			Node:    l.GetNode(),
			Version: l.GetVersion(),
			Reason:  reason(l.GetReason()),
			Heard:   duration(l.GetHeard()),
		})
	}
	return list
}

// reason returns the text by which the operator API says why a node is behind.
func reason(r wire.Reason) string {
	switch r {
	case wire.Reason_REASON_REFUSED:
		return "refused"
	case wire.Reason_REASON_UNREACHABLE:
		return "unreachable"
	case wire.Reason_REASON_UNPROVEN:
		return "unproven"
	}
	return "stale"
}

// membersWithoutProgress lists members when no leader can tell how far behind they are.
func membersWithoutProgress(voters, learners []string) []operator.Member {
	var list []operator.Member
	for _, id := range voters {
		list = append(list, operator.Member{Name: agreement.Name(id), Role: "voter", Identity: id, Behind: -1, Heard: -1})
	}
	for _, id := range learners {
		list = append(list, operator.Member{Name: agreement.Name(id), Role: "learner", Identity: id, Behind: -1, Heard: -1})
	}
	return list
}

// members lists the replicas as the leader sees them.
func members(list []*rpc.Replica) []operator.Member {
	out := make([]operator.Member, 0, len(list))
	for _, r := range list {
		out = append(out, operator.Member{
			Name:     agreement.Name(r.GetIdentity()),
			Role:     r.GetRole(),
			Identity: r.GetIdentity(),
			Behind:   r.GetBehind(),
			Heard:    duration(r.GetHeard()),
		})
	}
	return out
}

// runningRollouts returns the running rollouts of the table.
func runningRollouts(t *config.RoutingTable) []operator.Rollout {
	var list []operator.Rollout
	for _, s := range t.ServicesInRollout() {
		list = append(list, operator.NewRollout(s.Rollout))
	}
	return list
}

// serviceCapacities returns the number of endpoints and the sum of their slots for each service of the table.
func serviceCapacities(t *config.RoutingTable) []operator.ServiceCapacity {
	var list []operator.ServiceCapacity
	for _, s := range t.Services() {
		c := operator.ServiceCapacity{Name: s.Name, Endpoints: len(s.Endpoints)}
		for _, e := range s.Endpoints {
			c.Slots += e.Slots
		}
		list = append(list, c)
	}
	return list
}

package host

import (
	"context"
	"time"

	"godwitspindle/core/agreement"
)

const (
	membersInterval = 100 * time.Millisecond
	minVoters       = 3
	// failedChangePause is the time between two log lines about changes of the member set that failed.
	failedChangePause = time.Second
)

// maintainMembers keeps the member set complete where replicas are found through seeds: on the leader it adds, promotes and
// removes replicas as agreement.NextChange proposes.
func (c *control) maintainMembers(ctx context.Context) {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.changeMembers(ctx)
		}
	}
}

// wantedVoters returns the number of voters of which a majority remains after maxLosses are lost, but at least minVoters.
func (c *control) wantedVoters() int { return max(minVoters, 2*c.maxLosses+1) }

// changeMembers makes at most one change of the member set. Only the leader makes any.
func (c *control) changeMembers(ctx context.Context) {
	st := c.replica.Status()
	if st.Role != agreement.Leader {
		return
	}
	step, ok := agreement.NextChange(time.Now(), st, c.target())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	err := c.changeMember(ctx, step)
	c.attempted.Store(&changeAttempt{step: step, err: err})
	if err != nil && time.Since(c.failedChange) < failedChangePause {
		return
	}
	if err != nil {
		c.failedChange = time.Now()
		c.log.Info("member set not changed, its next step failed", "add", step.Add, "promote", step.Promote, "remove", step.Remove, "error", err.Error())
		return
	}
	c.log.Info("member set changed", "add", step.Add, "promote", step.Promote, "remove", step.Remove, "reason", step.Reason,
		"voters", len(c.replica.Status().Members.Voters))
}

// changeMember makes one planned change of the member set.
func (c *control) changeMember(ctx context.Context, p agreement.PlannedChange) error {
	switch {
	case p.Add != "":
		return c.replica.AddLearner(ctx, p.Add)
	case p.Promote != "" && p.Remove != "":
		return c.replica.Replace(ctx, p.Remove, p.Promote)
	case p.Promote != "":
		return c.replica.Promote(ctx, p.Promote)
	}
	return c.replica.Remove(ctx, p.Remove)
}

// target returns what the member set should become.
func (c *control) target() agreement.Target {
	return agreement.Target{Announced: c.announcedReplicas(), Voters: c.wantedVoters(), CatchUp: c.catchUp}
}

// announcedReplicas returns the identities of the replicas that run on nodes of the version in force.
func (c *control) announcedReplicas() []string {
	var list []string
	for _, n := range c.holder.View().Table.Nodes() {
		if n.Replica != "" {
			list = append(list, n.Replica)
		}
	}
	return list
}

// durable reports whether a majority has more than maxLosses voters, so that a commit survives the loss of maxLosses disks. It holds
// during a replacement too, since the number of voters is the same before and after it.
func (c *control) durable() bool { return len(c.replica.Status().Members.Voters)/2+1 > c.maxLosses }

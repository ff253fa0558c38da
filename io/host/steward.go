package host

import (
	"context"
	"time"

	"godwitspindle/core/agreement"
)

const (
	stewardInterval = 100 * time.Millisecond
	leastVoters     = 3
)

// steward keeps the member set complete where the replicas find each other: on the leader it adds, promotes and removes
// replicas by agreement.Plan.
func (c *control) steward(ctx context.Context) {
	ticker := time.NewTicker(stewardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.arrange(ctx)
		}
	}
}

// wantedVoters returns how many voters keep a majority when the bearable number of them is lost.
func (c *control) wantedVoters() int { return max(leastVoters, 2*c.losses+1) }

// arrange makes at most one change of the member set.
func (c *control) arrange(ctx context.Context) {
	st := c.replica.Status()
	if st.Role != agreement.Leader {
		return
	}
	step, ok := agreement.Plan(time.Now(), st, c.announced(), c.wantedVoters())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	var err error
	switch {
	case step.Add != "":
		err = c.replica.AddLearner(ctx, step.Add)
	case step.Promote != "":
		err = c.replica.Promote(ctx, step.Promote)
	case step.Remove != "":
		err = c.replica.Remove(ctx, step.Remove)
	}
	if err != nil {
		c.log.V(1).Info("member set not changed", "add", step.Add, "promote", step.Promote, "remove", step.Remove, "error", err.Error())
		return
	}
	c.log.Info("member set changed", "add", step.Add, "promote", step.Promote, "remove", step.Remove, "reason", step.Reason,
		"voters", len(c.replica.Status().Members.Voters))
}

// announced returns the identities of the replicas that nodes of the version in force run.
func (c *control) announced() []string {
	var list []string
	for _, n := range c.holder.View().Table.Nodes() {
		if n.Replica != "" {
			list = append(list, n.Replica)
		}
	}
	return list
}

// durable reports whether what a majority acknowledges survives the loss of as many disks as the settings name.
func (c *control) durable() bool { return len(c.replica.Status().Members.Voters)/2+1 > c.losses }

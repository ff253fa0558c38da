package host

import (
	"context"
	"fmt"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/lease"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// AnnouncementError reports an announcement whose node cannot be used; Node is its name.
type AnnouncementError struct{ Node string }

// Error names the node and the fields to check.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement of node %.64q: want a valid name, failure domain, region and IP address with port", e.Node)
}

// stageAnnouncement stages the usable part of an announcement; it reports whether anything was staged and how many endpoints it left out.
// It fails with *AnnouncementError if the node cannot be used.
//
// An endpoint that the agreed state would not take must not enter the lease table either: there it would count as one of its service,
// so that more of the usable endpoints could expire.
func stageAnnouncement(t *lease.Table, now time.Time, r *rpc.AnnounceRequest) (staged bool, dropped int, err error) {
	n := r.GetNode()
	if !config.ValidName(n.GetName()) || !r.GetLeaving() && !config.ValidNode(n) {
		return false, 0, &AnnouncementError{Node: n.GetName()}
	}
	usable := make([]*wire.Endpoint, 0, len(r.GetEndpoints()))
	listed := make(map[string]bool, len(r.GetEndpoints()))
	for _, e := range r.GetEndpoints() {
		if k := config.KeyOf(e); config.ValidEndpoint(e) && e.GetNode() == n.GetName() && !listed[k] {
			listed[k] = true
			usable = append(usable, e)
		}
	}
	return t.Announce(now, n, usable, r.GetLeaving()), len(r.GetEndpoints()) - len(usable), nil
}

// announce stages the announcement of a node. A replica that is not the leader refuses it.
func (c *control) announce(_ context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	st := c.replica.Status()
	if st.Role != agreement.Leader {
		return nil, &agreement.NotLeaderError{Leader: st.Leader}
	}
	staged, dropped, err := stageAnnouncement(c.leases, time.Now(), r)
	if err != nil {
		c.log.Info("announcement refused", "error", err.Error())
		return nil, err
	}
	if dropped > 0 {
		c.log.Info("endpoints of an announcement left out, they cannot be used", "node", r.GetNode().GetName(), "endpoints", dropped)
	}
	c.log.V(1).Info("announcement", "node", r.GetNode().GetName(), "endpoints", len(r.GetEndpoints()),
		"leaving", r.GetLeaving(), "staged", staged)
	return &rpc.AnnounceResponse{Lease: c.leases.Lease().Milliseconds(), Departed: c.departed(r.GetEndpoints())}, nil
}

// departed returns the endpoints whose process has ended. The agreed state of the local replica is enough, also if it is behind: an
// endpoint that it knows to have left has left.
func (c *control) departed(endpoints []*wire.Endpoint) []*wire.Departure {
	var list []*wire.Departure
	for _, e := range endpoints {
		if c.hasEnded(e) {
			list = append(list, &wire.Departure{Service: e.GetService(), Name: e.GetName(), Incarnation: e.GetIncarnation()})
		}
	}
	return list
}

// hasEnded reports whether the agreed state ignores an endpoint because its process has ended.
func (c *control) hasEnded(e *wire.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.HasEnded(e)
}

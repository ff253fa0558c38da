package host

import (
	"fmt"
	"time"

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

package host

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"godwitspindle/io/peer"
)

// lostAddresses returns the peer addresses of the voters that this replica does not hear.
func (c *control) lostAddresses(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range c.hearing(now).Missing {
		if a, ok := c.directory.address(s.Identity); ok {
			list = append(list, a)
		}
	}
	return list
}

// hearsMajority reports whether a leader may answer soon: the local replica hears a majority, or there is none to tell.
func (h *Host) hearsMajority() bool {
	return h.control == nil || h.control.hearing(time.Now()).Majority
}

// askReplicas asks the leader or, if it is unknown, fails or is slow, all known replicas at once. With wait, it asks again until
// ctx ends, so that an election is not taken for the loss of a majority, but not while the local replica hears no majority.
func askReplicas[T any](ctx context.Context, h *Host, wait bool, ask func(ctx context.Context, a netip.AddrPort) (T, error)) (T, error) {
	_, known := h.directory.address(h.leader())
	q := peer.Question[T]{Ask: ask, LeaderFirst: known}
	if h.control != nil {
		q.Lost = func(a netip.AddrPort) bool { return slices.Contains(h.control.lostAddresses(time.Now()), a) }
	}
	if wait {
		q.Again = h.hearsMajority
	}
	return q.Put(ctx, h.replicaAddresses)
}

// replicaAddresses returns the peer addresses of the known replicas and of the leader, which comes first. The leader may be unknown to
// the directory: that of a process that has just started holds the seeds only.
func (h *Host) replicaAddresses() []netip.AddrPort {
	leader := h.leader()
	addresses := h.upstream.replicasFrom(leader)
	if a, ok := h.directory.address(leader); ok && !slices.Contains(addresses, a) {
		addresses = append([]netip.AddrPort{a}, addresses...)
	}
	return addresses
}

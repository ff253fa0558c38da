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
	leader := h.leader()
	addresses := h.upstream.replicasFrom(leader)
	first, known := h.directory.address(leader)
	q := peer.Question[T]{Ask: ask, LeaderFirst: known && len(addresses) > 0 && addresses[0] == first}
	if h.control != nil {
		q.Lost = func(a netip.AddrPort) bool { return slices.Contains(h.control.lostAddresses(time.Now()), a) }
	}
	if wait {
		q.Again = h.hearsMajority
	}
	return q.Put(ctx, addresses)
}

package host

import (
	"sync"
	"time"

	"godwitspindle/core/relay"
)

// redirects remembers which nodes a replica has sent to relays.
type redirects struct {
	mu      sync.Mutex
	nodes   map[string]time.Time
	cleared time.Time
}

// first reports whether a node was not sent to relays within the period; one that asks again did not reach them.
func (r *redirects) first(node string, now time.Time, period time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.cleared) > period {
		r.nodes, r.cleared = map[string]time.Time{}, now
	}
	if _, sent := r.nodes[node]; sent {
		return false
	}
	r.nodes[node] = now
	return true
}

// redirect sends a node without a version to the relays of its failure domain, so that a herd that returns together
// does not take all its snapshots from the replicas. A replica that has just started has heard nobody, so it takes every
// agreed node for live; a node whose relays do not answer asks again and is served here.
func (h *Host) redirect(node, domain string) []string {
	nodes := relayNodes(h.holder.View().Table, h.known)
	now := time.Now()
	if _, direct := h.upstream.direct(relay.Node{Domain: domain}, nodes); direct {
		return h.nearer(node, domain, nodes, now)
	}
	alive := h.tracker.Fresh(now)
	if now.Sub(h.started) < 2*pollOf(h.settings) {
		alive = nil
	}
	var list []string
	for _, n := range relay.Relays(nodes, domain, alive) {
		if n.Name == node {
			return nil
		}
		if !n.Replica {
			list = append(list, n.Address.String())
		}
	}
	if len(list) == 0 || !h.redirected.first(node, now, pollOf(h.settings)) {
		return nil
	}
	return list
}

// nearer names the replicas of a node's failure domain when this one is of another: a node that has just started knows only the
// seeds, and its whole snapshot should not cross failure domains. A node that does not reach them asks again and is served here.
func (h *Host) nearer(node, domain string, nodes []relay.Node, now time.Time) []string {
	if domain == "" || domain == h.settings.Domain {
		return nil
	}
	var list []string
	for _, n := range nodes {
		if n.Replica && n.Domain == domain && n.Name != node {
			list = append(list, n.Address.String())
		}
	}
	if len(list) == 0 || !h.redirected.first(node, now, redirectTime) {
		return nil
	}
	return list
}

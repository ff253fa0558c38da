package host

import (
	"sync"
	"time"

	"godwitspindle/core/relay"
)

// redirects records which nodes a replica has recently redirected to relays or to other replicas.
type redirects struct {
	mu      sync.Mutex
	nodes   map[string]time.Time
	cleared time.Time
}

// firstRequest records a node and reports whether the node was not yet recorded. All records are cleared together once the
// period since the last clearing has passed. A node that asks again is not redirected, as it could not reach the addresses.
func (r *redirects) firstRequest(node string, now time.Time, period time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.cleared) > period {
		r.nodes, r.cleared = map[string]time.Time{}, now
	}
	if _, redirected := r.nodes[node]; redirected {
		return false
	}
	r.nodes[node] = now
	return true
}

// redirect returns the relays in the failure domain of a node without a version, so that many nodes that return together do
// not all take their snapshots from the replicas. A replica that has just started has not heard from any node, so it treats
// every agreed node as live. A node whose relays do not answer asks again and is served by the replica.
func (h *Host) redirect(node, domain string) []string {
	nodes := relayNodes(h.holder.View().Table, h.directory)
	now := time.Now()
	if _, direct := h.upstream.direct(relay.Node{Domain: domain}, nodes, h.upstream.leaderName()); direct {
		return h.domainReplicas(node, domain, nodes, now)
	}
	alive := h.tracker.RecentlyHeard(now)
	if now.Sub(h.started) < 2*pollInterval(h.settings) {
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
	if len(list) == 0 || !h.redirected.firstRequest(node, now, pollInterval(h.settings)) {
		return nil
	}
	return list
}

// domainReplicas returns the replicas in a node's failure domain if this replica is in another one. A node that has just
// started knows only the seeds, and its whole snapshot should not cross failure domains. A node that cannot reach those replicas
// asks again and is served here.
func (h *Host) domainReplicas(node, domain string, nodes []relay.Node, now time.Time) []string {
	if domain == "" || domain == h.settings.Domain {
		return nil
	}
	var list []string
	for _, n := range nodes {
		if n.Replica && n.Domain == domain && n.Name != node {
			list = append(list, n.Address.String())
		}
	}
	if len(list) == 0 || !h.redirected.firstRequest(node, now, redirectTime) {
		return nil
	}
	return list
}

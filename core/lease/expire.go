package lease

import (
	"cmp"
	"slices"
	"time"

	"godwitspindle/core/wire"
)

const (
	serviceDivisor = 2  // expiry leaves at least half of the endpoints of each service
	expiryDivisor  = 10 // expiry removes at most a tenth of all endpoints, but at least one, per lease period
	// expiredRetention is the time for which an expired endpoint still counts as one of its service. Otherwise each expiry could
	// remove half of the remaining endpoints, and a long partition would remove nearly all of them step by step.
	expiredRetention = 24 * time.Hour
	// silenceNumerator/silenceDenominator is the part of a lease for which a relay must go on polling after it last named a node.
	// Two of three poll intervals rule out that the relay and the node fell silent together.
	silenceNumerator, silenceDenominator = 2, 3
	// relayLossLeases is the silence of a relay, in leases, after which its nodes count as silent too: its own lease, and one in which
	// they may poll through another relay.
	relayLossLeases = 2
)

// Expiry is an endpoint, or a node without remaining endpoints, whose lease has expired.
type Expiry struct {
	Node     string
	Endpoint string        // SERVICE/NAME; empty for the node itself
	Silent   time.Duration // time since the node was last heard
}

// Expire stages the removal of expired endpoints, as far as the guard against mass expiry allows.
// A node whose lease has expired leaves once all its endpoints have expired. Expire returns the newly expired endpoints and nodes
// for logging. Nothing expires in the first lease period of a leadership.
func (t *Table) Expire(now time.Time) []Expiry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.leadingSince.IsZero() || now.Sub(t.leadingSince) < t.lease {
		return nil
	}
	t.pruneHistory(now)
	silent := t.silentNodes(now)
	if len(silent) == 0 {
		return nil
	}
	counts := t.countByService()
	var out []Expiry
	for _, k := range silent {
		n := t.nodes[k]
		silence := now.Sub(n.lastHeard)
		remaining := 0
		for _, e := range sortedKeys(n.endpoints) {
			if t.expiring[e] {
				continue
			}
			if !t.admitExpiry(e, counts) {
				remaining++
				continue
			}
			t.stageExpiry(now, k, e)
			out = append(out, Expiry{Node: k, Endpoint: e, Silent: silence})
		}
		if remaining == 0 && !t.expiring[k] {
			t.expiring[k] = true
			t.stagedChange(k).leave = true
			out = append(out, Expiry{Node: k, Silent: silence})
		}
	}
	return out
}

// silentNodes returns the nodes whose lease has expired, whose silence is confirmed and that have no staged change, the longest
// silent first.
func (t *Table) silentNodes(now time.Time) []string {
	var out []string
	for k, n := range t.nodes {
		if now.Sub(n.lastHeard) >= t.lease && t.silenceConfirmed(now, n) && t.staged[k] == nil {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(t.nodes[a].lastHeard.Compare(t.nodes[b].lastHeard), cmp.Compare(a, b))
	})
	return out
}

// silenceConfirmed reports whether the node itself is silent, not its relay: the node last polled directly, or the relay that
// last named the node went on polling without naming the node again. After the loss of that relay, the node gets a full lease to poll
// through another one, whether the relay was removed or the guard keeps its endpoints.
func (t *Table) silenceConfirmed(now time.Time, n *node) bool {
	r := t.nodes[n.relay]
	if r == nil {
		return true // the node polled directly, or the relay is not agreed and has not named the node for a lease
	}
	return r.lastHeard.Sub(n.lastHeard) >= t.lease*silenceNumerator/silenceDenominator || now.Sub(r.lastHeard) >= relayLossLeases*t.lease
}

// endpointCount counts the endpoints of one service: usable counts the committed ones that are not expiring, total all committed
// ones and those that expired within expiredRetention and did not return.
type endpointCount struct{ usable, total int }

func (t *Table) countByService() map[string]endpointCount {
	out := map[string]endpointCount{}
	for k, e := range t.endpoints {
		c := out[e.GetService()]
		c.total++
		if !t.expiring[k] {
			c.usable++
		}
		out[e.GetService()] = c
	}
	for k, l := range t.expired {
		if t.endpoints[k] == nil {
			c := out[l.service]
			c.total++
			out[l.service] = c
		}
	}
	return out
}

// admitExpiry reports whether the guard allows one more endpoint to expire; if so, it lowers the usable count of the service.
func (t *Table) admitExpiry(k string, counts map[string]endpointCount) bool {
	if len(t.recentExpiries) >= max(1, len(t.endpoints)/expiryDivisor) {
		return false
	}
	service := t.endpoints[k].GetService()
	c := counts[service]
	if (c.usable-1)*serviceDivisor < c.total {
		return false
	}
	c.usable--
	counts[service] = c
	return true
}

func (t *Table) stageExpiry(now time.Time, name, k string) {
	t.expiring[k] = true
	t.expired[k] = expiredEndpoint{t.endpoints[k].GetService(), now}
	t.recentExpiries = append(t.recentExpiries, now)
	c := t.stagedChange(name)
	c.removed = append(c.removed, k)
}

func (t *Table) pruneHistory(now time.Time) {
	t.recentExpiries = slices.DeleteFunc(t.recentExpiries, func(at time.Time) bool { return now.Sub(at) >= t.lease })
	for k, l := range t.expired {
		if now.Sub(l.at) >= expiredRetention {
			delete(t.expired, k)
		}
	}
	for k, d := range t.departures {
		if now.Sub(d.at) >= t.lease {
			delete(t.departures, k)
		}
	}
}

func (t *Table) addNode(now time.Time, r *wire.Node) {
	delete(t.expiring, r.GetName())
	n := t.nodes[r.GetName()]
	if n == nil {
		n = &node{endpoints: map[string]bool{}}
		t.nodes[r.GetName()] = n
	}
	n.record, n.lastHeard = r, now
}

func (t *Table) addEndpoint(e *wire.Endpoint) {
	k := endpointKey(e)
	delete(t.expiring, k)
	delete(t.expired, k)
	if old := t.endpoints[k]; old != nil && old.GetNode() != e.GetNode() {
		t.removeEndpoint(k)
	}
	t.endpoints[k] = e
	if n := t.nodes[e.GetNode()]; n != nil {
		n.endpoints[k] = true
	}
}

func (t *Table) removeEndpoint(k string) {
	delete(t.expiring, k)
	if e := t.endpoints[k]; e != nil {
		if n := t.nodes[e.GetNode()]; n != nil {
			delete(n.endpoints, k)
		}
	}
	delete(t.endpoints, k)
}

// depart removes an endpoint whose process has left for good, unless it belongs to another process. Which process a departure without
// incarnation means is known to the agreed state only.
func (t *Table) depart(d *wire.Departure) {
	k := d.GetService() + "/" + d.GetName()
	if e := t.endpoints[k]; e != nil && (e.GetIncarnation() == d.GetIncarnation() || t.ended(e)) {
		t.removeEndpoint(k)
	}
}

// removeNode removes a node with its endpoints. Nodes whose last relay was the removed node get a full lease to poll
// through another relay.
func (t *Table) removeNode(now time.Time, name string) {
	delete(t.expiring, name)
	n := t.nodes[name]
	if n == nil {
		return
	}
	for k := range n.endpoints {
		t.removeEndpoint(k)
	}
	delete(t.nodes, name)
	for _, o := range t.nodes {
		if o.relay == name {
			o.relay, o.lastHeard = "", now
		}
	}
}

func sortedKeys(m map[string]bool) []string {
	if len(m) == 0 {
		return nil
	}
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

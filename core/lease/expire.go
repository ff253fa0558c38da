package lease

import (
	"cmp"
	"slices"
	"time"

	"godwitspindle/core/wire"
)

const (
	serviceShare = 2  // expiry leaves at least one in two of the endpoints of a service
	fleetShare   = 10 // and takes at most one in ten of all endpoints in one lease
	// lossMemory is how long an expired endpoint counts among those of its service. Without it the half would be taken of
	// what the last expiry left, and a long partition would empty a service step by step.
	lossMemory = 24 * time.Hour
	// heardNumerator/heardDenominator of a lease: how long the reporting relay must have gone on reporting after it last
	// named the node. Two of three poll intervals rule out that both fell silent together.
	heardNumerator, heardDenominator = 2, 3
)

// Expiry is an endpoint, or a node without endpoints, whose lease ran out.
type Expiry struct {
	Node     string
	Endpoint string // SERVICE/NAME; empty for the node itself
	Silent   time.Duration
}

// Expire stages what has run out, within the guard against mass expiry, and returns it for the log. A node expires one
// endpoint at a time as far as the guard allows, and leaves when it has none.
func (t *Table) Expire(now time.Time) []Expiry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.led.IsZero() || now.Sub(t.led) < t.lease {
		return nil
	}
	t.prune(now)
	silent := t.silent(now)
	if len(silent) == 0 {
		return nil
	}
	counts := t.tallies()
	var out []Expiry
	for _, k := range silent {
		n := t.nodes[k]
		quiet := now.Sub(n.heard)
		remaining := 0
		for _, e := range sorted(n.endpoints) {
			if t.pending[e] {
				continue
			}
			if !t.allowed(e, counts) {
				remaining++
				continue
			}
			t.lose(now, k, e)
			out = append(out, Expiry{Node: k, Endpoint: e, Silent: quiet})
		}
		if remaining == 0 && !t.pending[k] {
			t.pending[k] = true
			t.change(k).leave = true
			out = append(out, Expiry{Node: k, Silent: quiet})
		}
	}
	return out
}

// silent returns the nodes whose lease has run out, longest silent first.
func (t *Table) silent(now time.Time) []string {
	var out []string
	for k, n := range t.nodes {
		if now.Sub(n.heard) >= t.lease && t.witnessed(n) && t.staged[k] == nil {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(t.nodes[a].heard.Compare(t.nodes[b].heard), cmp.Compare(a, b))
	})
	return out
}

// witnessed reports whether the silence of a node counts: it polled directly, or its relay went on reporting without it.
func (t *Table) witnessed(n *node) bool {
	if n.relay == "" {
		return true
	}
	r := t.nodes[n.relay]
	return r != nil && r.heard.Sub(n.heard) >= t.lease*heardNumerator/heardDenominator
}

// tally counts the endpoints of one service: usable ones, and agreed ones with those that expired and did not return.
type tally struct{ usable, agreed int }

func (t *Table) tallies() map[string]tally {
	out := map[string]tally{}
	for k, e := range t.endpoints {
		c := out[e.GetService()]
		c.agreed++
		if !t.pending[k] {
			c.usable++
		}
		out[e.GetService()] = c
	}
	for k, l := range t.expired {
		if t.endpoints[k] == nil {
			c := out[l.service]
			c.agreed++
			out[l.service] = c
		}
	}
	return out
}

// allowed reports whether the guard lets one more endpoint expire, and counts it if so.
func (t *Table) allowed(k string, counts map[string]tally) bool {
	if len(t.recent) >= max(1, len(t.endpoints)/fleetShare) {
		return false
	}
	service := t.endpoints[k].GetService()
	c := counts[service]
	if (c.usable-1)*serviceShare < c.agreed {
		return false
	}
	c.usable--
	counts[service] = c
	return true
}

func (t *Table) lose(now time.Time, name, k string) {
	t.pending[k] = true
	t.expired[k] = loss{t.endpoints[k].GetService(), now}
	t.recent = append(t.recent, now)
	c := t.change(name)
	c.removed = append(c.removed, k)
}

func (t *Table) prune(now time.Time) {
	t.recent = slices.DeleteFunc(t.recent, func(at time.Time) bool { return now.Sub(at) >= t.lease })
	for k, l := range t.expired {
		if now.Sub(l.at) >= lossMemory {
			delete(t.expired, k)
		}
	}
	for k, d := range t.left {
		if now.Sub(d.at) >= t.lease {
			delete(t.left, k)
		}
	}
}

func (t *Table) join(now time.Time, r *wire.Node) {
	delete(t.pending, r.GetName())
	n := t.nodes[r.GetName()]
	if n == nil {
		n = &node{endpoints: map[string]bool{}}
		t.nodes[r.GetName()] = n
	}
	n.record, n.heard = r, now
}

func (t *Table) add(e *wire.Endpoint) {
	k := key(e)
	delete(t.pending, k)
	delete(t.expired, k)
	if old := t.endpoints[k]; old != nil && old.GetNode() != e.GetNode() {
		t.drop(k)
	}
	t.endpoints[k] = e
	if n := t.nodes[e.GetNode()]; n != nil {
		n.endpoints[k] = true
	}
}

func (t *Table) drop(k string) {
	delete(t.pending, k)
	if e := t.endpoints[k]; e != nil {
		if n := t.nodes[e.GetNode()]; n != nil {
			delete(n.endpoints, k)
		}
	}
	delete(t.endpoints, k)
}

// leave drops a node. The nodes that it reported get a full lease to be heard through another relay.
func (t *Table) leave(now time.Time, name string) {
	delete(t.pending, name)
	n := t.nodes[name]
	if n == nil {
		return
	}
	for k := range n.endpoints {
		t.drop(k)
	}
	delete(t.nodes, name)
	for _, o := range t.nodes {
		if o.relay == name {
			o.relay, o.heard = "", now
		}
	}
}

func sorted(m map[string]bool) []string {
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

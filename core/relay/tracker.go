package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"godwitspindle/core/wire"
)

// MaxLaggards is the number of laggards that a report names.
const MaxLaggards = 16

const (
	leasePolls = 3 // a child that was silent for three poll intervals is forgotten
	quietPolls = 2 // after two it is reported as unreachable, and a name heard through a relay no longer counts
)

// Tracker aggregates what a relay or a replica hears from the nodes below it; it is safe for concurrent use.
type Tracker struct {
	self string
	poll time.Duration

	mutex    sync.Mutex
	children map[string]*child
	names    map[string]*name
	left     map[string]departure // children that moved away
	claims   map[string]claim     // children that another child names, until the notice of their move arrives
	named    time.Time            // when names were last reported
}

// Order numbers the polls of one process; a zero number stands for an unknown one.
type Order struct{ Incarnation, Number uint64 }

// before reports whether o was sent before p by the same process.
func (o Order) before(p Order) bool {
	return o.Number > 0 && o.Incarnation == p.Incarnation && o.Number < p.Number
}

// claim is a child's report that names a node which still counts as a child here.
type claim struct {
	via string
	at  time.Time
}

// departure is when a child moved away; its polls from before may still arrive.
type departure struct {
	order Order
	at    time.Time
}

// child is a node that polls this one; a leaf has count 1.
type child struct {
	held     uint64
	lowest   uint64
	count    uint32
	laggards []*wire.Laggard
	heard    time.Time
	order    Order
}

// name is a node somewhere below, or this node's child.
type name struct {
	via   string // the child that named it
	heard time.Time
	fresh bool // heard since the last report that named it
	told  bool // named in a report since it came by this way
}

// NewTracker returns a Tracker for the named node; poll is the poll interval of the profile.
func NewTracker(self string, poll time.Duration) *Tracker {
	return &Tracker{self: self, poll: poll, children: map[string]*child{}, names: map[string]*name{}, left: map[string]departure{}, claims: map[string]claim{}}
}

// Heard records a poll of a child that holds the given version and reports whether any node below came by a new way, which
// the upstream must be told before it can count that node; report is nil for a node without nodes below it.
func (t *Tracker) Heard(now time.Time, node string, held uint64, report *wire.Report) (joined bool) {
	return t.HeardInOrder(now, node, held, report, Order{})
}

// HeardInOrder is Heard for polls that may overtake each other: one that is older than the last takes nothing back.
func (t *Tracker) HeardInOrder(now time.Time, node string, held uint64, report *wire.Report, o Order) (joined bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o.before(t.left[node].order) {
		return false // sent before the node moved away
	}
	c := t.children[node]
	if c != nil && o.before(c.order) {
		return t.mark(node, node, now) || t.markAll(now, node, report)
	}
	if c == nil {
		c = &child{}
		t.children[node] = c
		joined = true
	}
	c.order = o
	c.held, c.lowest, c.count, c.heard, c.laggards = held, held, 1, now, nil
	joined = t.mark(node, node, now) || joined
	if report == nil {
		return joined
	}
	c.count = max(report.GetCount(), 1)
	c.lowest = min(held, report.GetLowest())
	c.laggards = report.GetLaggards()
	return t.markAll(now, node, report) || joined
}

// markAll marks the nodes that a child names and reports whether any came by another way than before.
func (t *Tracker) markAll(now time.Time, node string, report *wire.Report) (joined bool) {
	for _, n := range report.GetAlive() {
		if n == node || n == t.self {
			continue
		}
		if d := t.children[n]; d != nil && now.Sub(d.heard) < quietPolls*t.poll {
			t.claims[n] = claim{node, now}
			continue // either the report is older than its move here, or the notice of its move is still under way
		}
		joined = t.mark(n, node, now) || joined
		delete(t.children, n) // it moved below this child; its own report would count it twice
	}
	return joined
}

// mark notes that a node was heard and reports whether it came by another way than before.
func (t *Tracker) mark(node, via string, now time.Time) (moved bool) {
	n := t.names[node]
	if n == nil {
		n = &name{}
		t.names[node] = n
	}
	moved = n.via != via
	if moved {
		n.told = false
	}
	n.via, n.heard, n.fresh = via, now, true
	return moved
}

// Forget drops a child that is known to have moved or left, with the nodes that were heard through it. A node that has
// come by another way since is kept: the notice to its former upstream may arrive late.
func (t *Tracker) Forget(now time.Time, node string, o Order) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.children[node]; c != nil && o.before(c.order) {
		return // it has come back since
	}
	t.left[node] = departure{o, now}
	delete(t.children, node)
	for k, n := range t.names {
		if n.via == node {
			delete(t.names, k)
		}
	}
	if c, ok := t.claims[node]; ok && t.children[c.via] != nil {
		t.mark(node, c.via, c.at)
	}
	delete(t.claims, node)
}

// Report returns the aggregate of this node and of the nodes below it; held must be the version that the same poll
// reports. Names are in at most one report of each half poll interval.
func (t *Tracker) Report(now time.Time, held uint64) *wire.Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	r := &wire.Report{Lowest: held, Count: 1}
	for _, k := range sorted(t.children) {
		c := t.children[k]
		r.Lowest = min(r.Lowest, c.lowest)
		r.Count += c.count
		r.Laggards = append(r.Laggards, t.behind(now, k, c, held)...)
	}
	r.Laggards = worst(r.Laggards)
	t.name(now, r)
	return r
}

// name adds the names of nodes that were heard: all of them once in half a poll interval, and those that are new here at
// once, since until then the upstream believes them to be elsewhere.
func (t *Tracker) name(now time.Time, r *wire.Report) {
	all := t.named.IsZero() || now.Sub(t.named) >= t.poll/2
	if all {
		t.named = now
		r.Alive = append(r.Alive, t.self)
	}
	for _, k := range sorted(t.names) {
		n := t.names[k]
		if n.fresh && (all || !n.told) {
			n.fresh, n.told = false, true
			r.Alive = append(r.Alive, k)
		}
	}
}

// behind returns the laggards at and below a child, seen from a node that holds the given version.
func (t *Tracker) behind(now time.Time, node string, c *child, held uint64) []*wire.Laggard {
	var out []*wire.Laggard
	silent := now.Sub(c.heard)
	self := false
	for _, l := range c.laggards {
		self = self || l.GetNode() == node
		if l.GetVersion() < held || l.GetReason() != wire.Reason_REASON_STALE {
			out = append(out, &wire.Laggard{Node: l.GetNode(), Version: l.GetVersion(), Reason: l.GetReason(), Heard: l.GetHeard() + silent.Milliseconds()})
		}
	}
	if self || (c.held >= held && silent < quietPolls*t.poll) {
		return out
	}
	reason := wire.Reason_REASON_STALE
	if silent >= quietPolls*t.poll {
		reason = wire.Reason_REASON_UNREACHABLE
	}
	return append(out, &wire.Laggard{Node: node, Version: c.held, Reason: reason, Heard: silent.Milliseconds()})
}

// Force returns on how many of the given nodes the version is in force, and who is behind. held is the version of this
// node itself. A node counts only when it is proven: it was heard within two poll intervals, the child that named it
// holds the version, and it is not among that child's laggards (all unnamed nodes are behind when the list is full).
func (t *Tracker) Force(now time.Time, version, held uint64, nodes []string) (count int, behind []*wire.Laggard) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, k := range nodes {
		l := t.check(now, k, version, held)
		if l == nil {
			count++
			continue
		}
		behind = append(behind, l)
	}
	return count, worst(behind)
}

// check returns nil when the version is proven to be in force on the node.
func (t *Tracker) check(now time.Time, node string, version, held uint64) *wire.Laggard {
	if node == t.self {
		if held >= version {
			return nil
		}
		return &wire.Laggard{Node: node, Version: held, Reason: wire.Reason_REASON_STALE}
	}
	n := t.names[node]
	if n == nil {
		return &wire.Laggard{Node: node, Reason: wire.Reason_REASON_UNREACHABLE, Heard: -1}
	}
	silent := now.Sub(n.heard)
	c := t.children[n.via]
	if c == nil || silent >= quietPolls*t.poll {
		return &wire.Laggard{Node: node, Reason: wire.Reason_REASON_UNREACHABLE, Heard: silent.Milliseconds()}
	}
	at := slices.IndexFunc(c.laggards, func(l *wire.Laggard) bool { return l.GetNode() == node })
	reason, held := wire.Reason_REASON_STALE, c.lowest
	if at >= 0 {
		reason, held = c.laggards[at].GetReason(), c.laggards[at].GetVersion()
	}
	behind := func() *wire.Laggard {
		return &wire.Laggard{Node: node, Reason: reason, Version: held, Heard: silent.Milliseconds()}
	}
	if reason != wire.Reason_REASON_STALE {
		return behind()
	}
	if node == n.via {
		held = c.held
	}
	if c.lowest >= version || (node == n.via && c.held >= version) {
		return nil
	}
	if c.held >= version && len(c.laggards) < MaxLaggards && (held >= version || at < 0) {
		return nil
	}
	return behind()
}

// expire forgets children and names that were silent for a lease.
func (t *Tracker) expire(now time.Time) {
	for k, c := range t.children {
		if now.Sub(c.heard) >= leasePolls*t.poll {
			delete(t.children, k)
		}
	}
	for k, n := range t.names {
		if now.Sub(n.heard) >= leasePolls*t.poll {
			delete(t.names, k)
		}
	}
	for k, c := range t.claims {
		if now.Sub(c.at) >= quietPolls*t.poll {
			delete(t.claims, k)
		}
	}
	for k, f := range t.left {
		if now.Sub(f.at) >= leasePolls*t.poll {
			delete(t.left, k)
		}
	}
}

// worst keeps the laggards that are furthest behind.
func worst(list []*wire.Laggard) []*wire.Laggard {
	slices.SortFunc(list, func(a, b *wire.Laggard) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	return list[:min(len(list), MaxLaggards)]
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

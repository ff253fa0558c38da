package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"godwitspindle/core/wire"
)

// MaxLaggards is the maximum number of laggards in a report.
const MaxLaggards = 16

const (
	leasePolls       = 3 // poll intervals of silence after which a node is removed
	unreachablePolls = 2 // poll intervals of silence after which a node counts as unreachable
)

// Tracker aggregates the reports of the nodes below a relay or a replica; it is safe for concurrent use.
type Tracker struct {
	self string
	poll time.Duration

	mutex        sync.Mutex
	children     map[string]*child
	nodes        map[string]*knownNode
	departed     map[string]departure   // removed children by name
	pendingMoves map[string]pendingMove // children that another child names too, until RemoveChild is called for them
	namesSentAt  time.Time              // when a report last listed all names
}

// PollOrder is the sequence number of a poll within one process; number 0 means unknown.
type PollOrder struct{ Incarnation, Number uint64 }

// before reports whether o is known to be sent before p by the same process.
func (o PollOrder) before(p PollOrder) bool {
	return o.Number > 0 && o.Incarnation == p.Incarnation && o.Number < p.Number
}

// pendingMove records that a child named a node that is still another child of this node.
type pendingMove struct {
	reporter string // the child that named it
	at       time.Time
}

// departure records when a child was removed, so that polls sent earlier are ignored when they arrive late.
type departure struct {
	order PollOrder
	at    time.Time
}

// child is a node that polls this one.
type child struct {
	held     uint64 // version held by the child itself
	lowest   uint64 // lowest version held by the child and the nodes below it
	count    uint32 // number of nodes: the child and those below it
	laggards []*wire.Laggard
	heard    time.Time // when its last poll in order arrived
	order    PollOrder // order of that poll
}

// knownNode is a child or another node below this one.
type knownNode struct {
	reporter     string    // the child that named it, or the node itself
	heard        time.Time // when the node itself polled or a child named it last
	unreported   bool      // heard since the last report that named it
	moveReported bool      // named in a report since reporter changed
}

// NewTracker returns a Tracker for the node self; poll is the poll interval of its nodes.
func NewTracker(self string, poll time.Duration) *Tracker {
	return &Tracker{
		self: self, poll: poll, children: map[string]*child{}, nodes: map[string]*knownNode{},
		departed: map[string]departure{}, pendingMoves: map[string]pendingMove{},
	}
}

// RecordPoll records a poll of a child that holds the given version; report is nil for a child without nodes below it. The result
// tells whether a node is new or moved to another child: the upstream counts such a node only once a report names it.
func (t *Tracker) RecordPoll(now time.Time, node string, held uint64, report *wire.Report) (joined bool) {
	return t.RecordOrderedPoll(now, node, held, report, PollOrder{})
}

// RecordOrderedPoll is RecordPoll for polls that may arrive out of order: one older than the last only proves that its nodes are
// alive, and one older than the removal of its child is ignored.
func (t *Tracker) RecordOrderedPoll(now time.Time, node string, held uint64, report *wire.Report, o PollOrder) (joined bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o.before(t.departed[node].order) {
		return false // sent before the node moved to another upstream
	}
	c := t.children[node]
	if c != nil && o.before(c.order) {
		return t.recordHeard(node, node, now) || t.recordNamed(now, node, report)
	}
	if c == nil {
		c = &child{}
		t.children[node] = c
		joined = true
	}
	c.order = o
	c.held, c.lowest, c.count, c.heard, c.laggards = held, held, 1, now, nil
	joined = t.recordHeard(node, node, now) || joined
	if report == nil {
		return joined
	}
	c.count = max(report.GetCount(), 1)
	c.lowest = min(held, report.GetLowest())
	c.laggards = report.GetLaggards()
	return t.recordNamed(now, node, report) || joined
}

// recordNamed records the nodes that a child names and reports whether any is new or was named by another child before.
func (t *Tracker) recordNamed(now time.Time, node string, report *wire.Report) (joined bool) {
	for _, n := range report.GetAlive() {
		if n == node || n == t.self {
			continue
		}
		if d := t.children[n]; d != nil && now.Sub(d.heard) < unreachablePolls*t.poll {
			t.pendingMoves[n] = pendingMove{node, now}
			continue // the report predates n's move to this node, or the notice that n moved away is still in flight
		}
		joined = t.recordHeard(n, node, now) || joined
		delete(t.children, n) // node n moved below this child, whose count includes n
	}
	return joined
}

// recordHeard records that a node itself polled or that a child named the node, and reports whether the node is new or has
// another reporter than before.
func (t *Tracker) recordHeard(node, reporter string, now time.Time) (changed bool) {
	n := t.nodes[node]
	if n == nil {
		n = &knownNode{}
		t.nodes[node] = n
	}
	changed = n.reporter != reporter
	if changed {
		n.moveReported = false
	}
	n.reporter, n.heard, n.unreported = reporter, now, true
	return changed
}

// RemoveChild removes a child that moved to another upstream or left, and the nodes below it. A node that another child has named
// since stays, because the notice of a move may arrive late. A notice sent before the child's last poll changes nothing.
func (t *Tracker) RemoveChild(now time.Time, node string, o PollOrder) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.children[node]; c != nil && o.before(c.order) {
		return // the child polled again after it sent the notice
	}
	t.departed[node] = departure{o, now}
	delete(t.children, node)
	for k, n := range t.nodes {
		if n.reporter == node {
			delete(t.nodes, k)
		}
	}
	if c, ok := t.pendingMoves[node]; ok && t.children[c.reporter] != nil {
		t.recordHeard(node, c.reporter, c.at)
	}
	delete(t.pendingMoves, node)
}

// Report returns the aggregate of this node and the nodes below it; held must be the version that the same poll reports. All
// names are listed at most once in half a poll interval.
func (t *Tracker) Report(now time.Time, held uint64) *wire.Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	r := &wire.Report{Lowest: held, Count: 1}
	for _, k := range sortedKeys(t.children) {
		c := t.children[k]
		r.Lowest = min(r.Lowest, c.lowest)
		r.Count += c.count
		r.Laggards = append(r.Laggards, t.childLaggards(now, k, c, held)...)
	}
	r.Laggards = furthestBehind(r.Laggards)
	t.addNames(now, r)
	return r
}

// addNames adds the names of nodes heard since a report last named them: new or moved nodes to every report, since the upstream
// looks for them elsewhere until it gets their names, and all nodes, with this one, at most once in half a poll interval.
func (t *Tracker) addNames(now time.Time, r *wire.Report) {
	listAll := t.namesSentAt.IsZero() || now.Sub(t.namesSentAt) >= t.poll/2
	if listAll {
		t.namesSentAt = now
		r.Alive = append(r.Alive, t.self)
	}
	for _, k := range sortedKeys(t.nodes) {
		n := t.nodes[k]
		if n.unreported && (listAll || !n.moveReported) {
			n.unreported, n.moveReported = false, true
			r.Alive = append(r.Alive, k)
		}
	}
}

// childLaggards returns the child and the nodes below it as far as they are unreachable, refuse a version or are behind held.
func (t *Tracker) childLaggards(now time.Time, node string, c *child, held uint64) []*wire.Laggard {
	var out []*wire.Laggard
	silence := now.Sub(c.heard)
	listed := false
	for _, l := range c.laggards {
		listed = listed || l.GetNode() == node
		if l.GetVersion() < held || l.GetReason() != wire.Reason_REASON_STALE {
			out = append(out, &wire.Laggard{Node: l.GetNode(), Version: l.GetVersion(), Reason: l.GetReason(), Heard: l.GetHeard() + silence.Milliseconds()})
		}
	}
	if listed || (c.held >= held && silence < unreachablePolls*t.poll) {
		return out
	}
	reason := wire.Reason_REASON_STALE
	if silence >= unreachablePolls*t.poll {
		reason = wire.Reason_REASON_UNREACHABLE
	}
	return append(out, &wire.Laggard{Node: node, Version: c.held, Reason: reason, Heard: silence.Milliseconds()})
}

// InForce returns on how many of the given nodes the version is in force, and at most MaxLaggards of the rest; held is the
// version of this node itself. A node counts only with proof: it was heard within two poll intervals, and the child that named
// it does not list it as refusing or unreachable. All nodes at and below that child must hold the version, or the child must
// hold it and not list the node as behind it. If the child's list of laggards is full, only the child itself counts in the
// second case.
func (t *Tracker) InForce(now time.Time, version, held uint64, nodes []string) (count int, laggards []*wire.Laggard) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, k := range nodes {
		l := t.checkInForce(now, k, version, held)
		if l == nil {
			count++
			continue
		}
		laggards = append(laggards, l)
	}
	return count, furthestBehind(laggards)
}

// checkInForce returns nil if the version is proven to be in force on the node, or else the node as a laggard.
func (t *Tracker) checkInForce(now time.Time, node string, version, held uint64) *wire.Laggard {
	if node == t.self {
		if held >= version {
			return nil
		}
		return &wire.Laggard{Node: node, Version: held, Reason: wire.Reason_REASON_STALE}
	}
	n := t.nodes[node]
	if n == nil {
		return &wire.Laggard{Node: node, Reason: wire.Reason_REASON_UNREACHABLE, Heard: -1}
	}
	silence := now.Sub(n.heard)
	c := t.children[n.reporter]
	if c == nil || silence >= unreachablePolls*t.poll {
		return &wire.Laggard{Node: node, Reason: wire.Reason_REASON_UNREACHABLE, Heard: silence.Milliseconds()}
	}
	at := slices.IndexFunc(c.laggards, func(l *wire.Laggard) bool { return l.GetNode() == node })
	reason, held := wire.Reason_REASON_STALE, c.lowest
	if at >= 0 {
		reason, held = c.laggards[at].GetReason(), c.laggards[at].GetVersion()
	}
	laggard := func() *wire.Laggard {
		return &wire.Laggard{Node: node, Reason: reason, Version: held, Heard: silence.Milliseconds()}
	}
	if reason != wire.Reason_REASON_STALE {
		return laggard()
	}
	if node == n.reporter {
		held = c.held
	}
	if c.lowest >= version || (node == n.reporter && c.held >= version) {
		return nil
	}
	if c.held >= version && len(c.laggards) < MaxLaggards && (held >= version || at < 0) {
		return nil
	}
	return laggard()
}

// expire removes children, nodes and departures after leasePolls poll intervals, and pending moves after unreachablePolls
// intervals.
func (t *Tracker) expire(now time.Time) {
	for k, c := range t.children {
		if now.Sub(c.heard) >= leasePolls*t.poll {
			delete(t.children, k)
		}
	}
	for k, n := range t.nodes {
		if now.Sub(n.heard) >= leasePolls*t.poll {
			delete(t.nodes, k)
		}
	}
	for k, c := range t.pendingMoves {
		if now.Sub(c.at) >= unreachablePolls*t.poll {
			delete(t.pendingMoves, k)
		}
	}
	for k, f := range t.departed {
		if now.Sub(f.at) >= leasePolls*t.poll {
			delete(t.departed, k)
		}
	}
}

// furthestBehind returns the laggards with the lowest versions, at most MaxLaggards.
func furthestBehind(list []*wire.Laggard) []*wire.Laggard {
	slices.SortFunc(list, func(a, b *wire.Laggard) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetNode(), b.GetNode()))
	})
	return list[:min(len(list), MaxLaggards)]
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

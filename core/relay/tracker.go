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
	leasePolls       = 3 // a child that is silent for three poll intervals is removed
	unreachablePolls = 2 // after two it is reported as unreachable, and nodes named by a relay no longer count as alive
)

// Tracker aggregates the reports of the nodes below a relay or a replica; it is safe for concurrent use.
type Tracker struct {
	self string
	poll time.Duration

	mutex        sync.Mutex
	children     map[string]*child
	nodes        map[string]*knownNode
	departed     map[string]departure   // children that moved to another upstream
	pendingMoves map[string]pendingMove // children that another child names too, until Forget is called for them
	namesSentAt  time.Time              // when a report last listed all names
}

// PollOrder is the sequence number of a poll within one process; number 0 means unknown.
type PollOrder struct{ Incarnation, Number uint64 }

// before reports whether o was sent before p by the same process.
func (o PollOrder) before(p PollOrder) bool {
	return o.Number > 0 && o.Incarnation == p.Incarnation && o.Number < p.Number
}

// pendingMove records that a child named a node that is still a child of this one.
type pendingMove struct {
	via string // the child that named it
	at  time.Time
}

// departure records when a child moved away, so that polls sent earlier are ignored when they arrive late.
type departure struct {
	order PollOrder
	at    time.Time
}

// child is a node that polls this one.
type child struct {
	held     uint64
	lowest   uint64 // lowest version held by it and the nodes below it
	count    uint32 // nodes, itself and those below it
	laggards []*wire.Laggard
	heard    time.Time
	order    PollOrder
}

// knownNode is a child or another node below this one.
type knownNode struct {
	via         string // the child that named it, or the node itself
	heard       time.Time
	unreported  bool // heard since the last report that named it
	viaReported bool // named in a report since via changed
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

// RecordOrderedPoll is Heard for polls that may arrive out of order: one older than the last only proves that its nodes are alive.
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
			continue // either the report predates its move to this node, or the notice that it moved away is still in flight
		}
		joined = t.recordHeard(n, node, now) || joined
		delete(t.children, n) // it moved below this child, whose count includes it
	}
	return joined
}

// recordHeard records that a node was heard through the child via and reports whether via is new.
func (t *Tracker) recordHeard(node, via string, now time.Time) (moved bool) {
	n := t.nodes[node]
	if n == nil {
		n = &knownNode{}
		t.nodes[node] = n
	}
	moved = n.via != via
	if moved {
		n.viaReported = false
	}
	n.via, n.heard, n.unreported = via, now, true
	return moved
}

// RemoveChild removes a child that moved to another upstream or left, and the nodes that it named last. A node that another child
// has named since stays, because the notice of a move may arrive late.
func (t *Tracker) RemoveChild(now time.Time, node string, o PollOrder) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.children[node]; c != nil && o.before(c.order) {
		return // it polled this node again after the notice was sent
	}
	t.departed[node] = departure{o, now}
	delete(t.children, node)
	for k, n := range t.nodes {
		if n.via == node {
			delete(t.nodes, k)
		}
	}
	if c, ok := t.pendingMoves[node]; ok && t.children[c.via] != nil {
		t.recordHeard(node, c.via, c.at)
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
		r.Laggards = append(r.Laggards, t.laggardsVia(now, k, c, held)...)
	}
	r.Laggards = furthestBehind(r.Laggards)
	t.addNames(now, r)
	return r
}

// addNames adds the names of the nodes heard since they were last reported: all once in half a poll interval, and new or moved
// ones in every report, since the upstream looks for them elsewhere until it gets their names.
func (t *Tracker) addNames(now time.Time, r *wire.Report) {
	listAll := t.namesSentAt.IsZero() || now.Sub(t.namesSentAt) >= t.poll/2
	if listAll {
		t.namesSentAt = now
		r.Alive = append(r.Alive, t.self)
	}
	for _, k := range sortedKeys(t.nodes) {
		n := t.nodes[k]
		if n.unreported && (listAll || !n.viaReported) {
			n.unreported, n.viaReported = false, true
			r.Alive = append(r.Alive, k)
		}
	}
}

// laggardsVia returns which of a child and the nodes below it are unreachable or behind the version held.
func (t *Tracker) laggardsVia(now time.Time, node string, c *child, held uint64) []*wire.Laggard {
	var out []*wire.Laggard
	silent := now.Sub(c.heard)
	listed := false
	for _, l := range c.laggards {
		listed = listed || l.GetNode() == node
		if l.GetVersion() < held || l.GetReason() != wire.Reason_REASON_STALE {
			out = append(out, &wire.Laggard{Node: l.GetNode(), Version: l.GetVersion(), Reason: l.GetReason(), Heard: l.GetHeard() + silent.Milliseconds()})
		}
	}
	if listed || (c.held >= held && silent < unreachablePolls*t.poll) {
		return out
	}
	reason := wire.Reason_REASON_STALE
	if silent >= unreachablePolls*t.poll {
		reason = wire.Reason_REASON_UNREACHABLE
	}
	return append(out, &wire.Laggard{Node: node, Version: c.held, Reason: reason, Heard: silent.Milliseconds()})
}

// InForce returns on how many of the given nodes the version is in force, and the laggards among the rest; held is the version of
// this node itself. A node counts only with proof: it was heard within two poll intervals, the child that named it holds the
// version, and it is not among that child's laggards below the version. If that list is full, nodes not on it count as behind.
func (t *Tracker) InForce(now time.Time, version, held uint64, nodes []string) (count int, behind []*wire.Laggard) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, k := range nodes {
		l := t.checkInForce(now, k, version, held)
		if l == nil {
			count++
			continue
		}
		behind = append(behind, l)
	}
	return count, furthestBehind(behind)
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
	silent := now.Sub(n.heard)
	c := t.children[n.via]
	if c == nil || silent >= unreachablePolls*t.poll {
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

// expire removes children, nodes and departures after leasePolls poll intervals, and pending moves after unreachablePolls.
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

// furthestBehind returns the MaxLaggards laggards with the lowest versions.
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

package lease

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

const (
	defaultLease  = 15 * time.Second
	defaultWindow = 100 * time.Millisecond
)

// Table holds the leases of the agreed nodes and endpoints; it is safe for concurrent use.
type Table struct {
	lease  time.Duration
	window time.Duration

	mutex     sync.Mutex
	led       time.Time // when this leadership began; zero while this replica does not lead
	nodes     map[string]*node
	endpoints map[string]*wire.Endpoint // by SERVICE/NAME
	left      map[string]departure      // nodes that announced their leave, for one lease
	pending   map[string]bool           // endpoint keys and node names whose expiry was proposed
	expired   map[string]loss           // endpoints that expired and did not return
	recent    []time.Time               // expiries of endpoints in the last lease

	staged  wire.Membership
	first   time.Time // first staged change; zero when nothing is staged
	flushed time.Time
}

type node struct {
	record    *wire.Node
	heard     time.Time
	relay     string // who named it last; empty for itself
	endpoints map[string]bool
}

type departure struct {
	incarnation uint64
	at          time.Time
}

type loss struct {
	service string
	at      time.Time
}

// Option sets up a Table.
type Option func(*Table)

// WithLease sets the lease; the default is 15 s.
func WithLease(d time.Duration) Option { return func(t *Table) { t.lease = d } }

// WithWindow sets the time between two commands; the default is 100 ms.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// New returns an empty Table that does not lead.
func New(opts ...Option) *Table {
	t := &Table{lease: defaultLease, window: defaultWindow}
	for _, o := range opts {
		o(t)
	}
	t.clear()
	return t
}

func (t *Table) clear() {
	t.nodes = map[string]*node{}
	t.endpoints = map[string]*wire.Endpoint{}
	t.left = map[string]departure{}
	t.pending = map[string]bool{}
	t.expired = map[string]loss{}
	t.recent = nil
	t.staged = wire.Membership{}
	t.first = time.Time{}
}

// Lease returns the length of a lease.
func (t *Table) Lease() time.Duration { return t.lease }

// Reset begins a leadership with the agreed nodes and endpoints and gives every lease a full period.
func (t *Table) Reset(now time.Time, nodes []*wire.Node, endpoints []*wire.Endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clear()
	t.led = now
	for _, n := range nodes {
		t.join(now, n)
	}
	for _, e := range endpoints {
		t.add(e)
	}
}

// Stop ends a leadership; nothing is staged or expired until the next Reset.
func (t *Table) Stop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clear()
	t.led = time.Time{}
}

// Applied follows a command that the agreed log has applied.
func (t *Table) Applied(now time.Time, m *wire.Membership) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.led.IsZero() {
		return
	}
	for _, k := range m.GetRemoved() {
		t.drop(k)
	}
	for _, k := range m.GetLeaves() {
		t.leave(now, k)
	}
	for _, n := range m.GetJoins() {
		t.join(now, n)
	}
	for _, e := range m.GetEndpoints() {
		t.add(e)
	}
}

// Failed stages the changes of a command that was not accepted again, behind what was staged since.
func (t *Table) Failed(now time.Time, m *wire.Membership) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.led.IsZero() {
		return
	}
	for _, n := range m.GetJoins() {
		if !t.stagedNode(n.GetName()) {
			t.staged.Joins = append(t.staged.Joins, n)
		}
	}
	for _, e := range m.GetEndpoints() {
		if !t.stagedNode(e.GetNode()) && !t.stagedKey(key(e)) {
			t.staged.Endpoints = append(t.staged.Endpoints, e)
		}
	}
	for _, k := range m.GetLeaves() {
		if !t.stagedNode(k) {
			t.staged.Leaves = append(t.staged.Leaves, k)
		}
	}
	for _, k := range m.GetRemoved() {
		if !t.stagedKey(k) {
			t.staged.Removed = append(t.staged.Removed, k)
		}
	}
	t.touch(now)
}

// Heard renews the leases of the named nodes; relay is the node that named them, or the node itself when it polled directly.
func (t *Table) Heard(now time.Time, relay string, names []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r := t.nodes[relay]; r != nil {
		r.heard, r.relay = now, ""
	}
	for _, k := range names {
		n := t.nodes[k]
		if n == nil || k == relay {
			continue
		}
		n.heard, n.relay = now, relay
	}
}

// Missing reports whether the agreed set lacks the node in this incarnation, so that it has to announce again.
func (t *Table) Missing(name string, incarnation uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := t.nodes[name]
	return !t.led.IsZero() && (n == nil || n.record.GetIncarnation() != incarnation)
}

// Announce stages the difference between the agreed set and what the node announces: endpoints are all that it has.
// It reports whether anything was staged. A leave is always taken, but not that of another incarnation than the agreed
// one, and a join of an incarnation that has left is a message that was overtaken.
func (t *Table) Announce(now time.Time, n *wire.Node, endpoints []*wire.Endpoint, leaving bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.led.IsZero() {
		return false
	}
	held := t.nodes[n.GetName()]
	if leaving {
		if held != nil && held.record.GetIncarnation() != n.GetIncarnation() {
			return false
		}
		t.left[n.GetName()] = departure{n.GetIncarnation(), now}
		if held == nil && !t.stagedNode(n.GetName()) {
			return false
		}
		t.unstage(n.GetName())
		t.staged.Leaves = append(t.staged.Leaves, n.GetName())
		t.touch(now)
		return true
	}
	if d, ok := t.left[n.GetName()]; ok && d.incarnation == n.GetIncarnation() {
		return false
	}
	if held != nil {
		held.heard = now
	}
	return t.stage(now, held, n, endpoints)
}

func (t *Table) stage(now time.Time, held *node, n *wire.Node, endpoints []*wire.Endpoint) bool {
	t.unstage(n.GetName())
	changed := false
	if held == nil || !proto.Equal(held.record, n) || t.pending[n.GetName()] {
		t.staged.Joins = append(t.staged.Joins, n)
		changed = true
	}
	kept := map[string]bool{}
	for _, e := range endpoints {
		k := key(e)
		kept[k] = true
		if !proto.Equal(t.endpoints[k], e) || t.pending[k] {
			t.staged.Endpoints = append(t.staged.Endpoints, e)
			changed = true
		}
	}
	if held != nil {
		for _, k := range sorted(held.endpoints) {
			if !kept[k] {
				t.staged.Removed = append(t.staged.Removed, k)
				changed = true
			}
		}
	}
	if changed {
		t.touch(now)
	}
	return changed
}

// Next returns the staged changes as one command, at most one in each window, or nil. The first change after a quiet
// window goes out at once, so that a single leave does not wait.
func (t *Table) Next(now time.Time) *wire.Membership {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.first.IsZero() || now.Sub(t.flushed) < t.window {
		return nil
	}
	m := &wire.Membership{Joins: t.staged.Joins, Endpoints: t.staged.Endpoints, Leaves: t.staged.Leaves, Removed: t.staged.Removed}
	t.staged = wire.Membership{}
	t.first = time.Time{}
	t.flushed = now
	if len(m.Joins)+len(m.Endpoints)+len(m.Leaves)+len(m.Removed) == 0 {
		return nil
	}
	return m
}

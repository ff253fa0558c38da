package lease

import (
	"maps"
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
	flights   map[string]*flight        // nodes with a command that Next returned and that is not applied yet

	staged  map[string]*change // by node
	order   []string           // nodes in the order in which they were staged; may hold some that were taken back
	flushed time.Time
}

type node struct {
	record    *wire.Node
	heard     time.Time
	relay     string // who named it last; empty for itself
	endpoints map[string]bool
}

// flight is what the commands under way say about a node; its next announcement is compared with that, too.
type flight struct {
	commands  int
	joined    *wire.Node
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
	t.flights = map[string]*flight{}
	t.staged, t.order = map[string]*change{}, nil
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
	t.land(m)
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

// Failed stages the changes of a command that was not accepted again, except for nodes with newer ones.
func (t *Table) Failed(m *wire.Membership) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.led.IsZero() {
		return
	}
	again := map[string]*change{}
	for _, k := range t.split(m, again) {
		if t.staged[k] == nil {
			*t.change(k) = *again[k]
		}
	}
	t.land(m)
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
	if leaving {
		return t.depart(now, n)
	}
	if d, ok := t.left[n.GetName()]; ok && d.incarnation == n.GetIncarnation() {
		return false
	}
	held := t.nodes[n.GetName()]
	if held != nil {
		held.heard = now
	}
	return t.stage(held, n, endpoints)
}

// depart stages a leave. That of a node which is not agreed is taken as well, since its join may be under way.
func (t *Table) depart(now time.Time, n *wire.Node) bool {
	k := n.GetName()
	latest := t.latest(k)
	if latest != nil && latest.GetIncarnation() != n.GetIncarnation() {
		return false
	}
	if d, ok := t.left[k]; ok && d.incarnation == n.GetIncarnation() && t.nodes[k] == nil {
		return false // resent
	}
	t.left[k] = departure{n.GetIncarnation(), now}
	*t.change(k) = change{leave: true}
	return true
}

// latest returns the newest join of a node: staged, under way, or agreed.
func (t *Table) latest(name string) *wire.Node {
	if c := t.staged[name]; c != nil && c.join != nil {
		return c.join
	}
	if f := t.flights[name]; f != nil && f.joined != nil {
		return f.joined
	}
	if n := t.nodes[name]; n != nil {
		return n.record
	}
	return nil
}

func (t *Table) stage(held *node, n *wire.Node, endpoints []*wire.Endpoint) bool {
	delete(t.staged, n.GetName()) // a newer announcement replaces the whole of an earlier one
	var c change
	f := t.flights[n.GetName()]
	known := map[string]bool{}
	if f != nil {
		maps.Copy(known, f.endpoints)
	}
	if held != nil {
		maps.Copy(known, held.endpoints)
	}
	if held == nil || f != nil || !proto.Equal(held.record, n) || t.pending[n.GetName()] {
		c.join = n
	}
	for _, e := range endpoints {
		k := key(e)
		delete(known, k)
		if f != nil || !proto.Equal(t.endpoints[k], e) || t.pending[k] {
			c.endpoints = append(c.endpoints, e)
		}
	}
	c.removed = sorted(known)
	if c.join == nil && len(c.endpoints)+len(c.removed) == 0 {
		return false
	}
	*t.change(n.GetName()) = c
	return true
}

// Next returns the staged changes as one command, at most one in each window, or nil. The first change after a quiet
// window goes out at once, so that a single leave does not wait.
func (t *Table) Next(now time.Time) *wire.Membership {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.staged) == 0 {
		t.order = t.order[:0]
		return nil
	}
	if now.Sub(t.flushed) < t.window {
		return nil
	}
	m := &wire.Membership{}
	for _, k := range t.order {
		c := t.staged[k]
		if c == nil {
			continue
		}
		delete(t.staged, k)
		if c.join != nil {
			m.Joins = append(m.Joins, c.join)
		}
		if c.leave {
			m.Leaves = append(m.Leaves, k)
		}
		m.Endpoints = append(m.Endpoints, c.endpoints...)
		m.Removed = append(m.Removed, c.removed...)
	}
	t.order = t.order[:0]
	t.flushed = now
	t.launch(m)
	return m
}

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

// Table holds the leases of the nodes and endpoints that the log has committed; it is safe for concurrent use.
type Table struct {
	lease  time.Duration               // lease period
	window time.Duration               // minimum time between two commands
	ended  func(e *wire.Endpoint) bool // reports whether the agreed state ignores the endpoint

	mutex          sync.Mutex
	leadingSince   time.Time // start of this leadership; zero while this replica does not lead
	nodes          map[string]*node
	endpoints      map[string]*wire.Endpoint  // by SERVICE/NAME
	departures     map[string]departure       // announced leaves of the last lease period, by node
	expiring       map[string]bool            // endpoint keys and node names whose expiry is staged or proposed
	expired        map[string]expiredEndpoint // endpoints that expired within expiredRetention and did not return, by SERVICE/NAME
	recentExpiries []time.Time                // times of endpoint expiries within the last lease period
	inFlight       map[string]*nodeInFlight   // by node: commands that Next returned and that are neither applied nor failed

	staged      map[string]*change // by node
	stagedOrder []string           // nodes in the order of staging; some may have no staged change any longer
	lastCommand time.Time          // time of the last command that Next returned
}

type node struct {
	record    *wire.Node
	lastHeard time.Time       // time from which the lease counts
	relay     string          // relay that last named the node; empty if the node polled directly
	endpoints map[string]bool // keys of its endpoints
}

// nodeInFlight is what commands in flight change on a node. The node's next announcement is compared with it as well as with the
// committed state.
type nodeInFlight struct {
	commands  int             // number of commands in flight
	joined    *wire.Node      // latest join; nil if there is none
	endpoints map[string]bool // keys of added endpoints
}

type departure struct {
	incarnation uint64
	at          time.Time
}

type expiredEndpoint struct {
	service string
	at      time.Time
}

// Option changes a default of New, for example the lease period of 15 s.
type Option func(*Table)

// WithLease sets the lease period; the default is 15 s.
func WithLease(d time.Duration) Option { return func(t *Table) { t.lease = d } }

// WithWindow sets the minimum time between two commands; the default is 100 ms.
func WithWindow(d time.Duration) Option { return func(t *Table) { t.window = d } }

// WithEnded sets the function that reports whether the agreed state ignores an endpoint because its process has ended; the Table
// ignores such an endpoint too. It is called with the mutex of the Table held.
func WithEnded(f func(e *wire.Endpoint) bool) Option { return func(t *Table) { t.ended = f } }

// New returns an empty Table that does not lead.
func New(opts ...Option) *Table {
	t := &Table{lease: defaultLease, window: defaultWindow, ended: func(*wire.Endpoint) bool { return false }}
	for _, o := range opts {
		o(t)
	}
	t.clear()
	return t
}

func (t *Table) clear() {
	t.nodes = map[string]*node{}
	t.endpoints = map[string]*wire.Endpoint{}
	t.departures = map[string]departure{}
	t.expiring = map[string]bool{}
	t.expired = map[string]expiredEndpoint{}
	t.recentExpiries = nil
	t.inFlight = map[string]*nodeInFlight{}
	t.staged, t.stagedOrder = map[string]*change{}, nil
}

// Lease returns the lease period.
func (t *Table) Lease() time.Duration { return t.lease }

// Reset begins a leadership with the committed nodes and endpoints, and renews every lease for a full period.
func (t *Table) Reset(now time.Time, nodes []*wire.Node, endpoints []*wire.Endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clear()
	t.leadingSince = now
	for _, n := range nodes {
		t.addNode(now, n)
	}
	for _, e := range endpoints {
		t.addEndpoint(e)
	}
}

// Stop ends a leadership; nothing is staged or expired until the next Reset.
func (t *Table) Stop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clear()
	t.leadingSince = time.Time{}
}

// Applied updates the table with a command that the replicated log has applied.
func (t *Table) Applied(now time.Time, m *wire.Membership) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.leadingSince.IsZero() {
		return
	}
	t.untrackCommand(m)
	for _, k := range m.GetRemoved() {
		t.removeEndpoint(k)
	}
	for _, k := range m.GetLeaves() {
		t.removeNode(now, k)
	}
	for _, d := range m.GetDeparted() {
		t.depart(d)
	}
	for _, n := range m.GetJoins() {
		t.addNode(now, n)
	}
	for _, e := range m.GetEndpoints() {
		if !t.ended(e) {
			t.addEndpoint(e)
		}
	}
}

// Failed handles a command that the log did not accept: the command's changes are staged again, except
// for nodes with a newer staged change.
func (t *Table) Failed(m *wire.Membership) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.leadingSince.IsZero() {
		return
	}
	changes := map[string]*change{}
	for _, k := range t.splitByNode(m, changes) {
		if t.staged[k] == nil {
			*t.stagedChange(k) = *changes[k]
		}
	}
	t.untrackCommand(m)
}

// Renew renews the lease of the polling node, given as relay, and of the committed nodes in names, which the relay reports alive.
func (t *Table) Renew(now time.Time, relay string, names []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r := t.nodes[relay]; r != nil {
		r.lastHeard, r.relay = now, ""
	}
	for _, k := range names {
		n := t.nodes[k]
		if n == nil || k == relay {
			continue
		}
		n.lastHeard, n.relay = now, relay
	}
}

// MustAnnounce reports whether the node must announce itself again, because it is not committed in this incarnation; it is false
// while this replica does not lead.
func (t *Table) MustAnnounce(name string, incarnation uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := t.nodes[name]
	return !t.leadingSince.IsZero() && (n == nil || n.record.GetIncarnation() != incarnation)
}

// Announce stages the difference between the committed state and an announcement, which lists all endpoints of the node, and
// reports whether it staged any. It ignores a leave that is repeated or of another incarnation than the latest one, and a join of
// an incarnation that has left, because the leave overtook that message.
func (t *Table) Announce(now time.Time, n *wire.Node, endpoints []*wire.Endpoint, leaving bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.leadingSince.IsZero() {
		return false
	}
	if leaving {
		return t.stageLeave(now, n)
	}
	if d, ok := t.departures[n.GetName()]; ok && d.incarnation == n.GetIncarnation() {
		return false
	}
	committed := t.nodes[n.GetName()]
	if committed != nil {
		committed.lastHeard = now
	}
	return t.stageDifference(committed, n, endpoints)
}

// stageLeave stages a leave and reports whether it did. The node need not be committed, because its join may be in flight.
func (t *Table) stageLeave(now time.Time, n *wire.Node) bool {
	k := n.GetName()
	latest := t.latestJoin(k)
	if latest != nil && latest.GetIncarnation() != n.GetIncarnation() {
		return false
	}
	if d, ok := t.departures[k]; ok && d.incarnation == n.GetIncarnation() && t.nodes[k] == nil {
		return false // the leave was sent again
	}
	t.departures[k] = departure{n.GetIncarnation(), now}
	*t.stagedChange(k) = change{leave: true}
	return true
}

// latestJoin returns the latest join of a node, staged, in flight or committed in this order, or nil.
func (t *Table) latestJoin(name string) *wire.Node {
	if c := t.staged[name]; c != nil && c.join != nil {
		return c.join
	}
	if f := t.inFlight[name]; f != nil && f.joined != nil {
		return f.joined
	}
	if n := t.nodes[name]; n != nil {
		return n.record
	}
	return nil
}

func (t *Table) stageDifference(committed *node, n *wire.Node, endpoints []*wire.Endpoint) bool {
	delete(t.staged, n.GetName()) // a newer announcement replaces an earlier one entirely
	var c change
	f := t.inFlight[n.GetName()]
	unlisted := map[string]bool{}
	if f != nil {
		maps.Copy(unlisted, f.endpoints)
	}
	if committed != nil {
		maps.Copy(unlisted, committed.endpoints)
	}
	if committed == nil || f != nil || !proto.Equal(committed.record, n) || t.expiring[n.GetName()] {
		c.join = n
	}
	for _, e := range endpoints {
		if t.ended(e) {
			continue
		}
		k := endpointKey(e)
		delete(unlisted, k)
		if f != nil || !proto.Equal(t.endpoints[k], e) || t.expiring[k] {
			c.endpoints = append(c.endpoints, e)
		}
	}
	c.removed = sortedKeys(unlisted)
	if c.join == nil && len(c.endpoints)+len(c.removed) == 0 {
		return false
	}
	*t.stagedChange(n.GetName()) = c
	return true
}

// Next returns all staged changes as one command, or nil if there are none or the last command is less than a window ago. The
// first change after an idle window is returned at once, so that a single leave does not wait.
func (t *Table) Next(now time.Time) *wire.Membership {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.staged) == 0 {
		t.stagedOrder = t.stagedOrder[:0]
		return nil
	}
	if now.Sub(t.lastCommand) < t.window {
		return nil
	}
	m := &wire.Membership{}
	for _, k := range t.stagedOrder {
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
	t.stagedOrder = t.stagedOrder[:0]
	t.lastCommand = now
	t.trackCommand(m)
	return m
}

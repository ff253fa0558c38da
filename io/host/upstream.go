package host

import (
	"net/netip"
	"sync"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/relay"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

const (
	fastPoll    = 5 * time.Second
	thriftyPoll = 15 * time.Second
	leasePolls  = 3 // a lease is this many poll intervals
	// thriftyCoalesce is how long a relay may hold a version back so that one delta carries several.
	thriftyCoalesce = 250 * time.Millisecond
	// redirectTime bounds how long a node without a version asks the relays that a replica named: nodes that were sent to
	// each other while the set of nodes changed would wait for ever.
	redirectTime    = 2 * time.Second
	relayTransfers  = 32 // whole snapshots in transfer at once
	replicaTransfer = 16
	// transferRate is the part of a link that one whole snapshot takes, bytes per second: its receiver has a thin link.
	transferRate = 128 << 10
	// wholeBytes is more than a packed whole snapshot of the design size (85 KB), since other traffic shares the link.
	wholeBytes      = 256 << 10
	longestTransfer = 5 * time.Second
)

// transferTime returns how long a whole snapshot may take on a link in bytes per second, 0 for one that is not known.
func transferTime(link float64) time.Duration {
	if link <= 0 {
		return 0
	}
	return min(time.Duration(wholeBytes/link*float64(time.Second)), longestTransfer)
}

// transfersOf returns how many whole snapshots a process gives at once.
func transfersOf(s *process.Settings) int {
	if s.IsReplica() {
		return max(replicaTransfer, int(s.Link/transferRate))
	}
	return relayTransfers
}

func pollOf(s *process.Settings) time.Duration {
	if s.Timing.Poll > 0 {
		return s.Timing.Poll
	}
	if s.Profile == process.Thrifty {
		return thriftyPoll
	}
	return fastPoll
}

// leaseOf returns the time without a sign of life after which an announcement is withdrawn.
func leaseOf(s *process.Settings) time.Duration {
	if s.Timing.Lease > 0 {
		return s.Timing.Lease
	}
	return leasePolls * pollOf(s)
}

// upstream knows from whom this node takes its configuration and to whom it sends proposals.
type upstream struct {
	settings *process.Settings
	known    *directory
	mu       sync.Mutex
	leader   string
	relay    bool // of the failure domain, by the version in force
	parents  []netip.AddrPort
	redirect []netip.AddrPort // relays named by a replica while no version is held
	until    time.Time        // when redirect ends
}

func newUpstream(s *process.Settings, known *directory) *upstream {
	u := &upstream{settings: s, known: known}
	u.parents = u.replicasFrom("")
	return u
}

// update recomputes the upstreams after a new version.
func (u *upstream) update(v peer.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.redirect = nil
	u.known.update(v.Table)
	u.compute(v)
}

// learn takes the leader's name and redirects from an answer.
func (u *upstream) learn(r *rpc.SyncResponse, v peer.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(r.GetRelays()) > 0 {
		u.redirect, u.until = nil, time.Now().Add(redirectTime) // the newest answer replaces earlier ones
	}
	for _, text := range r.GetRelays() {
		a, err := netip.ParseAddrPort(text)
		if err == nil {
			u.redirect = append(u.redirect, a)
		}
	}
	if r.GetLeader() == "" || r.GetLeader() == u.leader {
		return
	}
	u.leader = r.GetLeader()
	u.known.add(u.leader)
	u.compute(v)
}

// lead sets the leader that the control replica of this process knows.
func (u *upstream) lead(leader string, v peer.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if leader == "" || leader == u.leader {
		return
	}
	u.leader = leader
	u.compute(v)
}

// compute derives the upstreams from the version in force and the leader.
func (u *upstream) compute(v peer.View) {
	nodes := relayNodes(v.Table, u.known)
	u.relay = isRelay(nodes, u.settings)
	self := relay.Node{Name: u.settings.Name, Domain: u.settings.Domain, Replica: u.settings.IsReplica()}
	parents, direct := u.direct(self, nodes)
	if !direct {
		parents = relay.Parents(self, nodes, u.leader, nil)
	}
	var addresses []netip.AddrPort
	for _, n := range parents {
		if n.Address != u.settings.Listen.Peer { // a former node may have had the address of this one
			addresses = append(addresses, n.Address)
		}
	}
	u.parents = addresses
}

// direct returns the upstreams without relays, where the mesh is small enough for that and finds its replicas by itself.
func (u *upstream) direct(self relay.Node, nodes []relay.Node) ([]relay.Node, bool) {
	if !u.known.seeded() {
		return nil, false
	}
	return relay.Direct(self, nodes, u.leader)
}

// leading returns the leader's name, or an empty string.
func (u *upstream) leading() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leader
}

// reportsTo reports whether a parent stands above this node: the leader for a replica, any replica for a relay.
func (u *upstream) reportsTo(parent netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.known.replicas() {
		if r.Address == parent {
			return !u.settings.IsReplica() || r.Name == u.leader
		}
	}
	return !u.settings.IsReplica() && !u.relay
}

// order returns the upstreams in order of preference.
func (u *upstream) order() []netip.AddrPort {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.redirect) > 0 && time.Now().Before(u.until) {
		return append(append([]netip.AddrPort{}, u.redirect...), u.parents...)
	}
	return u.parents
}

// replicas returns the peer listeners of the replicas, the leader first.
func (u *upstream) replicas() []netip.AddrPort {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.replicasFrom(u.leader)
}

func (u *upstream) replicasFrom(leader string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, r := range u.known.replicas() {
		if r.Name == leader {
			list = append([]netip.AddrPort{r.Address}, list...)
			continue
		}
		list = append(list, r.Address)
	}
	return list
}

// relayNodes lists the agreed nodes and the known replicas, which serve before they are agreed.
func relayNodes(t *config.Table, known *directory) []relay.Node {
	replicas := known.replicas()
	isReplica := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		isReplica[r.Name] = true
	}
	nodes := make([]relay.Node, 0, len(t.Nodes())+len(replicas))
	for _, n := range t.Nodes() {
		nodes = append(nodes, relay.Node{Name: n.Name, Domain: n.Domain, Address: n.Address, Replica: isReplica[n.Name], Link: n.Link})
	}
	for _, r := range replicas {
		if _, agreed := t.Node(r.Name); !agreed {
			nodes = append(nodes, relay.Node{Name: r.Name, Address: r.Address, Replica: true})
		}
	}
	return nodes
}

// isRelay reports whether this node is a relay of its failure domain.
func isRelay(nodes []relay.Node, s *process.Settings) bool {
	for _, n := range relay.Relays(nodes, s.Domain, nil) {
		if n.Name == s.Name {
			return true
		}
	}
	return false
}

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
	leasePolls  = 3 // poll intervals in a lease
	// thriftyCoalesce is how long a relay may delay a version in order to send several in one delta.
	thriftyCoalesce = 250 * time.Millisecond
	// redirectTime limits how long a node without a version asks the relays that a replica named. Without the limit, nodes
	// that were redirected to each other while the set of nodes changed would wait forever.
	redirectTime     = 2 * time.Second
	relayTransfers   = 32 // concurrent transfers of whole snapshots by a relay
	replicaTransfers = 16 // concurrent transfers of whole snapshots by a replica; more if its link is fast
	// transferRate is the share of a replica's link that one whole snapshot takes, in bytes per second. It is low because the
	// receiver has a slow link.
	transferRate = 128 << 10
	// snapshotBytes is larger than a compressed whole snapshot of the design size (85 KB), because other traffic shares the
	// link.
	snapshotBytes   = 256 << 10
	maxTransferTime = 5 * time.Second
)

// transferTime returns the time allowed for a whole snapshot on a link of the given bytes per second, or 0 if the link is
// unknown.
func transferTime(link float64) time.Duration {
	if link <= 0 {
		return 0
	}
	return min(time.Duration(snapshotBytes/link*float64(time.Second)), maxTransferTime)
}

// maxTransfers returns how many whole snapshots a process sends at the same time.
func maxTransfers(s *process.Settings) int {
	if s.IsReplica() {
		return max(replicaTransfers, int(s.Link/transferRate))
	}
	return relayTransfers
}

func pollInterval(s *process.Settings) time.Duration {
	if s.Timing.Poll > 0 {
		return s.Timing.Poll
	}
	if s.Profile == process.Thrifty {
		return thriftyPoll
	}
	return fastPoll
}

// leaseTime returns how long an announcement stays valid without a sign of life from its node.
func leaseTime(s *process.Settings) time.Duration {
	if s.Timing.Lease > 0 {
		return s.Timing.Lease
	}
	return leasePolls * pollInterval(s)
}

// upstream decides from which nodes this node gets its configuration and to which replicas it sends proposals.
type upstream struct {
	settings      *process.Settings
	directory     *directory
	mu            sync.Mutex
	leader        string
	isRelay       bool // this node is a relay of its failure domain in the version in force
	upstreams     []netip.AddrPort
	redirect      []netip.AddrPort // relays that a replica named while this node had no version
	redirectUntil time.Time        // time at which redirect expires
}

func newUpstream(s *process.Settings, d *directory) *upstream {
	u := &upstream{settings: s, directory: d}
	u.upstreams = u.replicasFrom("")
	return u
}

// update recomputes the upstreams for a new version.
func (u *upstream) update(v peer.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.redirect = nil
	u.directory.update(v.Table)
	u.compute(v)
}

// applyResponse takes the leader's name and any redirect from the answer to a poll.
func (u *upstream) applyResponse(r *rpc.SyncResponse, v peer.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(r.GetRelays()) > 0 {
		u.redirect, u.redirectUntil = nil, time.Now().Add(redirectTime) // the newest answer replaces earlier ones
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
	u.directory.addLeader(u.leader)
	u.compute(v)
}

// setLeader sets the leader known to the local control replica.
func (u *upstream) setLeader(leader string, v peer.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if leader == "" || leader == u.leader {
		return
	}
	u.leader = leader
	u.directory.addLeader(leader)
	u.compute(v)
}

// compute derives the upstreams from the version in force and the leader. The caller holds the mutex.
func (u *upstream) compute(v peer.View) {
	nodes := relayNodes(v.Table, u.directory)
	u.isRelay = isRelay(nodes, u.settings)
	self := relay.Node{Name: u.settings.Name, Domain: u.settings.Domain, Replica: u.settings.IsReplica()}
	upstreams, direct := u.direct(self, nodes, u.leader)
	if !direct {
		upstreams = relay.Upstreams(self, nodes, u.leader, nil)
	}
	var addresses []netip.AddrPort
	for _, n := range upstreams {
		if n.Address != u.settings.Listen.Peer { // an earlier node may have had the same address
			addresses = append(addresses, n.Address)
		}
	}
	u.upstreams = addresses
}

// direct returns the upstreams of a node that needs no relays. It reports false if the mesh is too large to do without relays
// or if the settings list the replicas.
func (u *upstream) direct(self relay.Node, nodes []relay.Node, leader string) ([]relay.Node, bool) {
	if !u.directory.seeded() {
		return nil, false
	}
	return relay.DirectUpstreams(self, nodes, leader)
}

// leaderName returns the leader's name, or an empty string if it is unknown.
func (u *upstream) leaderName() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leader
}

// reportsTo reports whether this node sends reports to an upstream: a replica reports only to the leader, a relay only to
// replicas, and any other node to all its upstreams.
func (u *upstream) reportsTo(address netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.directory.replicas() {
		if r.Address == address {
			return !u.settings.IsReplica() || r.Name == u.leader
		}
	}
	return !u.settings.IsReplica() && !u.isRelay
}

// preferred returns the upstreams in order of preference; relays from a redirect come first until it expires.
func (u *upstream) preferred() []netip.AddrPort {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.redirect) > 0 && time.Now().Before(u.redirectUntil) {
		return append(append([]netip.AddrPort{}, u.redirect...), u.upstreams...)
	}
	return u.upstreams
}

// replicas returns the peer addresses of the replicas, the leader first.
func (u *upstream) replicas() []netip.AddrPort {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.replicasFrom(u.leader)
}

func (u *upstream) replicasFrom(leader string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, r := range u.directory.replicas() {
		if r.Name == leader {
			list = append([]netip.AddrPort{r.Address}, list...)
			continue
		}
		list = append(list, r.Address)
	}
	return list
}

// relayNodes returns the nodes of the table and the known replicas, which serve before the table lists them.
func relayNodes(t *config.RoutingTable, d *directory) []relay.Node {
	replicas := d.replicas()
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

package relay

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDomain is the number of relays in each failure domain.
const RelaysPerDomain = 2

// Node holds the attributes of a node that the selection of relays uses.
type Node struct {
	Name    string
	Domain  string
	Address netip.AddrPort // address of the peer listener
	Replica bool
	Link    uint64 // rate of the host's link, bytes per second; 0 if unknown
}

// linkClass ranks links by powers of two of 1 MiB/s; links below 1 MiB/s and links of unknown rate are all in class 0.
func (n Node) linkClass() int { return bits.Len64(n.Link >> 20) }

// Relays returns the relays of a failure domain, the preferred one first: the live nodes of the fastest link class and, among
// those, the highest rendezvous hash of domain and name (Thaler and Ravishankar, 1998). Replicas serve every domain already, so
// they become relays only if all other nodes have slower links or are too few. A nil alive counts every node as live.
func Relays(nodes []Node, domain string, alive func(name string) bool) []Node {
	var b topNodes
	for _, n := range nodes {
		if n.Domain == domain {
			b.offer(n, alive)
		}
	}
	return b.list()
}

// topNodes keeps the relays among the nodes of one failure domain offered so far, the preferred one first. It hashes each node
// once and sorts nothing, since every node selects among all nodes of the mesh at each version.
type topNodes struct {
	nodes   [RelaysPerDomain]Node
	weights [RelaysPerDomain]uint64
	count   int
}

func (b *topNodes) offer(n Node, alive func(name string) bool) {
	w := hashWeight(n.Domain, n.Name)
	at := b.count
	for at > 0 && b.preferred(n, w, at-1) {
		at--
	}
	if at == RelaysPerDomain || (alive != nil && !alive(n.Name)) {
		return
	}
	b.count = min(b.count+1, RelaysPerDomain)
	copy(b.nodes[at+1:], b.nodes[at:b.count-1])
	copy(b.weights[at+1:], b.weights[at:b.count-1])
	b.nodes[at], b.weights[at] = n, w
}

// preferred reports whether node n with hash weight w is preferred to the one at an index.
func (b *topNodes) preferred(n Node, w uint64, index int) bool {
	o := &b.nodes[index]
	if c := n.linkClass() - o.linkClass(); c != 0 {
		return c > 0
	}
	if n.Replica != o.Replica {
		return o.Replica
	}
	if w != b.weights[index] {
		return w > b.weights[index]
	}
	return n.Name < o.Name
}

func (b *topNodes) list() []Node { return slices.Clone(b.nodes[:b.count]) }

// Upstreams returns the upstreams of a node in the order in which it tries them. Relays and replicas poll the leader first, then
// the other replicas (a relay prefers those of its failure domain), then the other relays, the fastest link class first and
// within a class other failure domains first, so that nodes still exchange versions while all replicas are down. Other nodes
// poll the relays first, the fastest link class first and within a class their own failure domain first, and then the replicas.
// A hash salted with the node's name breaks ties, which spreads the load.
func Upstreams(self Node, nodes []Node, leader string, alive func(name string) bool) []Node {
	var replicas, relays []Node
	domains := map[string]*topNodes{self.Domain: {}}
	for _, n := range nodes {
		if n.Replica && n.Name != self.Name {
			replicas = append(replicas, n)
		}
		b := domains[n.Domain]
		if b == nil {
			b = &topNodes{}
			domains[n.Domain] = b
		}
		b.offer(n, alive)
	}
	for _, b := range domains {
		relays = append(relays, b.list()...)
	}
	isSelf := func(n Node) bool { return n.Name == self.Name }
	isRelay := slices.ContainsFunc(relays, isSelf)
	relays = slices.DeleteFunc(relays, isSelf)
	pollsReplicas := isRelay || self.Replica
	slices.SortFunc(relays, func(a, b Node) int {
		distance := cmp.Compare(domainDistance(self, a), domainDistance(self, b))
		if pollsReplicas {
			distance = -distance // the other relay of this failure domain has the same upstreams, so it comes last
		}
		return cmp.Or(cmp.Compare(b.linkClass(), a.linkClass()), distance, compareHash(self.Name, a, b))
	})
	if pollsReplicas {
		sortReplicas(self, replicas, leader)
		return concatUnique(replicas, relays)
	}
	slices.SortFunc(replicas, func(a, b Node) int { return compareHash(self.Name, a, b) })
	return concatUnique(relays, replicas)
}

// sortReplicas sorts the replicas for a node that polls them: the leader first, then, unless the node is a replica itself, those
// of its failure domain.
func sortReplicas(self Node, replicas []Node, leader string) {
	rank := func(n Node) int {
		switch {
		case n.Name == leader:
			return 0
		case n.Domain == self.Domain && !self.Replica:
			return 1
		}
		return 2
	}
	slices.SortFunc(replicas, func(a, b Node) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), compareHash(self.Name, a, b))
	})
}

// concatUnique concatenates lists of nodes and keeps the first occurrence of each name.
func concatUnique(lists ...[]Node) []Node {
	var out []Node
	seen := map[string]bool{}
	for _, l := range lists {
		for _, n := range l {
			if !seen[n.Name] {
				seen[n.Name] = true
				out = append(out, n)
			}
		}
	}
	return out
}

// compareHash sorts the higher hash first and equal hashes by name, so that every node gets the same order.
func compareHash(salt string, a, b Node) int {
	x, y := hashWeight(salt, a.Name), hashWeight(salt, b.Name)
	if x != y {
		return cmp.Compare(y, x)
	}
	return cmp.Compare(a.Name, b.Name)
}

// hashWeight returns the rendezvous weight of a name under a salt.
func hashWeight(salt, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

package relay

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PerDomain is the number of relays of a failure domain.
const PerDomain = 2

// Node is a node as far as the choice of relays needs it.
type Node struct {
	Name    string
	Domain  string
	Address netip.AddrPort // peer listener
	Replica bool
	Link    uint64 // rate of the host's link, bytes per second; 0 when not known
}

// class orders links by powers of two of a mebibyte per second; thin links and those of unknown rate are alike.
func (n Node) class() int { return bits.Len64(n.Link >> 20) }

// Relays returns the relays of a failure domain, the preferred one first: the live nodes with the widest links and, among
// those, the highest rendezvous hash of domain and name (Thaler and Ravishankar, 1998). Replicas become relays only where
// other nodes have thinner links or are missing, since they serve every domain already. A nil alive counts every node as live.
func Relays(nodes []Node, domain string, alive func(name string) bool) []Node {
	var b best
	for _, n := range nodes {
		if n.Domain == domain {
			b.offer(n, alive)
		}
	}
	return b.list()
}

// best holds the relays of one failure domain among the nodes offered so far, the preferred one first. It hashes each
// node once and sorts nothing, since every node chooses among the whole fleet at each version.
type best struct {
	nodes   [PerDomain]Node
	weights [PerDomain]uint64
	count   int
}

func (b *best) offer(n Node, alive func(name string) bool) {
	w := weight(n.Domain, n.Name)
	at := b.count
	for at > 0 && b.before(n, w, at-1) {
		at--
	}
	if at == PerDomain || (alive != nil && !alive(n.Name)) {
		return
	}
	b.count = min(b.count+1, PerDomain)
	copy(b.nodes[at+1:], b.nodes[at:b.count-1])
	copy(b.weights[at+1:], b.weights[at:b.count-1])
	b.nodes[at], b.weights[at] = n, w
}

// before reports whether a node is preferred to the one at a place.
func (b *best) before(n Node, w uint64, at int) bool {
	o := &b.nodes[at]
	if c := n.class() - o.class(); c != 0 {
		return c > 0
	}
	if n.Replica != o.Replica {
		return o.Replica
	}
	if w != b.weights[at] {
		return w > b.weights[at]
	}
	return n.Name < o.Name
}

func (b *best) list() []Node { return slices.Clone(b.nodes[:b.count]) }

// Parents returns the upstreams of a node in the order in which it tries them. A relay takes from the leader, then the other
// replicas, those of its failure domain first, then relays of other domains, so that nodes help each other while the source is
// out. Other nodes take from the relays with the widest links, those of their failure domain first, and then from the replicas.
// Ties are spread by the hash of the node.
func Parents(self Node, nodes []Node, leader string, alive func(name string) bool) []Node {
	var replicas, relays []Node
	domains := map[string]*best{self.Domain: {}}
	for _, n := range nodes {
		if n.Replica && n.Name != self.Name {
			replicas = append(replicas, n)
		}
		b := domains[n.Domain]
		if b == nil {
			b = &best{}
			domains[n.Domain] = b
		}
		b.offer(n, alive)
	}
	for _, b := range domains {
		relays = append(relays, b.list()...)
	}
	isSelf := func(n Node) bool { return n.Name == self.Name }
	relay := slices.ContainsFunc(relays, isSelf)
	relays = slices.DeleteFunc(relays, isSelf)
	top := relay || self.Replica
	slices.SortFunc(relays, func(a, b Node) int {
		away := cmp.Compare(remote(self, a), remote(self, b))
		if top {
			away = -away // the other relay of the failure domain has the same upstreams
		}
		return cmp.Or(cmp.Compare(b.class(), a.class()), away, order(self.Name, a, b))
	})
	if top {
		sortReplicas(self, replicas, leader)
		return unique(replicas, relays)
	}
	slices.SortFunc(replicas, func(a, b Node) int { return order(self.Name, a, b) })
	return unique(relays, replicas)
}

// sortReplicas orders the replicas for a node that takes from them: the named leader first, then those of the failure domain.
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
		return cmp.Or(cmp.Compare(rank(a), rank(b)), order(self.Name, a, b))
	})
}

func unique(lists ...[]Node) []Node {
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

// order puts the higher hash first; equal hashes fall back to the name, so that every node agrees.
func order(salt string, a, b Node) int {
	x, y := weight(salt, a.Name), weight(salt, b.Name)
	if x != y {
		return cmp.Compare(y, x)
	}
	return cmp.Compare(a.Name, b.Name)
}

func weight(salt, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

package relay

import (
	"cmp"
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
}

// Relays returns the relays of a failure domain, the preferred one first: the live nodes with the highest rendezvous hash
// of domain and name (Thaler and Ravishankar, 1998). Replicas become relays only where other nodes are missing, since
// they serve every domain already. A nil alive counts every node as live.
func Relays(nodes []Node, domain string, alive func(name string) bool) []Node {
	var found []Node
	for _, n := range nodes {
		if n.Domain == domain && (alive == nil || alive(n.Name)) {
			found = append(found, n)
		}
	}
	slices.SortFunc(found, func(a, b Node) int {
		if a.Replica != b.Replica {
			if a.Replica {
				return 1
			}
			return -1
		}
		return order(domain, a, b)
	})
	return found[:min(len(found), PerDomain)]
}

// Parents returns the upstreams of a node in the order in which it tries them. A relay takes from the leader, then the
// other replicas, then relays of other domains, so that nodes help each other while the source is out. Other nodes take
// from the relays of their failure domain, then other relays, then replicas. Ties are spread by the hash of the node.
func Parents(self Node, nodes []Node, leader string, alive func(name string) bool) []Node {
	var replicas, near, far []Node
	domains := map[string]bool{}
	for _, n := range nodes {
		if n.Replica && n.Name != self.Name {
			replicas = append(replicas, n)
		}
		if n.Domain != self.Domain && !domains[n.Domain] {
			domains[n.Domain] = true
			far = append(far, Relays(nodes, n.Domain, alive)...)
		}
	}
	near = Relays(nodes, self.Domain, alive)
	relay := slices.ContainsFunc(near, func(n Node) bool { return n.Name == self.Name })
	near = slices.DeleteFunc(near, func(n Node) bool { return n.Name == self.Name })
	spread := func(a, b Node) int { return order(self.Name, a, b) }
	slices.SortFunc(near, spread)
	slices.SortFunc(far, spread)
	slices.SortFunc(replicas, spread)
	if i := slices.IndexFunc(replicas, func(n Node) bool { return n.Name == leader }); (relay || self.Replica) && i > 0 {
		l := replicas[i]
		replicas = slices.Insert(slices.Delete(replicas, i, i+1), 0, l)
	}
	if relay || self.Replica {
		return unique(replicas, far, near)
	}
	return unique(near, far, replicas)
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

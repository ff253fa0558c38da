package relay

import "slices"

// DirectNodes is the number of nodes for each replica up to which nodes may take from the replicas themselves.
const DirectNodes = 32

// Direct returns the upstreams of a node in a mesh without relays: the replicas of its failure domain, the other replicas,
// and then the relays, so that nodes help each other while the source is out. A replica takes from the leader first. It
// reports false for a mesh that is too large. Relays save the replicas' work in a large mesh; in a small one they are only
// one more hop that can fail.
func Direct(self Node, nodes []Node, leader string) ([]Node, bool) {
	var replicas []Node
	for _, n := range nodes {
		if n.Replica && n.Name != self.Name {
			replicas = append(replicas, n)
		}
	}
	if len(nodes) > DirectNodes*len(replicas) {
		return nil, false
	}
	slices.SortFunc(replicas, func(a, b Node) int {
		if near := remote(self, a) - remote(self, b); near != 0 && !self.Replica {
			return near
		}
		return order(self.Name, a, b)
	})
	if i := slices.IndexFunc(replicas, func(n Node) bool { return n.Name == leader }); self.Replica && i > 0 {
		l := replicas[i]
		replicas = slices.Insert(slices.Delete(replicas, i, i+1), 0, l)
	}
	return unique(replicas, Parents(self, nodes, leader, nil)), true
}

// remote is 0 for a node of the own failure domain and 1 for others.
func remote(self, n Node) int {
	if n.Domain == self.Domain {
		return 0
	}
	return 1
}

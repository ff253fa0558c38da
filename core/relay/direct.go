package relay

const (
	// DirectNodes is the number of nodes that may take from a replica whose link is not known.
	DirectNodes = 32
	// directMost bounds the nodes of one replica by its processor: each polls about twice a second.
	directMost = 320
	// directRate is the share of a replica's link for each of its nodes, bytes per second. A whole snapshot of the design size
	// passes in two seconds while all of them take one.
	directRate = 48 << 10
)

// capacity returns how many nodes may take from a replica.
func capacity(replica Node) int {
	return max(DirectNodes, int(min(replica.Link/directRate, directMost)))
}

// Direct returns the upstreams of a node in a mesh without relays: the replicas of its failure domain, the other replicas,
// and then the relays, so that nodes help each other while the source is out. A replica takes from the leader first. It
// reports false for a mesh that is too large for the links of its replicas. Relays save the replicas' work in a large mesh; in
// a small one they are only one more hop that can fail.
func Direct(self Node, nodes []Node, leader string) ([]Node, bool) {
	var replicas []Node
	room := 0
	for _, n := range nodes {
		if n.Replica && n.Name != self.Name {
			replicas = append(replicas, n)
			room += capacity(n)
		}
	}
	if len(nodes) > room {
		return nil, false
	}
	if !self.Replica {
		leader = "" // any replica takes the polls of other nodes, so they are spread
	}
	sortReplicas(self, replicas, leader)
	return unique(replicas, Parents(self, nodes, leader, nil)), true
}

// remote is 0 for a node of the own failure domain and 1 for others.
func remote(self, n Node) int {
	if n.Domain == self.Domain {
		return 0
	}
	return 1
}

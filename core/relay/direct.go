package relay

const (
	// MinDirectNodes is the number of nodes that may poll any replica, even if its link is slow or of unknown rate.
	MinDirectNodes = 32
	// maxDirectNodes limits the nodes that poll one replica, since polls take processor time: each node polls about twice a second.
	maxDirectNodes = 320
	// directNodeRate is the share of a replica's link for each node, in bytes per second. A whole snapshot of the design size
	// then takes two seconds even if all nodes transfer one at once.
	directNodeRate = 48 << 10
)

// directCapacity returns the number of nodes that may poll a replica.
func directCapacity(replica Node) int {
	return max(MinDirectNodes, int(min(replica.Link/directNodeRate, maxDirectNodes)))
}

// DirectUpstreams returns the upstreams of a node in a mesh that is small enough to do without relays, and false for a larger
// one. Nodes poll the replicas of their failure domain first, then the other replicas, then the relays, so that they still
// exchange versions while all replicas are down; a replica polls the leader first. Relays take load off the replicas of a large
// mesh; in a small one they would only be one more hop that can fail.
func DirectUpstreams(self Node, nodes []Node, leader string) ([]Node, bool) {
	var replicas []Node
	capacity := 0
	for _, n := range nodes {
		if n.Replica && n.Name != self.Name {
			replicas = append(replicas, n)
			capacity += directCapacity(n)
		}
	}
	if len(nodes) > capacity {
		return nil, false
	}
	if !self.Replica {
		leader = "" // the polls of nodes that are no replicas are spread over all replicas
	}
	sortReplicas(self, replicas, leader)
	return concatUnique(replicas, Upstreams(self, nodes, leader, nil)), true
}

// domainDistance returns 0 if both nodes are in the same failure domain, else 1.
func domainDistance(self, n Node) int {
	if n.Domain == self.Domain {
		return 0
	}
	return 1
}

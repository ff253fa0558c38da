package relay

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files")

// Link rates in bytes per second: 1 Mbit/s and 170 Mbit/s.
const (
	slowLink = 125_000
	fastLink = 21_250_000
)

// maxBelowReplica is the largest number of nodes that may poll one replica while others are down.
const maxBelowReplica = 2 * maxDirectNodes

// mesh returns nodes with slow links and replicas with fast ones, both spread evenly over the failure domains.
func mesh(nodes, domains, replicas int) []Node {
	var list []Node
	for i := range replicas {
		list = append(list, Node{Name: fmt.Sprintf("r%d", i), Domain: fmt.Sprint("d", i%domains), Replica: true, Link: fastLink})
	}
	for i := range nodes {
		list = append(list, Node{Name: fmt.Sprintf("n%04d", i), Domain: fmt.Sprint("d", i%domains), Link: slowLink})
	}
	return list
}

// load counts the nodes below each host when every node polls its first live upstream.
type load struct {
	direct      bool // the nodes poll the replicas without relays
	replica     int  // largest number of nodes below one replica
	other       int  // largest number of nodes below one node that is no replica
	crossDomain int  // number of nodes with an upstream in another failure domain
}

func meshLoad(nodes []Node, leader string, dead map[string]bool) load {
	var l load
	byName, below := map[string]Node{}, map[string]int{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	for _, n := range nodes {
		if n.Name == leader || dead[n.Name] {
			continue
		}
		list, direct := DirectUpstreams(n, nodes, leader)
		if !direct {
			list = Upstreams(n, nodes, leader, nil)
		}
		l.direct = direct
		for _, p := range list {
			if dead[p.Name] {
				continue
			}
			below[p.Name]++
			if p.Domain != n.Domain {
				l.crossDomain++
			}
			break
		}
	}
	for name, count := range below {
		if byName[name].Replica {
			l.replica = max(l.replica, count)
			continue
		}
		l.other = max(l.other, count)
	}
	return l
}

// Guards against hosts with slow links that serve other nodes although a host with a fast link could, against needless traffic
// between failure domains, and against the nodes of a failed replica that all move to the same other replica.
func TestLoadFollowsLinks(t *testing.T) {
	var b strings.Builder
	for _, size := range []struct{ nodes, domains, replicas int }{{25, 5, 5}, {194, 5, 5}, {295, 5, 5}, {995, 5, 5}, {2093, 12, 7}} {
		if testing.Short() && size.nodes > 300 {
			break
		}
		nodes := mesh(size.nodes, size.domains, size.replicas)
		for _, lost := range []int{0, 1, 2} {
			dead := map[string]bool{}
			for i := range lost {
				dead[fmt.Sprint("r", i)] = true
			}
			l := meshLoad(nodes, "r4", dead)
			fmt.Fprintf(&b, "nodes %4d  replicas %d  lost %d  direct %-5v  most below a replica %3d  below another node %3d  crossing %4d\n",
				size.nodes, size.replicas, lost, l.direct, l.replica, l.other, l.crossDomain)
			if l.replica > maxBelowReplica {
				t.Errorf("%d nodes, %d lost: got %d below one replica, want %d at most", size.nodes, lost, l.replica, maxBelowReplica)
			}
		}
	}
	path := filepath.Join("testdata", "links.txt")
	if *update && !testing.Short() {
		if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) && !(testing.Short() && strings.HasPrefix(string(want), b.String())) {
		t.Errorf("got\n%s\nwant\n%s", b.String(), want)
	}
}

// Guards against more nodes below one replica than it can serve, in a mesh of the design size with five replicas instead of the
// allowed seven, two of which are down.
func TestLoadOfFewReplicas(t *testing.T) {
	nodes := mesh(2095, 5, 5)
	l := meshLoad(nodes, "r4", map[string]bool{"r0": true, "r1": true})
	if l.replica > maxBelowReplica {
		t.Errorf("got %d nodes below one replica, want %d at most", l.replica, maxBelowReplica)
	}
}

// Guards against a relay with a slow link although a host with a fast link is alive, and against replicas as relays when link
// rates are unknown: replicas serve every failure domain already.
func TestWidestLinkRelays(t *testing.T) {
	tests := []struct {
		name          string
		replica, node uint64 // link rates of replicas and other nodes, in bytes per second
		alive         func(string) bool
		want          string
	}{
		{"replica with a fast link", fastLink, slowLink, nil, "r0"},
		{"equal links", fastLink, fastLink, nil, "n"},
		{"unknown links", 0, 0, nil, "n"},
		{"replica with a fast link is down", fastLink, slowLink, func(n string) bool { return n != "r0" }, "n"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			nodes := mesh(20, 2, 2)
			for i := range nodes {
				nodes[i].Link = c.node
				if nodes[i].Replica {
					nodes[i].Link = c.replica
				}
			}
			if got := Relays(nodes, "d0", c.alive)[0].Name; got[:len(c.want)] != c.want {
				t.Errorf("first relay: got %s, want %s", got, c.want)
			}
		})
	}
}

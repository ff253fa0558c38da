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

// Rates of links, bytes per second: 1 Mbit/s and 170 Mbit/s.
const (
	thin = 125_000
	wide = 21_250_000
)

// belowMost bounds the nodes of one replica while others are lost.
const belowMost = 2 * directMost

// mesh returns nodes with thin links, spread over failure domains that have a replica with a wide link each.
func mesh(nodes, domains, replicas int) []Node {
	var list []Node
	for i := range replicas {
		list = append(list, Node{Name: fmt.Sprintf("r%d", i), Domain: fmt.Sprint("d", i%domains), Replica: true, Link: wide})
	}
	for i := range nodes {
		list = append(list, Node{Name: fmt.Sprintf("n%04d", i), Domain: fmt.Sprint("d", i%domains), Link: thin})
	}
	return list
}

// load is what a mesh asks of its hosts when each node takes from its first upstream that lives.
type load struct {
	direct   bool
	replica  int // most nodes below one replica
	other    int // most nodes below one other node
	crossing int // nodes that take from another failure domain
}

func loadOf(nodes []Node, leader string, dead map[string]bool) load {
	var l load
	byName, below := map[string]Node{}, map[string]int{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	for _, n := range nodes {
		if n.Name == leader || dead[n.Name] {
			continue
		}
		list, direct := Direct(n, nodes, leader)
		if !direct {
			list = Parents(n, nodes, leader, nil)
		}
		l.direct = direct
		for _, p := range list {
			if dead[p.Name] {
				continue
			}
			below[p.Name]++
			if p.Domain != n.Domain {
				l.crossing++
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

// Guards against nodes with thin links that hand versions out while a host with a wide link could, against versions that cross
// into a failure domain more often than needed, and against the nodes of a lost replica that all move to one other.
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
			l := loadOf(nodes, "r4", dead)
			fmt.Fprintf(&b, "nodes %4d  replicas %d  lost %d  direct %-5v  most below a replica %3d  below another node %3d  crossing %4d\n",
				size.nodes, size.replicas, lost, l.direct, l.replica, l.other, l.crossing)
			if l.replica > belowMost {
				t.Errorf("%d nodes, %d lost: got %d below one replica, want %d at most", size.nodes, lost, l.replica, belowMost)
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

// Guards against a replica that is given more nodes than it bears when a mesh of the design size has fewer replicas than the seven
// that it may have, and two of them are lost.
func TestLoadOfFewReplicas(t *testing.T) {
	nodes := mesh(2095, 5, 5)
	l := loadOf(nodes, "r4", map[string]bool{"r0": true, "r1": true})
	if l.replica > belowMost {
		t.Errorf("got %d nodes below one replica, want %d at most", l.replica, belowMost)
	}
}

// Guards against a thin host that relays although a host with a wide link lives, and against replicas that relay in a mesh whose
// links are not known, where they serve every failure domain already.
func TestWidestLinkRelays(t *testing.T) {
	tests := []struct {
		name          string
		replica, node uint64 // rates of links
		alive         func(string) bool
		want          string
	}{
		{"wide replica", wide, thin, nil, "r0"},
		{"links alike", wide, wide, nil, "n"},
		{"links not known", 0, 0, nil, "n"},
		{"wide replica lost", wide, thin, func(n string) bool { return n != "r0" }, "n"},
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

package relay

import (
	"fmt"
	"testing"
)

// Guards against a node of a small mesh whose first upstream is a relay, or a replica of another failure domain although its own
// domain has one, and against a large mesh whose nodes all poll the replicas.
func TestDirect(t *testing.T) {
	nodes := []Node{
		{Name: "r1", Domain: "a", Replica: true},
		{Name: "r2", Domain: "a", Replica: true},
		{Name: "r3", Domain: "b", Replica: true},
		{Name: "n1", Domain: "a"},
		{Name: "n2", Domain: "b"},
		{Name: "n3", Domain: "c"},
	}
	tests := []struct {
		self  Node
		first []string // the first upstreams, in any order
	}{
		{nodes[3], []string{"r1", "r2"}},
		{nodes[4], []string{"r3"}},
		{nodes[5], []string{"r1", "r2", "r3"}},
		{nodes[0], []string{"r3"}}, // a replica polls the leader first
	}
	for _, c := range tests {
		got, ok := DirectUpstreams(c.self, nodes, "r3")
		if !ok || len(got) < len(c.first) {
			t.Fatalf("%s: got %v (%v), want upstreams", c.self.Name, got, ok)
		}
		found := map[string]bool{}
		for _, n := range got[:len(c.first)] {
			found[n.Name] = true
		}
		for _, want := range c.first {
			if !found[want] {
				t.Errorf("%s: got %v first, want %v", c.self.Name, got[:len(c.first)], c.first)
			}
		}
		for _, n := range got {
			if n.Name == c.self.Name {
				t.Errorf("%s: got itself as an upstream", c.self.Name)
			}
		}
	}
	for i := range MinDirectNodes * 3 {
		nodes = append(nodes, Node{Name: fmt.Sprint("m", i), Domain: "a"})
	}
	if got, ok := DirectUpstreams(nodes[3], nodes, "r3"); ok {
		t.Errorf("large mesh: got %d upstreams, want relays", len(got))
	}
}

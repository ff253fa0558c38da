package config

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

func snapshotOf(t interface{ Fatal(...any) }, messages ...proto.Message) *Snapshot {
	var puts []Entry
	for _, m := range messages {
		puts = append(puts, entry(t, m))
	}
	return NewSnapshot().With(1, puts, nil)
}

func smallMesh() []proto.Message {
	return []proto.Message{
		&wire.Service{Name: "a", Slots: 12, Connections: 130},
		&wire.Service{Name: "b", Internal: true, Slots: 4, Connections: 4},
		&wire.Node{Name: "n1", Address: "127.0.0.1:1", Domain: "lower", Region: "r"},
		&wire.Node{Name: "n2", Address: "127.0.0.1:2", Domain: "upper", Region: "r"},
		&wire.Endpoint{Service: "a", Name: "one", Node: "n1", Slots: 20},
		&wire.Endpoint{Service: "a", Name: "two", Node: "n2"},
		&wire.Endpoint{Service: "b", Name: "one", Node: "n2"},
		&wire.Route{Name: "root", Service: "a", Path: "/"},
		&wire.Route{Name: "get", Service: "a", Path: "/x", Methods: []string{"GET"}},
		&wire.Route{Name: "deep", Service: "a", Path: "/x/y"},
		&wire.Route{Name: "host", Service: "b", Path: "/x", Host: "h.example", Methods: []string{"GET"}},
	}
}

// Guards against requests that match another route than the most specific one that allows them.
func TestMatch(t *testing.T) {
	table, err := NewTable(snapshotOf(t, smallMesh()...))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, method, want string }{
		{"", "/", "GET", "root"},
		{"", "/x", "GET", "get"},
		{"", "/x/", "GET", "get"},
		{"", "/xy", "GET", "root"},
		{"", "/x", "POST", "root"},
		{"", "/x/y/z", "POST", "deep"},
		{"H.example:8080", "/x/y", "GET", "host"},
		{"h.example", "/x", "POST", "root"},
		{"other", "/x/y", "GET", "deep"},
		{"", "*", "OPTIONS", "root"},
	} {
		got, _ := table.Match(c.host, c.path, c.method)
		if got == nil || got.Name != c.want {
			t.Errorf("%s %s%s: got %v, want %s", c.method, c.host, c.path, got, c.want)
		}
	}
}

// Guards against limits and drains that have no effect or affect the wrong endpoints.
func TestTableRules(t *testing.T) {
	for name, c := range map[string]struct {
		rule proto.Message
		want string // key and slots of each endpoint that is not drained
	}{
		"none":     {&wire.Domain{Name: "lower"}, "a/one:20 a/two:12 b/one:4"},
		"limit":    {&wire.Limit{Name: "l", Service: "a", Slots: 15}, "a/one:15 a/two:12 b/one:4"},
		"domain":   {&wire.Drain{Name: "d", Domain: "upper"}, "a/one:20"},
		"service":  {&wire.Drain{Name: "d", Service: "a"}, "b/one:4"},
		"endpoint": {&wire.Drain{Name: "d", Endpoint: "one"}, "a/two:12"},
		"all":      {&wire.Drain{Name: "d", Service: "b", Endpoint: "one", Domain: "lower"}, "a/one:20 a/two:12 b/one:4"},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := NewTable(snapshotOf(t, append(smallMesh(), c.rule)...))
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			for _, s := range table.Services() {
				for _, e := range s.Endpoints {
					got += fmt.Sprintf(" %s:%d", e.Key(), e.Slots)
				}
			}
			if got != " "+c.want {
				t.Errorf("got%s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a table whose rules refer to missing services. TestOddMembers has the entries of nodes and endpoints.
func TestTableFaults(t *testing.T) {
	for name, m := range map[string]proto.Message{
		"route": &wire.Route{Name: "r", Service: "gone", Path: "/"},
		"limit": &wire.Limit{Name: "l", Service: "gone"},
		"drain": &wire.Drain{Name: "d", Service: "gone"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := NewTable(snapshotOf(t, append(smallMesh(), m)...)); err == nil {
				t.Error("got nil, want *InvalidError")
			}
		})
	}
}

// designSizeMesh returns the entries of a mesh of the design size: 2,100 endpoints with their nodes in 12 failure domains, and 220
// services with two routes each.
func designSizeMesh() []proto.Message {
	var list []proto.Message
	for i := range 220 {
		service := fmt.Sprintf("service-%03d", i)
		list = append(list, &wire.Service{Name: service, Slots: 12, Connections: 130})
		for j, m := range []string{"GET", "POST"} {
			list = append(list, &wire.Route{
				Name: fmt.Sprintf("route-%03d-%d", i, j), Service: service, Path: "/api/" + service, Methods: []string{m},
				Priority: 5, Deadline: 2000, Set: "main",
			})
		}
	}
	for i := range 2100 {
		node := fmt.Sprintf("node-%04d", i)
		list = append(list, &wire.Node{
			Name: node, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Domain: fmt.Sprint("domain-", i%12),
			Region: fmt.Sprint("region-", i%4), Incarnation: uint64(i) << 40,
		}, &wire.Endpoint{
			Service: fmt.Sprintf("service-%03d", i%220), Name: node, Node: node, Slots: 12, Connections: 130,
			Incarnation: uint64(i) << 41,
		})
	}
	return list
}

func BenchmarkFleet(b *testing.B) {
	full := snapshotOf(b, designSizeMesh()...)
	put := []Entry{entry(b, &wire.Endpoint{Service: "service-001", Name: "node-0001", Node: "node-0001", Slots: 3})}
	next := full.With(2, put, nil)
	delta, _ := next.Delta(1)
	whole := full.FullDelta()
	table, err := NewTable(full)
	if err != nil {
		b.Fatal(err)
	}
	data, err := proto.Marshal(whole)
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name string
		run  func()
	}{
		{"With", func() { full.With(2, put, nil) }},
		{"Delta", func() { next.Delta(1) }},
		{"Apply", func() { _, _ = full.Apply(delta) }},
		{"ApplyWhole", func() { _, _ = NewSnapshot().Apply(whole) }},
		{"Whole", func() { full.FullDelta() }},
		{"HashEntry", func() { hashEntry(full.records[0].Entry) }},
		{"Table", func() { _, _ = NewTable(full) }},
		{"Match", func() { table.Match("example.org:80", "/api/service-100/things/17", "POST") }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.run()
			}
			if c.name == "Whole" {
				b.ReportMetric(float64(len(data)), "wire-bytes")
			}
		})
	}
}

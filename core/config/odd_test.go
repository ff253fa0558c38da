package config

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"godwitspindle/core/wire"
)

// oddMembers returns entries of nodes and endpoints that a damaged process or one of another version may write, by name of the case.
func oddMembers(t interface{ Fatal(...any) }) map[string]Entry {
	node := func(name, address string) Entry { return entry(t, &wire.Node{Name: name, Address: address}) }
	list := map[string]Entry{
		"endpoint: missing fields":        {Key: "endpoint/a/odd"},
		"endpoint: unreadable bytes":      {Key: "endpoint/a/odd", Value: []byte{0xff, 0xff, 0xff}},
		"endpoint: wrong type":            {Key: "endpoint/a/odd", Value: []byte{0x08, 0x01}}, // field service as a number
		"endpoint: very deeply nested":    {Key: "endpoint/a/odd", Value: bytes.Repeat([]byte{0x7b}, 1<<20)},
		"endpoint: no UTF-8":              {Key: "endpoint/a/odd", Value: []byte{0x0a, 0x01, 0xff}},
		"endpoint: key of another":        {Key: "endpoint/a/odd", Value: entry(t, &wire.Endpoint{Service: "a", Name: "else", Node: "n1"}).Value},
		"endpoint: key without a service": {Key: "endpoint/odd", Value: []byte{}},
		"endpoint: too many slots":        entry(t, &wire.Endpoint{Service: "a", Name: "odd", Node: "n1", Slots: 1<<32 - 1}),
		"endpoint: too many connections":  entry(t, &wire.Endpoint{Service: "a", Name: "odd", Node: "n1", Connections: 1<<32 - 1}),
		"endpoint: name with a space":     entry(t, &wire.Endpoint{Service: "a", Name: "odd one", Node: "n1"}),
		"endpoint: long name":             entry(t, &wire.Endpoint{Service: "a", Name: strings.Repeat("x", MaxName+1), Node: "n1"}),
		"endpoint: no service":            entry(t, &wire.Endpoint{Service: "gone", Name: "odd", Node: "n1"}),
		"endpoint: no node":               entry(t, &wire.Endpoint{Service: "a", Name: "odd", Node: "gone"}),
		"node: missing fields":            {Key: "node/odd"},
		"node: unreadable bytes":          {Key: "node/odd", Value: []byte{0xff, 0xff, 0xff}},
		"node: name with a line end":      node("odd\n", "127.0.0.1:3"),
	}
	for _, port := range []string{"0", "65536", "-1", "1.5", "99999999999999999999", "", "http"} {
		list["node: port "+port] = node("odd", "127.0.0.1:"+port)
	}
	for _, address := range []string{"", "host:1", "127.0.0.1", "[fe80::1%eth0]:1", "300.0.0.1:1"} {
		list["node: address "+address] = node("odd", address)
	}
	return list
}

// endpointsOf returns the keys of all endpoints of a table.
func endpointsOf(t *RoutingTable) string {
	text := ""
	for _, s := range t.Services() {
		for _, e := range s.Endpoints {
			text += fmt.Sprintf("%s/%s ", s.Name, e.Name)
		}
	}
	return text
}

// Guards against one entry that cannot be used, among those of nodes and endpoints, that keeps a node from following versions, or that
// is used: the version comes into force, whole or as a delta and also after a restart of a replica, and all other entries hold.
func TestOddMembers(t *testing.T) {
	first := snapshotOf(t, smallMesh()...)
	table, err := NewTable(first)
	if err != nil {
		t.Fatal(err)
	}
	want, nodes := endpointsOf(table), len(table.Nodes())
	dangling := entry(t, &wire.Endpoint{Service: "a", Name: "dangling", Node: "odd"})
	for name, odd := range oddMembers(t) {
		t.Run(name, func(t *testing.T) {
			source := first.With(2, []Entry{odd, dangling}, nil)
			delta, _ := source.Delta(1)
			for _, d := range []*wire.Delta{delta, source.FullDelta()} {
				got, err := first.Apply(d)
				if err != nil || got.Digest() != source.Digest() {
					t.Fatalf("apply, whole %v: got %v, want version 2", d.GetWhole(), err)
				}
				checkTable(t, first, got, want, nodes)
			}
			data, err := source.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := Unmarshal(data)
			if err != nil {
				t.Fatalf("restore: got %v, want a snapshot", err)
			}
			checkTable(t, first, restored, want, nodes)
			next := restored.With(3, []Entry{entry(t, &wire.Endpoint{Service: "b", Name: "two", Node: "n1"})}, []string{odd.Key})
			checkTable(t, restored, next, want+"b/two ", nodes)
		})
	}
}

// checkTable compares the endpoints and the number of nodes of a snapshot's table, built anew and from that of the old snapshot.
func checkTable(t *testing.T, old, s *Snapshot, want string, nodes int) {
	t.Helper()
	previous, err := NewTable(old)
	if err != nil {
		t.Fatal(err)
	}
	for _, build := range []func() (*RoutingTable, error){
		func() (*RoutingTable, error) { return NewTable(s) },
		func() (*RoutingTable, error) { return NextTable(previous, old, s) },
	} {
		got, err := build()
		if err != nil {
			t.Fatalf("table: got %v, want one without the odd entry", err)
		}
		if endpointsOf(got) != want || len(got.Nodes()) != nodes {
			t.Errorf("got %s and %d nodes, want %s and %d", endpointsOf(got), len(got.Nodes()), want, nodes)
		}
	}
}

// Guards against tolerance for other kinds: a rule that cannot be read may not be left out in silence.
func TestOddRulesAreRefused(t *testing.T) {
	first := snapshotOf(t, smallMesh()...)
	for _, kind := range []string{kindService, kindDomain, kindRoute, kindLimit, kindDrain, kindSuspect, kindBounds, "thing", "nodes", "endpoints"} {
		t.Run(kind, func(t *testing.T) {
			source := first.With(2, []Entry{{Key: kind + "/odd", Value: []byte{0xff}}}, nil)
			if got, err := first.Apply(source.FullDelta()); err == nil {
				t.Errorf("apply: got %v, want *InvalidError", got)
			}
			if got, err := NewTable(source); err == nil {
				t.Errorf("table: got %v, want *InvalidError", got)
			}
		})
	}
}

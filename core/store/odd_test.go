package store

import (
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// oddCommands returns commands that a damaged process or one of another version may get into the log, by name of the case.
func oddCommands() map[string]*wire.Command {
	endpoint := func(e *wire.Endpoint) *wire.Command {
		return membership(&wire.Membership{Endpoints: []*wire.Endpoint{e}})
	}
	node := func(n *wire.Node) *wire.Command { return membership(&wire.Membership{Joins: []*wire.Node{n}}) }
	body := func(c *wire.Change) *wire.Command { c.Id, c.Author = "odd", "ann"; return changeCommand(c) }
	list := map[string]*wire.Command{
		"no body":                        {},
		"change: empty":                  changeCommand(&wire.Change{}),
		"change: without body":           body(&wire.Change{}),
		"change: nil register":           body(&wire.Change{Body: &wire.Change_Register{}}),
		"change: nil rules":              body(&wire.Change{Body: &wire.Change_Rules{}}),
		"change: nil edit":               body(&wire.Change{Number: 1, Body: &wire.Change_Edit{}}),
		"change: edit beyond the base":   body(&wire.Change{Number: 1, Body: &wire.Change_Edit{Edit: &wire.Edit{Frame: &wire.Content{Sets: []*wire.RuleSet{{Set: "s"}}}, Spans: []*wire.Span{{From: math.MaxUint32, Count: math.MaxUint32}, {Set: math.MaxUint32}}}}}),
		"change: unknown version":        body(&wire.Change{Body: &wire.Change_Revert{Revert: math.MaxUint64}}),
		"change: time out of range":      body(&wire.Change{Body: &wire.Change_Rules{Rules: rules("s", "a", math.MinInt64)}}),
		"membership: nil":                membership(nil),
		"leaves without name":            membership(&wire.Membership{Leaves: []string{"", "@", "n1@x", "n1@99999999999999999999"}, Removed: []string{"", "@", "a/one@-1", "/"}}),
		"endpoint: missing fields":       endpoint(&wire.Endpoint{}),
		"endpoint: too many slots":       endpoint(&wire.Endpoint{Service: "a", Name: "odd", Node: "n1", Slots: math.MaxUint32}),
		"endpoint: too many connections": endpoint(&wire.Endpoint{Service: "a", Name: "odd", Node: "n1", Connections: math.MaxUint32}),
		"endpoint: no node":              endpoint(&wire.Endpoint{Service: "a", Name: "odd", Node: "gone"}),
		"endpoint: no service":           endpoint(&wire.Endpoint{Service: "gone", Name: "odd", Node: "n1"}),
		"endpoint: name with a slash":    endpoint(&wire.Endpoint{Service: "a", Name: "one/odd", Node: "n1"}),
		"endpoint: not UTF-8":            endpoint(&wire.Endpoint{Service: "a", Name: "odd\xff", Node: "n1"}),
		"node: missing fields":           node(&wire.Node{}),
		"node: long name":                node(&wire.Node{Name: strings.Repeat("x", 1<<20), Address: "127.0.0.1:9"}),
		"node: odd domain":               node(&wire.Node{Name: "odd", Address: "127.0.0.1:9", Domain: "a b"}),
		"claims: empty":                  {Body: &wire.Command_Claims{Claims: &wire.Claims{Claims: []*wire.Claim{{}}}}},
		"claims: times out of range":     {Body: &wire.Command_Claims{Claims: &wire.Claims{Claims: []*wire.Claim{{Kind: 1, Key: "k", Owner: "o", Deadline: math.MinInt64}, {Kind: 99, Key: "k", Owner: "o", Deadline: math.MaxInt64}}}}},
		"marks: empty and too long":      {Body: &wire.Command_Marks{Marks: &wire.Marks{Marks: []*wire.Mark{{Kind: 1}, {Kind: 99}, {Kind: 1, Fingerprint: make([]byte, 1<<16)}}}}},
		"time: negative":                 {Time: math.MinInt64, Body: &wire.Command_Membership{}},
	}
	for _, port := range []string{"0", "65536", "-1", "1.5", "x", ""} {
		list["node: port "+port] = node(&wire.Node{Name: "odd", Address: "127.0.0.1:" + port})
	}
	return list
}

// Guards against one odd command in the log that ends every replica, changes other entries, or keeps later versions from being used:
// the state can be restored, and its table has the good endpoint and no odd one.
func TestOddCommands(t *testing.T) {
	good := &wire.Membership{Joins: []*wire.Node{{Name: "n1", Address: "127.0.0.1:1"}}, Endpoints: []*wire.Endpoint{{Service: "a", Name: "one", Node: "n1"}}}
	for name, odd := range oddCommands() {
		t.Run(name, func(t *testing.T) {
			s := New()
			s.Apply(1, changeCommand(change("1", 0, register("a"))))
			s.Apply(2, membership(good))
			s.Apply(3, odd)
			good := proto.CloneOf(good)
			good.Endpoints[0].Slots = 2
			s.Apply(4, membership(good))
			data, err := s.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			restored := New()
			if err := restored.Restore(data); err != nil {
				t.Fatalf("restore: got %v, want the state", err)
			}
			for _, s := range []*Store{s, restored} {
				table, err := config.NewTable(s.Snapshot())
				if err != nil || s.Snapshot().Version() != 4 {
					t.Fatalf("table: got %v at version %d, want one at version 4", err, s.Snapshot().Version())
				}
				a, _ := table.Service("a")
				if got := a.Endpoints; len(got) != 1 || got[0].Name != "one" || got[0].Slots != 2 {
					t.Errorf("endpoints: got %v, want a/one with 2 slots", got)
				}
			}
		})
	}
}

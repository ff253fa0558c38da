package store

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

const start = 1_700_000_000_000 // leader time of most commands, Unix milliseconds

func register(names ...string) *wire.Register {
	r := &wire.Register{Domains: []*wire.Domain{{Name: "lower", Region: "r"}}}
	for _, n := range names {
		r.Services = append(r.Services, &wire.Service{Name: n, Slots: 12, Connections: 130})
	}
	return r
}

func rules(set, service string, deadline int64) *wire.RuleSet {
	return &wire.RuleSet{Set: set, Routes: []*wire.Route{{Name: set + "-" + service, Service: service, Path: "/" + set, Deadline: deadline}}}
}

func change(id string, base uint64, body any) *wire.Change {
	c := &wire.Change{Id: id, Base: base, Author: "ann", Reason: "test"}
	switch b := body.(type) {
	case *wire.Register:
		c.Body = &wire.Change_Register{Register: b}
	case *wire.RuleSet:
		c.Body = &wire.Change_Rules{Rules: b}
	case uint64:
		c.Body = &wire.Change_Revert{Revert: b}
	}
	return c
}

func changeCommand(c *wire.Change) *wire.Command {
	return &wire.Command{Time: start, Body: &wire.Command_Change{Change: c}}
}

func membership(m *wire.Membership) *wire.Command {
	return &wire.Command{Time: start, Body: &wire.Command_Membership{Membership: m}}
}

// describe returns a short text of a result.
func describe(r *wire.Result) string {
	switch b := r.GetBody().(type) {
	case *wire.Result_Accepted:
		return fmt.Sprintf("accepted %d %s", b.Accepted.GetVersion(), b.Accepted.GetPart())
	case *wire.Result_Conflict:
		return fmt.Sprintf("conflict %d %s", b.Conflict.GetWinner().GetVersion(), strings.Join(b.Conflict.GetFields(), ","))
	case *wire.Result_Refusal:
		fields := ""
		for _, f := range b.Refusal.GetFaults() {
			fields += " " + f.GetField()
		}
		return b.Refusal.GetCode() + fields
	}
	return fmt.Sprint("version ", r.GetVersion())
}

func restoredCopy(t interface{ Fatal(...any) }, s *Store) *Store {
	data, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := n.Marshal()
	if err != nil || !bytes.Equal(again, data) {
		t.Fatal("marshalled state differs after a restore", err)
	}
	return n
}

// Guards against a change that overwrites one unseen by its operator, a resend that is applied twice, a refusal without its
// reason, and answers that differ after a restore.
func TestChangeRules(t *testing.T) {
	s := New()
	index := uint64(0)
	for _, c := range []struct {
		change *wire.Change
		want   string
	}{
		{change("1", 0, register("a", "b")), "accepted 1 register"},
		{change("1", 0, register("a", "b")), "accepted 1 register"}, // resend
		{change("1", 1, register("a", "b")), "accepted 1 register"}, // resend with a newer base
		{change("1", 1, register("a")), "reused id"},
		{change("2", 0, register("a")), "conflict 1 domain/lower,service/a"},
		{change("3", 1, rules("main", "a", 1000)), "accepted 6 rules/main"},
		{change("4", 1, register("a", "b", "c")), "conflict 6 route/main-a"},
		{change("5", 6, rules("main", "a", 2000)), "accepted 8 rules/main"},
		{change("6", 6, rules("main", "a", 3000)), "conflict 8 route/main-a.deadline"},
		{change("7", 8, register("b")), "invalid rules/main/route/main-a.service"},
		{change("8", 99, register("a")), "invalid base"},
		{change("9", 8, rules("other", "nowhere", 1)), "invalid rules/other/route/other-nowhere.service"},
		{change("10", 8, rules("main", "b", 0)), "invalid rules/main/route/main-b.deadline"},
		{change("", 8, register("a")), "invalid id"},
		{change("11", 8, nil), "invalid body"},
		{change("12", 8, uint64(7)), "missing revert"},
		{change("13", 8, uint64(6)), "accepted 17 revert/6"},
		{change("14", 17, rules("main", "a", 1000)), "accepted 18 rules/main"}, // a new version although no entry changes
		{change("15", 18, &wire.RuleSet{Set: "main"}), "accepted 19 rules/main"},
		{change("16", 19, register("b")), "accepted 20 register"},
		{change("3", 0, rules("main", "a", 1000)), "accepted 6 rules/main"},
	} {
		index++
		s = restoredCopy(t, s)
		planned := describe(s.Plan(c.change))
		got := s.Apply(index, changeCommand(c.change))
		if describe(got) != c.want {
			t.Errorf("change %s at index %d: got %s, want %s", c.change.GetId(), index, describe(got), c.want)
		}
		if want := strings.Replace(c.want, fmt.Sprint("accepted ", index), "accepted 0", 1); planned != want {
			t.Errorf("plan of %s: got %s, want %s", c.change.GetId(), planned, want)
		}
		if got.GetVersion() != s.Snapshot().Version() {
			t.Errorf("got version %d, want %d", got.GetVersion(), s.Snapshot().Version())
		}
	}
	got := s.Changes()[2].GetDifferences()
	want := &wire.Difference{Key: "route/main-a", Field: "deadline", Before: "1s", After: "2s"}
	if len(got) != 1 || !proto.Equal(got[0], want) {
		t.Errorf("got differences %v, want %v", got, want)
	}
	if _, err := s.Content(7); err == nil {
		t.Error("got nil for a version without a change, want *VersionError")
	}
}

// Guards against a resend that is applied again after its id was removed, and against an unbounded history.
func TestHistoryBound(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("first", 0, register("a"))))
	for i := uint64(2); i < 2*MaxHistory+MinIDs; i++ {
		c := changeCommand(change(fmt.Sprint(i), i-1, register("a")))
		c.Time = start + int64(i)*180_000 // one change every 3 minutes, so 480 changes within IDRetention
		s.Apply(i, c)
	}
	version := s.Snapshot().Version()
	got := describe(s.Apply(version+1, changeCommand(change("first", 0, register("a")))))
	if got != "expired base" || len(s.Changes()) != MaxHistory || len(s.ids) > MinIDs || s.Snapshot().Version() != version {
		t.Errorf("got %s, %d changes and %d ids, want expired base, %d changes and at most %d ids", got, len(s.Changes()), len(s.ids), MaxHistory, MinIDs)
	}
}

// Guards against contents in the history that exceed MaxContentBytes, against eviction of the newest content, and against a
// restored replica that evicts other contents than the other replicas.
func TestContentBound(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("1", 0, register("a"))))
	restored := restoredCopy(t, s)
	for i := uint64(2); i < 16; i++ {
		set := &wire.RuleSet{Set: "main"}
		for r := range 900 {
			path := fmt.Sprintf("/%d/%d/%s", i, r, strings.Repeat("x", 1000))
			set.Routes = append(set.Routes, &wire.Route{Name: fmt.Sprint("r", r), Service: "a", Path: path, Deadline: 1})
		}
		c := changeCommand(change(fmt.Sprint(i), i-1, set))
		s.Apply(i, c)
		restored.Apply(i, c)
		if i%5 == 0 { // before, at and after MaxContentBytes is reached
			restored = restoredCopy(t, restored)
		}
	}
	for version, want := range map[uint64]bool{1: false, 5: false, 13: true, 15: true} {
		_, err := s.Content(version)
		_, other := restored.Content(version)
		if got := err == nil; got != want || (other == nil) != want {
			t.Errorf("content of version %d: got error %v, and %v after restores; want it kept: %v", version, err, other, want)
		}
	}
	got := describe(s.Apply(16, changeCommand(change("16", 15, uint64(3)))))
	again := describe(restored.Apply(16, changeCommand(change("16", 15, uint64(3)))))
	if got != "missing revert" || again != got || len(s.Changes()) != 15 {
		t.Errorf("got %s and %s with %d changes, want missing revert and 15", got, again, len(s.Changes()))
	}
}

// Guards against endpoints in a snapshot whose service or node is missing, and against late messages of replaced processes.
func TestMembership(t *testing.T) {
	node := func(name string, incarnation uint64) *wire.Node {
		return &wire.Node{Name: name, Address: "127.0.0.1:1", Domain: "lower", Region: "r", Incarnation: incarnation}
	}
	endpoint := func(service, name string, incarnation uint64) *wire.Endpoint {
		return &wire.Endpoint{Service: service, Name: name, Node: "n", Incarnation: incarnation}
	}
	s := New()
	for i, c := range []struct {
		command *wire.Command
		want    string // keys of nodes and endpoints
	}{
		{membership(&wire.Membership{Endpoints: []*wire.Endpoint{endpoint("a", "e", 1)}}), ""}, // unknown node
		{membership(&wire.Membership{Joins: []*wire.Node{node("n", 1)}, Endpoints: []*wire.Endpoint{endpoint("a", "e", 1)}}), "node/n"},
		{changeCommand(change("1", 0, register("a"))), "endpoint/a/e node/n"},
		{changeCommand(change("2", 3, register("b"))), "node/n"},
		{changeCommand(change("3", 4, register("a"))), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Joins: []*wire.Node{node("n", 2)}}), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Leaves: []string{"n@1"}}), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Endpoints: []*wire.Endpoint{endpoint("a", "e", 2)}}), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Endpoints: []*wire.Endpoint{endpoint("a", "e", 1)}, Removed: []string{"a/e@1"}}), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Removed: []string{"a/e"}}), "node/n"},
		{membership(&wire.Membership{Endpoints: []*wire.Endpoint{endpoint("a", "e", 1)}}), "node/n"}, // former incarnation
		{membership(&wire.Membership{Endpoints: []*wire.Endpoint{endpoint("a", "e", 2)}}), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Joins: []*wire.Node{{Name: "x", Address: "host:1"}, {Name: "X", Address: "127.0.0.1:1"}}}), "endpoint/a/e node/n"},
		{membership(&wire.Membership{Leaves: []string{"n"}}), ""},
	} {
		s = restoredCopy(t, s)
		s.Apply(uint64(i+1), c.command)
		var keys []string
		for e := range s.Snapshot().All() {
			if strings.HasPrefix(e.Key, "node/") || strings.HasPrefix(e.Key, "endpoint/") {
				keys = append(keys, e.Key)
			}
		}
		if got := strings.Join(keys, " "); got != c.want {
			t.Errorf("command %d: got %s, want %s", i+1, got, c.want)
		}
		if n := s.members.nodes["n"]; i > 5 && i < 13 && n.GetIncarnation() != 2 {
			t.Errorf("command %d: got incarnation %d, want 2", i+1, n.GetIncarnation())
		}
	}
}

// randomCommand returns a random command; the names are few, so that commands affect the same entries.
func randomCommand(t *rapid.T, s *Store, number int) *wire.Command {
	c := &wire.Command{Time: start + rapid.Int64Range(0, 3_600_000).Draw(t, "time")}
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		base := rapid.SampledFrom([]uint64{0, s.Snapshot().Version(), s.Snapshot().Version()}).Draw(t, "base")
		id := fmt.Sprint(rapid.SampledFrom([]int{1, number, number}).Draw(t, "id"))
		bodies := []any{
			register("a", "b"), register(name.Draw(t, "service")), rules("x", name.Draw(t, "service"), 5), &wire.RuleSet{Set: "x"},
			rapid.Uint64Range(1, 20).Draw(t, "revert"),
		}
		c.Body = &wire.Command_Change{Change: change(id, base, rapid.SampledFrom(bodies).Draw(t, "body"))}
	case 2, 3:
		node, service := name.Draw(t, "node"), name.Draw(t, "service")
		incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
		m := rapid.SampledFrom([]*wire.Membership{
			{Joins: []*wire.Node{{Name: node, Address: "127.0.0.1:1", Incarnation: incarnation}}},
			{Endpoints: []*wire.Endpoint{{Service: service, Name: "e", Node: node, Incarnation: incarnation}}},
			{Leaves: []string{node}},
			{Removed: []string{service + "/e"}},
			{Departed: []*wire.Departure{{Service: service, Name: "e", Incarnation: incarnation}}},
		}).Draw(t, "membership")
		c.Body = &wire.Command_Membership{Membership: m}
	case 4:
		c.Body = &wire.Command_Claims{Claims: &wire.Claims{Claims: []*wire.Claim{{
			Kind: wire.ClaimKind(rapid.IntRange(1, 3).Draw(t, "claim")), Key: "k", Owner: name.Draw(t, "owner"), Deadline: start + 3_600_000,
		}}}}
	case 5:
		c.Body = &wire.Command_Order{Order: &wire.RolloutOrder{
			Service: name.Draw(t, "service"), Release: name.Draw(t, "release"), Duration: rapid.Int64Range(0, 2).Draw(t, "duration"),
		}}
	case 6:
		service := name.Draw(t, "service")
		current := s.Rollout(service)
		c.Body = &wire.Command_Advance{Advance: &wire.RolloutAdvance{
			Service: service, Order: current.GetOrder(), Step: current.GetStep() + rapid.Uint32Range(0, 1).Draw(t, "step"),
			Share: rapid.Uint32Range(0, 10_001).Draw(t, "share"), State: wire.RolloutState(rapid.IntRange(0, 3).Draw(t, "state")),
		}}
	default:
		c.Body = &wire.Command_Marks{Marks: &wire.Marks{Marks: []*wire.Mark{{
			Kind: wire.MarkKind(rapid.IntRange(1, 3).Draw(t, "mark")), Fingerprint: []byte(name.Draw(t, "print")), Incarnation: 1,
		}}}}
	}
	return c
}

// Guards against replicas that diverge after a snapshot install, two accepted changes on one base, a version that decreases or
// increases without a change, and a snapshot that nodes would refuse.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, restored := New(), New()
		winners := make(map[uint64]string)
		for i := 1; i <= rapid.IntRange(1, 60).Draw(t, "commands"); i++ {
			c := randomCommand(t, s, i+1)
			before := s.Snapshot()
			got := s.Apply(uint64(i), c)
			if other := restored.Apply(uint64(i), c); !proto.Equal(got, other) || restored.Snapshot().Digest() != s.Snapshot().Digest() {
				t.Fatalf("got %v, the restored replica answers %v", got, other)
			}
			if a := got.GetAccepted(); a != nil && a.GetVersion() == uint64(i) {
				base := c.GetChange().GetBase()
				if winners[base] != "" {
					t.Fatalf("got two winners on base %d: %s and %s", base, winners[base], a.GetId())
				}
				winners[base] = a.GetId()
			}
			after := s.Snapshot()
			if after.Version() != before.Version() && after.Version() != uint64(i) || got.GetVersion() != after.Version() {
				t.Fatalf("got version %d after version %d at index %d", after.Version(), before.Version(), i)
			}
			if after.Version() == before.Version() && after.Digest() != before.Digest() {
				t.Fatalf("got other content in version %d", after.Version())
			}
			if _, err := config.NewTable(after); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				restored = restoredCopy(t, s)
			}
		}
	})
}

// BenchmarkStore measures a change, the restart of one node, and marshal and restore, with 2,100 endpoints and 220 services.
func BenchmarkStore(b *testing.B) {
	r := register()
	set := &wire.RuleSet{Set: "main"}
	m := &wire.Membership{}
	for i := range 220 {
		name := fmt.Sprint("service-", i)
		r.Services = append(r.Services, &wire.Service{Name: name, Slots: 12, Connections: 130})
		set.Routes = append(set.Routes, &wire.Route{Name: name, Service: name, Path: "/" + name, Deadline: 1000})
	}
	for i := range 2100 {
		name := fmt.Sprint("node-", i)
		m.Joins = append(m.Joins, &wire.Node{Name: name, Address: "127.0.0.1:1", Domain: "lower", Incarnation: 1})
		m.Endpoints = append(m.Endpoints, &wire.Endpoint{Service: fmt.Sprint("service-", i%220), Name: name, Node: name, Incarnation: 1})
	}
	s := New()
	s.Apply(1, changeCommand(change("1", 0, r)))
	s.Apply(2, changeCommand(change("2", 1, set)))
	s.Apply(3, membership(m))
	index := uint64(3)
	b.Run("Change", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			index++
			n, _ := proto.Clone(set).(*wire.RuleSet)
			n.Routes[0].Deadline = int64(index%1000) + 1
			if a := s.Apply(index, changeCommand(change(fmt.Sprint(index), s.Snapshot().Version(), n))); a.GetAccepted() == nil {
				b.Fatal(a)
			}
		}
	})
	b.Run("Restart", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			index++
			n, _ := proto.Clone(m.Joins[7]).(*wire.Node)
			n.Incarnation = index
			s.Apply(index, membership(&wire.Membership{Joins: []*wire.Node{n}}))
		}
	})
	b.Run("MarshalRestore", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			data, err := s.Marshal()
			if err != nil || New().Restore(data) != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		}
	})
}

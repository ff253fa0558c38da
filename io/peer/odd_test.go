package peer

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// Guards against nodes that stop following versions, directly or through a relay, because one entry of a node or endpoint cannot be used;
// a node that starts afterwards gets the odd entry in a whole snapshot.
func TestOddEntryIsFollowed(t *testing.T) {
	put := func(m proto.Message) config.Entry {
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return config.Entry{Key: config.KeyOf(m), Value: value}
	}
	list := []*member{}
	for _, name := range []string{"source", "relay", "node", "late"} {
		m := newMember(t, name, profiles[0], 16, func(View) {})
		m.holder.Prove(0)
		list = append(list, m)
	}
	defer closeAll(list)
	source, relay := list[0], list[1]
	snapshot := config.NewSnapshot().With(1, []config.Entry{
		put(&wire.Service{Name: "a", Slots: 1}), put(&wire.Node{Name: "n", Address: "127.0.0.1:1"}), put(&wire.Endpoint{Service: "a", Name: "good", Node: "n"}),
	}, nil)
	if err := source.holder.Offer(snapshot); err != nil {
		t.Fatal(err)
	}
	relay.follow(profiles[0], source)
	list[2].follow(profiles[0], relay)
	await := func(name string, m *member, version uint64) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		v := m.holder.Wait(ctx, version-1, 5*time.Second)
		if got := v.Snapshot.Version(); got != version {
			t.Fatalf("%s at %s: got version %d, want %d", name, m.name, got, version)
		}
		if a, _ := v.Table.Service("a"); len(a.Endpoints) != 1 || a.Endpoints[0].Name != "good" {
			t.Errorf("%s at %s: got endpoints %v, want a/good", name, m.name, a.Endpoints)
		}
	}
	for name, odd := range map[string]config.Entry{
		"unreadable endpoint":     {Key: "endpoint/a/odd", Value: []byte{0xff, 0xff}},
		"empty endpoint":          {Key: "endpoint/a/odd"},
		"endpoint without node":   put(&wire.Endpoint{Service: "a", Name: "odd", Node: "gone"}),
		"too many slots":          put(&wire.Endpoint{Service: "a", Name: "odd", Node: "n", Slots: 1 << 31}),
		"unreadable node":         {Key: "node/odd", Value: []byte{0xff}},
		"node with negative port": put(&wire.Node{Name: "odd", Address: "127.0.0.1:-1"}),
	} {
		version := snapshot.Version() + 1
		snapshot = snapshot.With(version, []config.Entry{odd}, nil)
		if err := source.holder.Offer(snapshot); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for _, m := range list[:3] {
			await(name, m, version)
		}
	}
	list[3].follow(profiles[0], relay)
	await("start", list[3], snapshot.Version())
}

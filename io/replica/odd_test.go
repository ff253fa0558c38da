package replica

import (
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// bytesField appends a length-delimited field.
func bytesField(b []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), value)
}

// oddMembership returns a membership command with a good endpoint before and after one odd field of the membership.
func oddMembership(odd []byte) []byte {
	good, _ := proto.Marshal(&wire.Endpoint{Service: "a", Name: "one", Node: "n1"})
	m := append(bytesField(nil, membershipAdded, good), odd...)
	m = bytesField(m, membershipAdded, good)
	return bytesField(protowire.AppendVarint(protowire.AppendTag(nil, commandTime, protowire.VarintType), 7), commandMembership, m)
}

// oddEntries returns fields of a membership that this version cannot decode, by name of the case.
func oddEntries() map[string][]byte {
	return map[string][]byte{
		"endpoint: unreadable bytes":  bytesField(nil, membershipAdded, []byte{0xff, 0xff, 0xff}),
		"endpoint: not UTF-8":         bytesField(nil, membershipAdded, []byte{0x0a, 0x01, 0xff}),
		"endpoint: cut":               bytesField(nil, membershipAdded, []byte{0x0a, 0x7f, 'a'}),
		"node: unreadable bytes":      bytesField(nil, membershipJoins, []byte{0xff}),
		"node: not UTF-8":             bytesField(nil, membershipJoins, []byte{0x12, 0x01, 0xff}),
		"leave: not UTF-8":            bytesField(nil, membershipLeaves, []byte{0xff}),
		"removed endpoint: not UTF-8": bytesField(nil, membershipRemoved, []byte{0xff}),
		"departure: not UTF-8":        bytesField(nil, membershipDeparted, []byte{0x0a, 0x01, 0xff}),
	}
}

// Guards against one entry of nodes or endpoints in the log that this version cannot decode and that stops every replica, at each start
// again: all other entries of the command are applied, and later commands too.
func TestOddMembershipInLog(t *testing.T) {
	var mu sync.Mutex
	applied := 0 // good endpoints that any replica applied
	// Syncs may take half a second beside other work, so the usual election timeout of the tests would change the leader.
	election := WithElection(5*time.Second, 20*time.Millisecond)
	g := newGroup(t, threeNames, election, WithApply(func(_ uint64, c *wire.Command) *wire.Result {
		mu.Lock()
		defer mu.Unlock()
		applied += len(c.GetMembership().GetEndpoints())
		return &wire.Result{}
	}))
	l := g.leader()
	want := 0
	for name, odd := range oddEntries() {
		a, err := l.submit(t.Context(), event{data: oddMembership(odd)})
		if err != nil || a.err != nil {
			t.Fatalf("%s: got %v, %v, want it applied without the odd entry", name, err, a.err)
		}
		want += 2 * len(threeNames)
	}
	if _, err := l.Propose(t.Context(), &wire.Command{}); err != nil {
		t.Fatalf("next command: got %v, want it applied", err)
	}
	g.await("all replicas apply the good entries", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return applied == want
	})
	for name, r := range g.members {
		if r.Err() != nil {
			t.Errorf("replica %s: got %v, want it running", name, r.Err())
		}
	}
}

// Guards against a decoder that loses good entries, and against a change, claim or mark that is left out in silence although a leader may
// have acknowledged it.
func TestDecodeCommand(t *testing.T) {
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			c, skipped, err := decodeCommand(oddMembership(odd))
			if got := len(c.GetMembership().GetEndpoints()); got != 2 || skipped != 1 || c.GetTime() != 7 || err != nil {
				t.Errorf("got %d endpoints, %d entries left out, time %d, %v, want 2, 1, 7", got, skipped, c.GetTime(), err)
			}
		})
	}
	notUTF8 := []byte{0x0a, 0x01, 0xff}
	for name, data := range map[string][]byte{
		"change":                  bytesField(nil, 2, notUTF8),
		"claims":                  bytesField(nil, 4, bytesField(nil, 1, []byte{0x12, 0x01, 0xff})),
		"marks":                   bytesField(nil, 5, bytesField(nil, 1, []byte{0x1a, 0x01, 0xff})),
		"membership and a change": append(oddMembership(oddEntries()["node: not UTF-8"]), bytesField(nil, 2, notUTF8)...),
		"no protobuf":             {0xff, 0xff},
		"cut membership":          oddMembership(nil)[:5],
	} {
		t.Run(name, func(t *testing.T) {
			if c, _, err := decodeCommand(data); err == nil {
				t.Errorf("got %v, want an error", c)
			}
		})
	}
}

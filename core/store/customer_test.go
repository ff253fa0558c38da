package store

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// numberedCustomers returns a numbered change of the whole content with customers; each text is a name followed by the keys.
func numberedCustomers(number, builds uint64, customers ...string) *wire.Change {
	c := numberedChange(number, builds, "archive")
	c.Id = fmt.Sprintf("%d-%x", number, config.HashKey(strings.Join(customers, ";")))
	for _, t := range customers {
		parts := strings.Fields(t)
		c.GetContent().Customers = append(c.GetContent().Customers, &wire.Customer{Name: parts[0], Keys: parts[1:]})
	}
	return c
}

// holders returns the customer of each key in the table of the newest snapshot, or - for none.
func holders(t *testing.T, s *Store, keys ...string) string {
	t.Helper()
	table, err := config.NewTable(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, k := range keys {
		name := "-"
		if c, ok := table.CustomerByKey(k); ok {
			name = c.Name
		}
		list = append(list, name)
	}
	return strings.Join(list, " ")
}

// Guards against a withdrawn key that is accepted again after a restart, a late resend, a concurrent operator's change, a change of
// the rules or a revert to a version that had it, and against a key in a difference, a snapshot or a result.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	first := numberedCustomers(1, 0, "a key-old key-both", "b key-b")
	tests := []struct {
		name   string
		change *wire.Change
		want   string
		keys   string // customers of key-old, key-both, key-new and key-b
	}{
		{"first", first, "accepted 1", "a a - b"},
		{"key-old withdrawn, key-new added", numberedCustomers(2, 1, "a key-both key-new", "b key-b"), "accepted 2", "- a a b"},
		{"late resend", first, "accepted 1", "- a a b"},
		{"concurrent operator", numberedCustomers(3, 1, "a key-old", "b key-b"), "conflict 2", "- a a b"},
		{"rules", change("rules", 2, rules("more", "archive", 50)), "accepted 5", "- a a b"},
		{"register", change("register", 5, register("archive", "ledger")), "accepted 6", "- a a b"},
		{"revert to the first", change("revert", 6, uint64(1)), "accepted 7", "- a a b"},
		{"customers only", &wire.Change{Id: "only", Base: 7, Author: "ann", Body: &wire.Change_Customers{Customers: &wire.Customers{Customers: []*wire.Customer{
			{Name: "b", Keys: []string{"key-b"}}, {Name: "a", Keys: []string{"key-new", "key-both", "key-more"}},
		}}}}, "accepted 8 customers", "- a a b"},
		{"invalid customers", &wire.Change{Id: "bad", Base: 8, Author: "ann", Body: &wire.Change_Customers{Customers: &wire.Customers{Customers: []*wire.Customer{
			{Name: "b", Keys: []string{"key-b", "key-b"}},
		}}}}, "invalid customers[0].keys[1]", "- a a b"},
		{"customers reordered, moved key", numberedCustomers(8, 6, "b key-b key-both", "a key-new"), "accepted 10", "- b a b"},
		{"no customers", numberedCustomers(9, 8), "accepted 11", "- - - -"},
		{"revert to customers", change("again", 11, uint64(10)), "accepted 12", "- - - -"},
	}
	s := New()
	for i, c := range tests {
		result := s.Apply(uint64(i+1), changeCommand(c.change))
		if got := describe(result); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
		for range 2 {
			if got := holders(t, s, "key-old", "key-both", "key-new", "key-b"); got != c.keys {
				t.Errorf("%s: customers of the keys: got %s, want %s", c.name, got, c.keys)
			}
			s = restoredCopy(t, s)
		}
		if strings.Contains(result.String(), "key-") {
			t.Errorf("%s: got %v, want a result without keys", c.name, result)
		}
		for e := range s.Snapshot().All() {
			if strings.Contains(string(e.Value), "key-") {
				t.Errorf("%s: entry %s holds a key, want digests only", c.name, e.Key)
			}
		}
	}
}

// Guards against customers that are lost or changed when operators read them back, also after a restart.
func TestCustomersAreReadBack(t *testing.T) {
	s := New()
	c := numberedCustomers(1, 0, "b z-key a-key", "a key")
	c.GetContent().Customers[0].Priority = proto.Uint32(0)
	c.GetContent().Customers[1].Rate, c.GetContent().Customers[1].Burst = 12.75, 30
	c.GetContent().Sets[0].Routes[0].Public = true
	s.Apply(1, changeCommand(proto.CloneOf(c)))
	for i := range 2 {
		got, err := s.Content(1)
		if err != nil {
			t.Fatal(err)
		}
		want := c.GetContent()
		want.Sets[0].Routes[0].Set = "main"
		if !proto.Equal(got, want) {
			t.Errorf("content after %d restarts: got %v, want %v", i, got, want)
		}
		s = restoredCopy(t, s)
	}
}

// Guards against customers that every change repeats in the log and in the history, and against an edit that loses them.
func TestEditsDoNotRepeatCustomers(t *testing.T) {
	var customers []string
	for i := range 2000 {
		customers = append(customers, fmt.Sprintf("c%d key-%d", i, i))
	}
	s := New()
	s.Apply(1, changeCommand(numberedCustomers(1, 0, customers...)))
	before, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	for number := uint64(2); number < 12; number++ {
		edit := s.Base().EncodeEdit(numberedCustomers(number, number-1, customers...))
		if got := proto.Size(edit); got > 1000 {
			t.Fatalf("size of edit %d: got %d bytes, want at most 1,000", number, got)
		}
		if got := describe(s.Apply(number, changeCommand(edit))); !strings.HasPrefix(got, "accepted") {
			t.Fatalf("edit %d: got %s, want accepted", number, got)
		}
	}
	after, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if got := len(after) - len(before); got > 10_000 {
		t.Errorf("growth of the state by 10 changes: got %d bytes, want at most 10,000", got)
	}
	next := numberedCustomers(12, 11, append(customers[1:], "c0 key-0 key-more")...)
	if got := describe(s.Apply(12, changeCommand(s.Base().EncodeEdit(next)))); !strings.HasPrefix(got, "accepted") {
		t.Fatalf("edit with another key: got %s, want accepted", got)
	}
	if got := holders(t, s, "key-more", "key-1999", "key-0"); got != "c0 c1999 c0" {
		t.Errorf("customers of the keys: got %s, want c0 c1999 c0", got)
	}
}

// Guards against a difference that shows a key or its digest, or that leaves out a change of keys.
func TestDifferencesOfCustomers(t *testing.T) {
	tests := []struct {
		name          string
		before, after string
		want          string
	}{
		{"added", "", "a k1 k2", " -> keys=2"},
		{"removed", "a k1", "", "keys=1 -> "},
		{"key added", "a k1", "a k1 k2", "keys: 1 -> 2, 1 added"},
		{"key exchanged", "a k1 k2", "a k1 k3", "keys: 2 -> 2, 1 added, 1 withdrawn"},
		{"other order", "a k1 k2", "a k2 k1", "keys: 2 -> 2 in another order"},
		{"the same", "a k1", "a k1", ""},
	}
	list := func(text string) []string {
		if text == "" {
			return nil
		}
		return []string{text}
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Apply(1, changeCommand(numberedCustomers(1, 0, list(c.before)...)))
			result := s.Apply(2, changeCommand(numberedCustomers(2, 1, list(c.after)...)))
			got := ""
			for _, d := range result.GetAccepted().GetDifferences() {
				if d.GetKey() != "customer/a" {
					continue
				}
				if d.GetField() != "" {
					got += d.GetField() + ": "
				}
				got += d.GetBefore() + " -> " + d.GetAfter()
			}
			if got != c.want {
				t.Errorf("difference: got %q, want %q", got, c.want)
			}
		})
	}
}

package config

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"godwitspindle/core/wire"
)

func entry(t interface{ Fatal(...any) }, m proto.Message) Entry {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return Entry{Key: KeyOf(m), Value: value}
}

// randomSnapshots builds successive snapshots with random puts and removals over a few keys, so that keys are often removed and
// added again.
func randomSnapshots(t *rapid.T) []*Snapshot {
	list := []*Snapshot{NewSnapshot()}
	version := uint64(0)
	for range rapid.IntRange(1, 25).Draw(t, "versions") {
		version += rapid.Uint64Range(1, 3).Draw(t, "step")
		var puts []Entry
		var removes []string
		for k := range 6 {
			s := &wire.Service{Name: fmt.Sprint("s", k), Slots: rapid.Uint32Range(0, 3).Draw(t, "slots")}
			switch rapid.IntRange(0, 3).Draw(t, "edit") {
			case 0:
				puts = append(puts, entry(t, s))
			case 1:
				if _, held := list[len(list)-1].Get(KeyOf(s)); held {
					removes = append(removes, KeyOf(s))
				}
			}
		}
		list = append(list, list[len(list)-1].With(version, puts, removes))
	}
	return list
}

// Guards against a version that decreases, content that differs from the source's at the same version, and a digest that
// does not match the entries. Deltas are lost, repeated, reordered and relayed by other nodes.
func TestDeltasInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := randomSnapshots(t)
		nodes := []*Snapshot{source[0], source[0], source[0]}
		offers := append([]*Snapshot(nil), source...)
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			from := rapid.SampledFrom(offers).Draw(t, "from")
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			since := rapid.SampledFrom(source).Draw(t, "since").Version()
			d, ok := from.Delta(since)
			if !ok || rapid.Bool().Draw(t, "whole") {
				d = from.FullDelta()
			}
			held := nodes[i]
			next, err := held.Apply(d)
			if err != nil {
				var stale *StaleError
				var gap *GapError
				if !errors.As(err, &stale) && !errors.As(err, &gap) {
					t.Fatalf("got %v, want a version, *StaleError or *GapError", err)
				}
				continue
			}
			if next.Version() < held.Version() {
				t.Fatalf("got version %d after %d", next.Version(), held.Version())
			}
			at := slices.IndexFunc(source, func(s *Snapshot) bool { return s.Version() == next.Version() })
			compareSnapshots(t, next, source[at])
			nodes[i] = next
			offers = append(offers, next)
		}
	})
}

func compareSnapshots(t *rapid.T, got, want *Snapshot) {
	if got.Digest() != want.Digest() || got.Len() != want.Len() {
		t.Fatalf("got digest %v of %d entries, want %v of %d", got.Digest(), got.Len(), want.Digest(), want.Len())
	}
	var sum Digest
	for e := range got.All() {
		sum = sum.plus(hashEntry(e))
		if w, _ := want.Get(e.Key); string(w.Value) != string(e.Value) || w.Version != e.Version {
			t.Fatalf("got %v, want %v", e, w)
		}
	}
	if sum != got.Digest() {
		t.Fatalf("got digest %v, want the sum %v", got.Digest(), sum)
	}
}

// Guards against a faulty delta that is partly applied or reported with the wrong error type.
func TestApplyFaults(t *testing.T) {
	held := NewSnapshot().With(5, []Entry{entry(t, &wire.Service{Name: "a"})}, nil)
	next := held.With(7, []Entry{entry(t, &wire.Service{Name: "b"})}, []string{"service/a"})
	good := func() *wire.Delta { d, _ := next.Delta(5); return d }
	for name, c := range map[string]struct {
		corrupt func(*wire.Delta)
		want    error
	}{
		"stale":   {func(d *wire.Delta) { d.Version = 4 }, new(StaleError)},
		"gap":     {func(d *wire.Delta) { d.Base = 6 }, new(GapError)},
		"digest":  {func(d *wire.Delta) { d.Digest.Low++ }, new(DigestError)},
		"lost":    {func(d *wire.Delta) { d.Removed = nil }, new(DigestError)},
		"altered": {func(d *wire.Delta) { d.Entries[0].Version = 6 }, new(DigestError)},
		"value":   {func(d *wire.Delta) { d.Entries[0].Value = []byte{0xff} }, new(InvalidError)},
		"name":    {func(d *wire.Delta) { d.Entries[0].Key = "service/c" }, new(InvalidError)},
		"kind":    {func(d *wire.Delta) { d.Entries[0].Key = "thing/b" }, new(InvalidError)},
		"future":  {func(d *wire.Delta) { d.Entries[0].Version = 8 }, new(InvalidError)},
		"twice":   {func(d *wire.Delta) { d.Entries = append(d.Entries, d.Entries[0]) }, new(InvalidError)},
	} {
		t.Run(name, func(t *testing.T) {
			d := good()
			c.corrupt(d)
			got, err := held.Apply(d)
			if got != nil || fmt.Sprintf("%T", err) != fmt.Sprintf("%T", c.want) {
				t.Errorf("got %v, %T, want nil, %T", got, err, c.want)
			}
		})
	}
	if got, err := held.Apply(good()); err != nil || got.Digest() != next.Digest() || held.Len() != 1 {
		t.Errorf("got %v, want version 7 and an unchanged base", err)
	}
}

// Guards against deltas from versions whose later tombstones were dropped, also in a snapshot that was marshalled and restored.
func TestTombstoneHorizon(t *testing.T) {
	s := NewSnapshot().With(1, []Entry{entry(t, &wire.Service{Name: "a"})}, nil)
	for v := uint64(2); v < 2+MaxTombstones+10; v++ {
		s = s.With(v, nil, []string{fmt.Sprint("service/gone", v)})
	}
	data, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Unmarshal(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Snapshot{s, restored} {
		for since, want := range map[uint64]bool{0: false, 10: false, 11: true, s.Version(): true, s.Version() + 1: false} {
			if _, got := s.Delta(since); got != want {
				t.Errorf("delta since %d: got %v, want %v", since, got, want)
			}
		}
	}
}

// Guards against panics, partial application and an accepted delta whose entries do not match its digest.
func FuzzApply(f *testing.F) {
	held := NewSnapshot().With(5, []Entry{entry(f, &wire.Service{Name: "a"})}, nil)
	next := held.With(7, []Entry{entry(f, &wire.Service{Name: "b"})}, []string{"service/a"})
	delta, _ := next.Delta(5)
	for _, d := range []*wire.Delta{delta, next.FullDelta(), held.FullDelta(), {}} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := new(wire.Delta)
		if proto.Unmarshal(data, d) != nil {
			return
		}
		got, err := held.Apply(d)
		if err != nil {
			return
		}
		var sum Digest
		for e := range got.All() {
			sum = sum.plus(hashEntry(e))
		}
		if sum != got.Digest() || sum != DigestOf(d.GetDigest()) || got.Version() < held.Version() {
			t.Errorf("got version %d digest %v, want sum %v", got.Version(), got.Digest(), sum)
		}
	})
}

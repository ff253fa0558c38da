package config

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"godwitspindle/core/wire"
)

func entryOf(m proto.Message) Entry {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return Entry{Key: KeyOf(m), Value: value}
}

// Guards against a table from NextTable that differs from the one from NewTable, and against a change to the previous table while
// requests still use it. Some versions remove a service that routes need, so both functions must report the same faults.
func TestNextTableEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := NewSnapshot()
		previous, err := NewTable(s)
		if err != nil {
			r.Fatal(err)
		}
		services := []string{"a", "b", "c"}
		for version := uint64(1); version < 12; version++ {
			var puts []Entry
			var removes []string
			for range rapid.IntRange(0, 6).Draw(r, "changes") {
				i := rapid.IntRange(0, 9).Draw(r, "route")
				m := &wire.Route{
					Name: fmt.Sprint("r", i), Host: rapid.SampledFrom([]string{"", "x", "y"}).Draw(r, "host"), Deadline: 100,
					Path: rapid.SampledFrom([]string{"/", "/p/", "/q/"}).Draw(r, "path"), Service: rapid.SampledFrom(services).Draw(r, "service"),
				}
				if rapid.Bool().Draw(r, "remove") {
					removes = append(removes, KeyOf(m))
					continue
				}
				puts = append(puts, entryOf(m))
			}
			if i := rapid.IntRange(0, 5).Draw(r, "member"); i < 3 {
				puts = append(puts, entryOf(&wire.Node{Name: "n", Address: fmt.Sprintf("10.0.0.%d:1", version)}),
					entryOf(&wire.Endpoint{Service: services[i], Name: fmt.Sprint("e", i), Node: "n", Slots: uint32(version)}))
			}
			for _, name := range services {
				if version == 1 || rapid.IntRange(0, 9).Draw(r, "back") == 0 {
					puts = append(puts, entryOf(&wire.Service{Name: name, Slots: uint32(version)}))
				} else if rapid.IntRange(0, 19).Draw(r, "gone") == 0 {
					removes = append(removes, "service/"+name)
				}
			}
			if i := rapid.IntRange(0, 8).Draw(r, "customer"); i < 3 {
				puts = append(puts, entryOf(HashedCustomer(customer(fmt.Sprint("c", i), fmt.Sprint("key", i, version)))))
			} else if i < 6 {
				removes = append(removes, fmt.Sprint("customer/c", i-3))
			}
			next := s.With(version, puts, removes)
			rebuilt, err := NewTable(s)
			if err != nil {
				r.Fatal(err)
			}
			got, gotErr := NextTable(previous, s, next)
			want, wantErr := NewTable(next)
			if fmt.Sprint(gotErr) != fmt.Sprint(wantErr) || !reflect.DeepEqual(got, want) {
				r.Fatalf("version %d: got %+v (%v), want %+v (%v)", version, got, gotErr, want, wantErr)
			}
			if !reflect.DeepEqual(previous, rebuilt) {
				r.Fatalf("version %d: the previous table changed: got %+v, want %+v", version, previous, rebuilt)
			}
			if wantErr == nil {
				s, previous = next, got
			}
		}
	})
}

// Guards against keys that every version reads again, which takes milliseconds at the limits.
func TestNextTableSharesCustomers(t *testing.T) {
	s := NewSnapshot().With(1, []Entry{entryOf(HashedCustomer(customer("a", "k1"))), entryOf(&wire.Service{Name: "s", Slots: 1})}, nil)
	first, err := NewTable(s)
	if err != nil {
		t.Fatal(err)
	}
	next := s.With(2, []Entry{entryOf(&wire.Service{Name: "s", Slots: 2})}, nil)
	second, err := NextTable(first, s, next)
	if err != nil {
		t.Fatal(err)
	}
	before, _ := first.CustomerByKey("k1")
	if after, ok := second.CustomerByKey("k1"); !ok || after != before {
		t.Errorf("customer after a version that changes another entry: got %p, want the same %p", after, before)
	}
}

// BenchmarkNextTable measures a version that changes one of many routes in a mesh of 200 hosts.
func BenchmarkNextTable(b *testing.B) {
	for _, routes := range []int{100, 1400, 2400} {
		var puts []Entry
		for i := range 3 {
			puts = append(puts, entryOf(&wire.Service{Name: fmt.Sprint("s", i), Slots: 12}))
		}
		for i := range 200 {
			puts = append(puts, entryOf(&wire.Node{Name: fmt.Sprint("n", i), Address: "10.0.0.1:1"}),
				entryOf(&wire.Endpoint{Service: fmt.Sprint("s", i%3), Name: fmt.Sprint("e", i), Node: fmt.Sprint("n", i), Slots: 12}))
		}
		for i := range routes {
			puts = append(puts, entryOf(&wire.Route{Name: fmt.Sprint("r", i), Service: "s1", Host: fmt.Sprint("h", i%40), Path: fmt.Sprintf("/%d/", i)}))
		}
		s := NewSnapshot().With(1, puts, nil)
		previous, err := NewTable(s)
		if err != nil {
			b.Fatal(err)
		}
		next := s.With(2, []Entry{entryOf(&wire.Route{Name: "r7", Service: "s2", Host: "h7", Path: "/7/"})}, nil)
		b.Run(fmt.Sprintf("new/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, _ = NewTable(next)
			}
		})
		b.Run(fmt.Sprintf("next/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, _ = NextTable(previous, s, next)
			}
		})
	}
}

package store

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// routeChanges returns decoded commands, each a whole content that differs from the one before in the deadlines of routes.
func routeChanges(t testing.TB, changes, routes int) []*wire.Command {
	t.Helper()
	list := make([]*wire.Command, 0, changes)
	for i := range changes {
		set := &wire.RuleSet{Set: "main"}
		for n := range routes {
			r := rules("main", "archive", 100).GetRoutes()[0]
			r.Name = fmt.Sprint("route-", n)
			r.Host = fmt.Sprint("h", n, ".example")
			if n == i%routes {
				r.Deadline = int64(1000 + i)
			}
			set.Routes = append(set.Routes, r)
		}
		c := &wire.Change{
			Id: fmt.Sprint("change-", i), Number: uint64(i + 1), Builds: uint64(i),
			Body: &wire.Change_Content{Content: &wire.Content{
				Register: register("archive"), Sets: []*wire.RuleSet{set}, Bounds: &wire.Bounds{Name: config.CallerBounds, Body: 1000},
			}},
		}
		data, err := proto.Marshal(changeCommand(c))
		if err != nil {
			t.Fatal(err)
		}
		w := &wire.Command{}
		if err := proto.Unmarshal(data, w); err != nil {
			t.Fatal(err)
		}
		list = append(list, w)
	}
	return list
}

// BenchmarkReplay measures how a restarted replica applies one change of a content with 340 routes.
func BenchmarkReplay(b *testing.B) {
	list := routeChanges(b, b.N, 340)
	s := New()
	b.ReportAllocs()
	b.ResetTimer()
	for i, c := range list {
		if s.Apply(uint64(i+1), c).GetAccepted() == nil {
			b.Fatal("change refused, want it accepted")
		}
	}
}

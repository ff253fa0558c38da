package store

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"godwitspindle/core/wire"
)

// numberedRoutes returns a numbered change with the given routes; the deadline of a route encodes its revision.
func numberedRoutes(number, builds uint64, names []string, revisions map[string]int64) *wire.Change {
	c := numberedChange(number, builds, "archive")
	routes := make([]*wire.Route, 0, len(names))
	for _, n := range names {
		routes = append(routes, &wire.Route{Name: n, Service: "archive", Path: "/" + n + "/", Deadline: 100 + revisions[n], Set: "main"})
	}
	c.GetContent().Sets[0].Routes = routes
	return c
}

// Guards against an edit that produces a content other than the operator sent, or in another order, and against a resend that
// gets another answer, also when a replica restarts from a snapshot between two changes.
func TestEditsLeadToTheWholeContent(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fromWhole, fromEdits := New(), New()
		revisions := map[string]int64{}
		number := uint64(0)
		for index := uint64(1); index < 8; index++ {
			count := rapid.IntRange(1, 12).Draw(r, "routes")
			var names []string
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(r, "order")[:count] {
				names = append(names, fmt.Sprint("r", i))
			}
			revisions[names[0]]++
			c := numberedRoutes(number+1, number, names, revisions)
			number++
			edit := fromEdits.Base().EncodeEdit(c)
			for _, sent := range []*wire.Change{edit, c, edit} { // resent in both forms
				got, want := describe(fromEdits.Apply(index, changeCommand(sent))), describe(fromWhole.Apply(index, changeCommand(c)))
				if sent == edit && got != want {
					r.Fatalf("change %d: got %s, want %s", number, got, want)
				}
			}
			a, err := fromEdits.Content(index)
			if err != nil {
				r.Fatal(err)
			}
			if b, _ := fromWhole.Content(index); !proto.Equal(a, b) {
				r.Fatalf("content of change %d: got %v, want %v", number, a, b)
			}
			if got, want := fromEdits.Snapshot().Digest(), fromWhole.Snapshot().Digest(); got != want {
				r.Fatalf("digest of change %d: got %v, want %v", number, got, want)
			}
			if rapid.Bool().Draw(r, "restart") {
				fromEdits = restoredCopy(r, fromEdits)
			}
		}
	})
}

// Guards against a log that carries whole contents for small changes, and against an edit whose base the replica does not have:
// such an edit must change nothing, and the whole content must still be accepted under the same id.
func TestEditOfAnotherContent(t *testing.T) {
	var names []string
	for i := range 400 {
		names = append(names, fmt.Sprintf("route-%03d", i))
	}
	s := New()
	s.Apply(1, changeCommand(numberedRoutes(1, 0, names, nil)))
	next := numberedRoutes(2, 1, names, map[string]int64{"route-200": 1})
	edit := s.Base().EncodeEdit(next)
	if got, want := proto.Size(edit), proto.Size(next)/50; got > want {
		t.Errorf("size of an edit of one route: got %d bytes, want %d at most", got, want)
	}
	other := New()
	other.Apply(1, changeCommand(numberedRoutes(1, 0, names, map[string]int64{"route-000": 9})))
	tests := []struct {
		name   string
		change *wire.Change
		want   string
	}{
		{"edit of another content", edit, "mismatch edit"},
		{"whole content after it", next, "accepted 3 content"},
		{"edit of an older content", s.Base().EncodeEdit(numberedRoutes(9, 1, names[:9], nil)), "conflict 3 "},
	}
	for i, c := range tests {
		if got := describe(other.Apply(uint64(i+2), changeCommand(c.change))); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
	damaged := proto.CloneOf(edit)
	for _, p := range damaged.GetEdit().GetSpans() {
		p.Set, p.From, p.Count = 7, 4_000_000_000, 4_000_000_000
	}
	if got := describe(s.Apply(2, changeCommand(damaged))); got != "mismatch edit" {
		t.Errorf("damaged edit: got %s, want a mismatch", got)
	}
}

package config

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Guards against services of a split that do not get the share of their weight, over 300 requests and over any 20.
func TestServiceOf(t *testing.T) {
	tests := []struct {
		name    string
		weights []int
	}{
		{"even", []int{50, 50}},
		{"rare", []int{99, 1}},
		{"three", []int{90, 9, 1}},
		{"one part of 0", []int{0, 7}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := &Route{}
			total := 0
			for i, w := range c.weights {
				r.Splits = append(r.Splits, Split{Service: string(rune('a' + i)), Weight: w})
				total += w
			}
			for _, first := range []uint64{0, 12345, math.MaxUint64 - 100} {
				const requests = 300
				counts := map[string]int{}
				for i := range uint64(requests) {
					counts[r.ServiceOf(first+i)]++
				}
				if got := maxDeviation(r, first, total); got > 2.5 {
					t.Errorf("from %d on: got %.1f requests off the weights within 20, want at most 2.5", first, got)
				}
				for _, s := range r.Splits {
					want := float64(s.Weight) * requests / float64(total)
					if got := float64(counts[s.Service]); math.Abs(got-want) > 4 {
						t.Errorf("requests to %s from %d on: got %v, want %v", s.Service, first, got, want)
					}
				}
			}
		})
	}
}

// maxDeviation returns the largest deviation from the weights, in requests, within any 20 consecutive requests.
func maxDeviation(r *Route, first uint64, total int) float64 {
	const window = 20
	worst := 0.0
	for from := range uint64(100) {
		counts := map[string]int{}
		for i := range uint64(window) {
			counts[r.ServiceOf(first+from+i)]++
		}
		for _, s := range r.Splits {
			worst = max(worst, math.Abs(float64(counts[s.Service])-float64(s.Weight)*window/float64(total)))
		}
	}
	return worst
}

// Guards against a prefix with a trailing slash that matches the path without it, and a shorter prefix that wins.
func TestPrefixWithTrailingSlash(t *testing.T) {
	s := NewSnapshot()
	for i, m := range []*wire.Route{
		{Name: "short", Service: "a", Host: "h.example", Path: "/x/", Deadline: 100},
		{Name: "long", Service: "a", Host: "h.example", Path: "/x/y/", Deadline: 100},
		{Name: "plain", Service: "a", Host: "h.example", Path: "/z", Deadline: 100},
	} {
		s = s.With(uint64(i+1), []Entry{{Key: KeyOf(m), Value: marshal(t, m)}}, nil)
	}
	service := &wire.Service{Name: "a", Slots: 1, Connections: 1}
	s = s.With(9, []Entry{{Key: KeyOf(service), Value: marshal(t, service)}}, nil)
	table, err := NewTable(s)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ path, want string }{
		{"/x/1", "short"},
		{"/x/", "short"},
		{"/x", ""},
		{"/x/y", "short"},
		{"/x/y/", "long"},
		{"/x/y/z/q", "long"},
		{"/x/yy/1", "short"},
		{"/z", "plain"},
		{"/z/", "plain"},
		{"/z/1", "plain"},
		{"/zz", ""},
		{"/", ""},
		{"*", ""},
	}
	for _, c := range tests {
		got := ""
		if r, ok := table.Match("h.example", c.path, "GET"); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s: got %q, want %q", c.path, got, c.want)
		}
	}
}

func marshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

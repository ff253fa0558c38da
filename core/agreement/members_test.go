package agreement

import (
	"errors"
	"reflect"
	"testing"
)

// Guards against a member set that another replica, or this one after a restart, reads differently, above all one that loses the
// outgoing voters of a replacement.
func TestMembersEncoding(t *testing.T) {
	settled := Members{Voters: []string{"a/1", "b/1", "c/1"}, Learners: []string{"d/1"}}
	tests := map[string]Members{
		"settled":     settled,
		"no learner":  settled.Without("d/1"),
		"replacement": settled.Replace("b/1", "d/1"),
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data := EncodeMembers(want)
			got, err := DecodeMembers(data)
			if err != nil || !reflect.DeepEqual(withoutNil(got), withoutNil(want)) {
				t.Errorf("got %+v (%v), want %+v", got, err, want)
			}
			for n := range data {
				var malformed *DecodeError
				if cut, err := DecodeMembers(data[:n]); !errors.As(err, &malformed) && cut.Joint() == want.Joint() {
					t.Errorf("cut to %d of %d bytes: got %+v (%v), want *DecodeError", n, len(data), cut, err)
				}
			}
		})
	}
}

// Guards against a replica that cannot read the member sets of versions before the outgoing voters: two lists, each a count and
// length-prefixed names.
func TestMembersOfTwoLists(t *testing.T) {
	got, err := DecodeMembers([]byte("\x02\x03a/1\x03b/1\x01\x03c/1"))
	want := Members{Voters: []string{"a/1", "b/1"}, Learners: []string{"c/1"}}
	if err != nil || !reflect.DeepEqual(withoutNil(got), withoutNil(want)) {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
}

// withoutNil makes nil and empty lists equal.
func withoutNil(m Members) Members {
	for _, l := range []*[]string{&m.Voters, &m.Learners, &m.Outgoing} {
		if len(*l) == 0 {
			*l = nil
		}
	}
	return m
}

package peer

import (
	"reflect"
	"testing"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
)

// Guards against a field of an agreement message that is lost between two replicas, such as the outgoing voters of a snapshot.
func TestEncodeKeepsEveryField(t *testing.T) {
	want := agreement.Message{
		Kind: agreement.Heartbeat, From: "a/1", To: "b/1", Term: 2, Index: 3, LogTerm: 4, Commit: 5, Context: 6, Reject: true,
		Entries: []agreement.Entry{{Index: 7, Term: 8, Kind: agreement.Command, Data: []byte("x")}},
		Snapshot: &agreement.Snapshot{
			Index: 9, Term: 10, Data: []byte("y"),
			Members: agreement.Members{Voters: []string{"a/1"}, Learners: []string{"b/1"}, Outgoing: []string{"c/1"}},
		},
		Silences: []agreement.Silence{{ID: "c/1", Age: 1500 * time.Millisecond}},
	}
	if got := Decode(Encode(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for v, i := reflect.ValueOf(want), 0; i < v.NumField(); i++ {
		if v.Field(i).IsZero() {
			t.Errorf("field %s: got its zero value in this test, want another one", v.Type().Field(i).Name)
		}
	}
}

// Guards against an age that overflows and makes a silent member look alive.
func TestDecodeBoundsSilence(t *testing.T) {
	w := &wire.LogMessage{Silences: []*wire.Silence{{Id: "c/1", Age: 1 << 63}}}
	if got, want := Decode(w).Silences[0].Age, 24*time.Hour; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

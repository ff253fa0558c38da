package host

import "testing"

// Guards against a replica that takes a lost majority for an election, or does not name a missing voter and its silence.
func TestHearing(t *testing.T) {
	tests := []struct {
		name     string
		members  []string
		majority bool
		want     string
	}{
		{"all heard", []string{"a/1", "b/1", "c/1", "f/1+!"}, true, "a hears 3 of 3 voters"},
		{"one lost", []string{"a/1", "b/1!", "c/1"}, true, "a hears 2 of 3 voters; missing: b/1 not heard for 12s"},
		{"two lost", []string{"a/1", "b/1!", "c/1", "d/1?", "e/1"}, true, "a hears 3 of 5 voters; missing: b/1 not heard for 12s, d/1 not heard for 40s"},
		{"no majority", []string{"a/1", "b/1!", "c/1?"}, false, "a hears 1 of 3 voters; missing: b/1 not heard for 12s, c/1 not heard for 40s"},
		{"no majority of the outgoing voters", []string{"a/1", "b/1!", "c/1!", "f/1+", "c/1>f/1"}, false, "a hears 2 of 4 voters; missing: b/1 not heard for 12s, c/1 not heard for 12s"},
		{"no member set", nil, true, "a holds no member set"},
	}
	for _, tt := range tests {
		got := hearingOf(votersStart, leaderStatus(tt.members...))
		if got.String() != tt.want || got.Majority != tt.majority {
			t.Errorf("%s: got %q, majority %v, want %q, %v", tt.name, got, got.Majority, tt.want, tt.majority)
		}
	}
}

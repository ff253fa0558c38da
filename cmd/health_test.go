package cmd

import (
	"testing"
	"time"

	"godwitspindle/io/operator"
)

const silence = operator.Duration(12 * time.Second)

// Guards against a loss of voters, a waiting learner or a replacement that the line of status does not show.
func TestHealthLine(t *testing.T) {
	lost := []operator.Silence{{Identity: "b/1", Heard: silence}}
	tests := []struct {
		name   string
		health operator.Health
		want   string
	}{
		{"complete", operator.Health{Voters: 5, Answering: 5, Losses: 2, Promised: 2}, "replicas: 5 of 5 voters answer; 2 may be lost"},
		{"single replica", operator.Health{Voters: 1, Answering: 1}, "replicas: 1 of 1 voters answer; none may be lost"},
		{
			"one lost",
			operator.Health{Voters: 5, Answering: 4, Losses: 1, Promised: 2, Silent: lost},
			"replicas: 4 of 5 voters answer; 1 more may be lost, 2 are promised; b/1 silent for 12s",
		},
		{
			"two lost",
			operator.Health{Voters: 5, Answering: 3, Promised: 2, Silent: append(lost, operator.Silence{Identity: "c/1", Heard: 70 * operator.Duration(time.Second)})},
			"replicas: 3 of 5 voters answer; none more may be lost, 2 are promised; b/1 silent for 12s; c/1 silent for 1m10s",
		},
		{
			"never heard",
			operator.Health{Voters: 3, Answering: 2, Promised: 1, Unheard: []operator.Silence{{Identity: "c/1", Heard: silence}, {Identity: "d/1", Heard: -1}}},
			"replicas: 2 of 3 voters answer; none more may be lost, 1 is promised; c/1 never heard by the present leader, silent for 12s; d/1 never heard by the present leader",
		},
		{
			"learner behind",
			operator.Health{Voters: 3, Answering: 3, Losses: 1, Promised: 1, Waits: []operator.LearnerWait{{Learner: "f/1", Cause: "it lacks entries", Behind: 7}}},
			"replicas: 3 of 3 voters answer; 1 may be lost; learner f/1 waits: it lacks entries (7 behind)",
		},
		{
			"two learners",
			operator.Health{Voters: 3, Answering: 3, Losses: 1, Promised: 1, Waits: []operator.LearnerWait{{Learner: "f/1", Cause: "x"}, {Learner: "g/1", Cause: "y"}}},
			"replicas: 3 of 3 voters answer; 1 may be lost; learner f/1 waits: x; learner g/1 waits: y",
		},
		{
			"replacement",
			operator.Health{Voters: 3, Answering: 2, Promised: 1, Silent: lost, Leaving: []string{"b/1"}, Joining: []string{"f/1"}},
			"replicas: 2 of 3 voters answer; none more may be lost, 1 is promised; b/1 silent for 12s; replacement in progress: b/1 by f/1",
		},
	}
	for _, tt := range tests {
		if got := formatHealth(&tt.health); got != tt.want {
			t.Errorf("%s: got\n%s, want\n%s", tt.name, got, tt.want)
		}
	}
}

// Guards against a status without a leader that does not say whether a majority is heard and who is missing.
func TestHearingLine(t *testing.T) {
	tests := []struct {
		name    string
		hearing operator.Hearing
		want    string
	}{
		{"election", operator.Hearing{Node: "a", Voters: 3, Heard: 3, Majority: true}, "replicas: a hears 3 of 3 voters"},
		{
			"no majority",
			operator.Hearing{Node: "a", Voters: 3, Heard: 1, Missing: []operator.Silence{{Identity: "b/1", Heard: silence}, {Identity: "c/1", Heard: silence}}},
			"replicas: no majority: a hears 1 of 3 voters; missing: b/1 not heard for 12s, c/1 not heard for 12s",
		},
		{"no member set", operator.Hearing{Node: "a", Majority: true}, "replicas: a holds no member set"},
	}
	for _, tt := range tests {
		if got := formatHearing(&tt.hearing); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

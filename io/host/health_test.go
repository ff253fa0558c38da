package host

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"godwitspindle/core/agreement"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

var votersStart = time.Unix(1_700_000_000, 0)

// leaderStatus returns the status of the leader a/1 at votersStart. In each name, + marks a learner, ! a member silent for 12 s, ?
// one that a/1 never heard and that is silent for 40 s, and < a learner that is 7 entries behind; x>y is a replacement of x by y in
// progress.
func leaderStatus(names ...string) agreement.Status {
	st := agreement.Status{ID: "a/1", Role: agreement.Leader, Commit: 100, Progress: map[string]agreement.Progress{}, Heard: map[string]time.Time{}}
	for _, n := range names {
		if out, in, ok := strings.Cut(n, ">"); ok {
			st.Members = st.Members.Replace(out, in)
			continue
		}
		id := strings.TrimRight(n, "+!?<")
		p := agreement.Progress{Match: 100, LastHeard: votersStart, Learner: strings.ContainsAny(n, "+<"), CaughtUp: true}
		heard := votersStart
		switch {
		case strings.Contains(n, "!"):
			heard = votersStart.Add(-12 * time.Second)
			p.LastHeard = heard
		case strings.Contains(n, "?"):
			heard = votersStart.Add(-40 * time.Second)
			p.LastHeard = time.Time{}
		case strings.Contains(n, "<"):
			p.Match, p.CaughtUp = 93, false
		}
		if p.Learner {
			st.Members.Learners = append(st.Members.Learners, id)
		} else {
			st.Members.Voters = append(st.Members.Voters, id)
		}
		if id != st.ID {
			st.Progress[id], st.Heard[id] = p, heard
		}
	}
	return st
}

// newTestControl returns a control of a group that is found through seeds and bears the given losses, or for 0 losses of three
// replicas in the settings. Its lines go to lines.
func newTestControl(losses int, lines *[]string) *control {
	s := &process.Settings{Name: "a", Seeds: process.Seeds{Losses: losses}}
	if losses == 0 {
		for i := range 3 {
			address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7001+i))
			s.Replicas = append(s.Replicas, process.Replica{Name: string(rune('a' + i)), Address: address})
		}
	}
	log := funcr.New(func(_, line string) { *lines = append(*lines, line) }, funcr.Options{})
	holder, _ := peer.NewHolder() // fails only for an invalid floor
	return &control{
		controlParts: controlParts{directory: newDirectory(s), holder: holder, metrics: process.NewMetrics(), log: log},
		name:         "a",
		maxLosses:    losses,
	}
}

// Guards against a loss, a silent or never heard voter, or a learner's cause that the leader does not report to operators.
func TestHealthOfTheGroup(t *testing.T) {
	tests := []struct {
		name    string
		losses  int // that the seeds promise; 0 for replicas in the settings
		members []string
		want    string // answering/voters, losses/promised, silent, unheard, replacement
		waits   []string
	}{
		{"complete", 2, []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, "5/5 2/2 [] []", nil},
		{"one lost", 2, []string{"a/1", "b/1!", "c/1", "d/1", "e/1"}, "4/5 1/2 [b/1 12000] []", nil},
		{"two lost", 2, []string{"a/1", "b/1!", "c/1!", "d/1", "e/1"}, "3/5 0/2 [b/1 12000 c/1 12000] []", nil},
		{"never heard", 2, []string{"a/1", "b/1?", "c/1", "d/1", "e/1"}, "4/5 1/2 [] [b/1 40000]", nil},
		{"learner behind", 2, []string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1<"}, "5/5 2/2 [] []", []string{"f/1 7 " + string(agreement.LearnerBehind)}},
		{
			"two learners", 2,
			[]string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1+", "g/1+!"},
			"5/5 2/2 [] []",
			[]string{"f/1 0 " + string(agreement.NoneSilent), "g/1 0 " + string(agreement.LearnerSilent)},
		},
		{
			"silent voter is replaced next", 2,
			[]string{"a/1", "b/1?", "c/1", "d/1", "e/1", "f/1+"},
			"4/5 1/2 [] [b/1 40000]",
			[]string{"f/1 0 it has caught up and replaces b/1 next: silent voter"},
		},
		{
			"refused replacement", 2,
			[]string{"a/1", "b/1", "c/1?", "d/1", "e/1", "f/1+"},
			"4/5 1/2 [] [c/1 40000]",
			[]string{"f/1 0 it has caught up and replaces c/1 next: silent voter; the last attempt failed: agreement: membership change refused: why"},
		},
		{
			"replacement in progress", 2,
			[]string{"a/1", "b/1!", "c/1", "d/1", "e/1", "f/1+", "g/1+", "b/1>f/1"},
			"5/5 1/2 [] [] [b/1] by [f/1]",
			[]string{"g/1 0 " + jointInProgress},
		},
		{"voters are missing", 2, []string{"a/1", "b/1", "c/1", "f/1+"}, "3/3 1/2 [] []", []string{"f/1 0 it has caught up and becomes a voter next"}},
		{"promoted by an operator", 0, []string{"a/1", "b/1!", "f/1+"}, "1/2 0/1 [b/1 12000] []", []string{"f/1 0 it has caught up; next: replica promote f"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var lines []string
			c, st := newTestControl(tt.losses, &lines), leaderStatus(tt.members...)
			target := agreement.Target{Announced: slices.Concat(st.Members.Voters, st.Members.Learners), Voters: c.wantedVoters(), CatchUp: 6 * time.Second}
			refused := agreement.PlannedChange{Promote: "f/1", Remove: "c/1", Reason: "silent voter"}
			c.attempted.Store(&changeAttempt{step: refused, err: &agreement.MembersError{Reason: "why"}})
			h := c.health(votersStart, st, target)
			var silent, unheard, waits []string
			for _, s := range h.GetSilent() {
				silent = append(silent, fmt.Sprint(s.GetIdentity(), " ", s.GetHeard()))
			}
			for _, s := range h.GetUnheard() {
				unheard = append(unheard, fmt.Sprint(s.GetIdentity(), " ", s.GetHeard()))
			}
			for _, w := range h.GetWaits() {
				waits = append(waits, fmt.Sprint(w.GetLearner(), " ", w.GetBehind(), " ", w.GetCause()))
			}
			got := fmt.Sprintf("%d/%d %d/%d %v %v", h.GetAnswering(), h.GetVoters(), h.GetLosses(), h.GetPromised(), silent, unheard)
			if len(h.GetLeaving())+len(h.GetJoining()) > 0 {
				got += fmt.Sprint(" ", h.GetLeaving(), " by ", h.GetJoining())
			}
			if got != tt.want || !slices.Equal(waits, tt.waits) {
				t.Errorf("got %s, %q, want %s, %q", got, waits, tt.want, tt.waits)
			}
		})
	}
}

package host

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a change of the voters or of a learner's cause that is not logged, and against lines that repeat the same state.
func TestVotersAreLoggedOnChange(t *testing.T) {
	var lines []string
	c := newTestControl(2, &lines)
	five := []string{"a/1", "b/1", "c/1", "d/1", "e/1"}
	steps := []struct {
		name    string
		members []string
		want    []string // parts of the new lines, in order
	}{
		{"first", five, []string{`"msg"="voters"`}},
		{"same", five, nil},
		{"one silent", []string{"a/1", "b/1!", "c/1", "d/1", "e/1"}, []string{`"silent"="b/1" "unheard"="" "joining"="" "leaving"="" "losses"=1 "promised"=2`}},
		{"two learners", []string{"a/1", "b/1!", "c/1", "d/1", "e/1", "f/1+", "g/1<"}, []string{`"learner"="f/1"`, `"learner"="g/1"`}},
		{"same learners", []string{"a/1", "b/1!", "c/1", "d/1", "e/1", "f/1+", "g/1<"}, nil},
		{"replaced between two checks", []string{"a/1", "c/1!", "d/1", "e/1", "f/1"}, []string{`"silent"="c/1"`}},
		{"voter exchanged, same silence", []string{"a/1", "c/1!", "d/1", "e/1", "g/1"}, nil}, // the fourth line within the pause
	}
	for i, s := range steps {
		lines = nil
		c.observeVoters(votersStart.Add(time.Duration(i)*time.Millisecond), leaderStatus(s.members...))
		ok := len(lines) == len(s.want)
		for j := range min(len(lines), len(s.want)) {
			ok = ok && strings.Contains(lines[j], s.want[j])
		}
		if !ok {
			t.Errorf("%s: got %q, want %q", s.name, lines, s.want)
		}
	}
	w := httptest.NewRecorder()
	c.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{"agreement_losses 1", "agreement_promised_losses 2", `agreement_voters{state="silent"} 1`} {
		if !strings.Contains(w.Body.String(), "\ngodwitspindle_"+want+"\n") {
			t.Errorf("metrics: got none that is %s, want one", want)
		}
	}
}

// Guards against a line each second for a learner that is behind at every other check, as in a storm of changes, and against a last
// state that is never logged.
func TestRepeatedStatesAreBounded(t *testing.T) {
	var l loggedState
	count := 0
	for i := range 60 {
		if l.due(votersStart.Add(time.Duration(i)*time.Second), fmt.Sprint(i%2)) {
			count++
		}
	}
	if count < 3 || count > 20 {
		t.Errorf("got %d lines in a minute, want 3 to 20", count)
	}
	if !l.due(votersStart.Add(2*time.Minute), "last") || l.text != "last" {
		t.Errorf("got %q as the last state logged, want last", l.text)
	}
}

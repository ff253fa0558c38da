package host

import (
	"fmt"
	"strings"
	"time"

	"godwitspindle/core/agreement"
)

// Values of the label state of the metric agreement_voters.
const (
	votersAnswering = "answering"
	votersSilent    = "silent"
	votersUnheard   = "unheard"
)

// reportedSilence is the silence from which a member is named when a leadership ends; it covers a few heartbeats.
const reportedSilence = 300 * time.Millisecond

const (
	// promptLines is how many changes of one state are logged at once. Beyond that, linePause passes between two lines: the state of
	// a learner or voter at the edge of a limit may change at each check.
	promptLines = 3
	linePause   = 10 * time.Second
)

// loggedState is the last state that was logged, so that only changes are logged.
type loggedState struct {
	text  string
	at    time.Time
	lines int // lines since the state last stayed the same for linePause
}

// due reports whether a state is to be logged now, and records it if so.
func (l *loggedState) due(now time.Time, text string) bool {
	if text == l.text {
		return false
	}
	if now.Sub(l.at) >= linePause {
		l.lines = 0
	}
	if l.lines >= promptLines {
		return false
	}
	l.text, l.at, l.lines = text, now, l.lines+1
	return true
}

// votersLog remembers what was logged last about the voters and about each learner that waits.
type votersLog struct {
	health loggedState
	waits  map[string]*loggedState // by identity of the learner
}

// observeVoters sets the metrics of the voters and logs changes of their state and of the causes for which learners wait. Only the
// leader calls it.
func (c *control) observeVoters(now time.Time, st agreement.Status) {
	h := st.Health(now, silentAfter)
	promised := c.promisedLosses()
	c.metrics.Voters.WithLabelValues(votersAnswering).Set(float64(h.Answering))
	c.metrics.Voters.WithLabelValues(votersSilent).Set(float64(len(h.Silent)))
	c.metrics.Voters.WithLabelValues(votersUnheard).Set(float64(len(h.Unheard)))
	c.metrics.Learners.Set(float64(len(st.Members.Learners)))
	c.metrics.Losses.Set(float64(h.Losses))
	c.metrics.PromisedLosses.Set(float64(promised))
	silent, unheard := strings.Join(h.Silent, ","), strings.Join(h.Unheard, ",")
	joining, leaving := replacement(st.Members)
	if c.voters.health.due(now, fmt.Sprintf("%q %q %q %q", st.Members.Voters, leaving, silent, unheard)) {
		c.log.Info("voters", "voters", h.Voters, "answering", h.Answering, "silent", silent, "unheard", unheard,
			"joining", strings.Join(joining, ","), "leaving", strings.Join(leaving, ","), "losses", h.Losses, "promised", promised)
	}
	waits := map[string]*loggedState{}
	for _, w := range c.learnerWaits(now, st, c.target()) {
		logged := c.voters.waits[w.Learner]
		if logged == nil {
			logged = &loggedState{}
		}
		waits[w.Learner] = logged
		if logged.due(now, string(w.Cause)) {
			c.log.Info("learner waits", "learner", w.Learner, "cause", string(w.Cause), "behind", w.Behind, "silent", silent, "unheard", unheard)
		}
	}
	c.voters.waits = waits
}

// forgetVoters clears the metrics of the voters when the replica no longer leads.
func (c *control) forgetVoters() {
	c.voters = votersLog{}
	c.metrics.Voters.Reset()
	c.metrics.Learners.Set(0)
	c.metrics.Losses.Set(-1)
	c.metrics.PromisedLosses.Set(-1)
}

// describeSilence names the members that have been silent for longer than reportedSilence, with the time, so that a log line tells why
// a majority was missing.
func describeSilence(now time.Time, st agreement.Status) string {
	var list []string
	for _, id := range st.Members.IDs() {
		if silence := now.Sub(st.Heard[id]); id != st.ID && silence > reportedSilence {
			list = append(list, fmt.Sprintf("%s %s", id, silence.Round(time.Millisecond)))
		}
	}
	return strings.Join(list, ", ")
}

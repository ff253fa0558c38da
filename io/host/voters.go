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

// votersLog remembers what was logged last about the voters, so that only changes are logged.
type votersLog struct{ health, wait string }

// observeVoters sets the metrics of the voters and logs a change of their state and of the cause for which a learner waits. Only
// the leader calls it.
func (c *control) observeVoters(now time.Time, st agreement.Status) {
	h := st.Health(now, silentAfter)
	c.metrics.Voters.WithLabelValues(votersAnswering).Set(float64(h.Answering))
	c.metrics.Voters.WithLabelValues(votersSilent).Set(float64(len(h.Silent)))
	c.metrics.Voters.WithLabelValues(votersUnheard).Set(float64(len(h.Unheard)))
	c.metrics.Learners.Set(float64(len(st.Members.Learners)))
	c.metrics.Losses.Set(float64(h.Losses))
	silent, unheard := strings.Join(h.Silent, ","), strings.Join(h.Unheard, ",")
	if state := fmt.Sprint(h.Voters, silent, "/", unheard); state != c.voters.health {
		c.voters.health = state
		c.log.Info("voters", "voters", h.Voters, "answering", h.Answering, "silent", silent, "unheard", unheard, "losses", h.Losses)
	}
	w, waits := st.Waits(now, c.target())
	wait := w.Learner + string(w.Cause)
	if waits && wait != c.voters.wait {
		c.log.Info("learner waits", "learner", w.Learner, "cause", string(w.Cause), "behind", w.Behind, "silent", silent, "unheard", unheard)
	}
	c.voters.wait = wait
}

// forgetVoters clears the metrics of the voters when the replica no longer leads.
func (c *control) forgetVoters() {
	c.voters = votersLog{}
	c.metrics.Voters.Reset()
	c.metrics.Learners.Set(0)
	c.metrics.Losses.Set(-1)
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

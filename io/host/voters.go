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

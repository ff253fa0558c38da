package cmd

import (
	"fmt"
	"strconv"
	"strings"

	"godwitspindle/io/operator"
)

// formatHealth returns one line that says how many voters answer, how many may still be lost, and what blocks the replacement
// of lost ones.
func formatHealth(h *operator.Health) string {
	parts := []string{fmt.Sprintf("replicas: %d of %d voters answer", h.Answering, h.Voters), formatLosses(h)}
	for _, s := range h.Silent {
		parts = append(parts, s.Identity+" silent for "+formatDuration(s.Heard))
	}
	for _, s := range h.Unheard {
		text := s.Identity + " never heard by the present leader"
		if s.Heard >= 0 {
			text += ", silent for " + formatDuration(s.Heard)
		}
		parts = append(parts, text)
	}
	if len(h.Joining)+len(h.Leaving) > 0 {
		parts = append(parts, fmt.Sprintf("replacement in progress: %s by %s", strings.Join(h.Leaving, ", "), strings.Join(h.Joining, ", ")))
	}
	for _, w := range h.Waits {
		text := fmt.Sprintf("learner %s waits: %s", w.Learner, w.Cause)
		if w.Behind > 0 {
			text += fmt.Sprintf(" (%d behind)", w.Behind)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}

// formatHearing says, without a leader, whether a majority is heard and which voters are missing.
func formatHearing(h *operator.Hearing) string {
	if h.Majority {
		return "replicas: " + h.String()
	}
	return "replicas: no majority: " + h.String()
}

// formatLosses says how many answering voters may be lost and, if those are fewer than promised, how many are promised.
func formatLosses(h *operator.Health) string {
	if h.Losses >= h.Promised {
		return countOrNone(h.Losses) + " may be lost"
	}
	verb := "are"
	if h.Promised == 1 {
		verb = "is"
	}
	return fmt.Sprintf("%s more may be lost, %d %s promised", countOrNone(h.Losses), h.Promised, verb)
}

func countOrNone(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}

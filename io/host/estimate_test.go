package host

import (
	"testing"
	"time"

	"godwitspindle/core/admission"
)

// Guards against a log line for each report of an endpoint whose pace changes many times a second, and against none for a change.
func TestEstimateLog(t *testing.T) {
	var l estimateLog
	begin := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name     string
		at       time.Duration
		limit    int
		slowdown float64
		want     bool
	}{
		{"first", 0, 12, 1, true},
		{"changed at once", 100 * time.Millisecond, 12, 2.5, false},
		{"changed later", 3 * time.Second, 12, 2.5, true},
		{"little change", 6 * time.Second, 11, 2, false},
		{"lower limit", 9 * time.Second, 6, 2, true},
	} {
		if got := l.due(begin.Add(c.at), admission.Estimate{Limit: c.limit, Slowdown: c.slowdown}); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

package host

import (
	"testing"
	"time"

	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// Guards against a node that applies its own retry budget although the settings define one that all nodes share. Without calls,
// the shared budget grants the node its part of half the slack in 10 s; the node's own budget grants 3 in one second.
func TestSharedBudgetOfSettings(t *testing.T) {
	tests := []struct {
		name    string
		retries process.Retries
		want    int
	}{
		{"shared", process.Retries{Percent: 10, Slack: 62}, 31},
		{"the node's own", process.Retries{}, 3},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			holder, err := peer.NewHolder()
			if err != nil {
				t.Fatal(err)
			}
			h := &Host{settings: &process.Settings{Retries: c.retries}, holder: holder}
			b := h.newBudgets().Of("archive")
			got := 0
			for range 100 {
				if b.Take(time.Unix(1_700_000_000, 0)) {
					got++
				}
			}
			if got != c.want {
				t.Errorf("retries granted in one second: got %d, want %d", got, c.want)
			}
		})
	}
}

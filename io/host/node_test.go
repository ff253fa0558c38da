package host

import (
	"testing"
	"time"
)

// Load pattern: a burst of versions while calls wait. Guards against a memory limit so close to the live heap that it is
// collected continuously although the host has free memory, and against a node of the design size that uses more than 32 MB.
func TestCollection(t *testing.T) {
	tests := []struct {
		name    string
		memory  int64
		percent int
		limit   int64
	}{
		{"not known", 0, 400, 18 << 20},
		{"design size", 32 << 20, 400, 18 << 20},
		{"small host", 184 << 20, 200, 46 << 20},
		{"larger host", 284 << 20, 200, 71 << 20},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			percent, limit := collection(c.memory)
			if percent != c.percent || limit != c.limit {
				t.Errorf("got %d%% and %d bytes, want %d%% and %d", percent, limit, c.percent, c.limit)
			}
		})
	}
}

// Guards against a transfer time for whole snapshots that ignores the link of the host.
func TestTransferTime(t *testing.T) {
	for _, c := range []struct {
		link float64 // bytes per second
		want time.Duration
	}{
		{0, 0}, {1 << 10, maxTransferTime}, {128 << 10, 2 * time.Second}, {256 << 20, time.Second / 1024},
	} {
		if got := transferTime(c.link); got != c.want {
			t.Errorf("link of %v bytes per second: got %v, want %v", c.link, got, c.want)
		}
	}
}

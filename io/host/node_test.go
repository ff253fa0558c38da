package host

import "testing"

// Load pattern: a burst of versions while calls wait. Guards against a heap that is held so close to its live size that it is
// collected without end, on a host with memory to spare, and against a node of the design size that uses more than 32 MB.
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

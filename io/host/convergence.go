package host

import (
	"sync"
	"time"
)

// convergence measures how long versions take from acceptance until they are in force on all nodes.
type convergence struct {
	mu       sync.Mutex
	pending  []pendingVersion         // versions not yet in force on all nodes, oldest first
	finished map[uint64]time.Duration // convergence time by version
	order    []uint64                 // keys of finished, oldest first
}

type pendingVersion struct {
	version    uint64
	acceptedAt time.Time
}

// begin starts the measurement of a version. Above maxPending, the oldest pending version is dropped.
func (c *convergence) begin(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, pendingVersion{version: version, acceptedAt: at})
	if len(c.pending) > maxPending {
		c.pending = c.pending[1:]
	}
}

// reset drops the pending versions. A new leader calls it, because an earlier leader accepted them.
func (c *convergence) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = nil
}

// oldest returns the oldest version that is not yet in force on all nodes, and when it was accepted.
func (c *convergence) oldest() (version uint64, at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return 0, time.Time{}, false
	}
	return c.pending[0].version, c.pending[0].acceptedAt, true
}

// finish ends the measurement of the oldest pending version and returns its convergence time, or 0 for any other version.
func (c *convergence) finish(version uint64, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.pending[0].version != version {
		return 0
	}
	spread := now.Sub(c.pending[0].acceptedAt)
	c.pending = c.pending[1:]
	if c.finished == nil {
		c.finished = map[uint64]time.Duration{}
	}
	c.finished[version] = spread
	c.order = append(c.order, version)
	if len(c.order) > maxPending {
		delete(c.finished, c.order[0])
		c.order = c.order[1:]
	}
	return spread
}

// milliseconds returns the convergence time of a version, or a negative value if it is unknown.
func (c *convergence) milliseconds(version uint64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	spread, ok := c.finished[version]
	if !ok {
		return -1
	}
	return spread.Milliseconds()
}

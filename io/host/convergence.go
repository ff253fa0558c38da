package host

import (
	"sync"
	"time"
)

// convergence measures how long versions take from acceptance until they are in force on all nodes.
type convergence struct {
	mu       sync.Mutex
	pending  []pendingVersion // oldest first
	finished map[uint64]time.Duration
	order    []uint64 // of finished, oldest first
}

type pendingVersion struct {
	version uint64
	at      time.Time
}

// begin starts the measurement of a version.
func (s *convergence) begin(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingVersion{version: version, at: at})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// reset drops pending versions, which an earlier leader accepted.
func (s *convergence) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = nil
}

// oldest returns the oldest version that is not yet in force on all nodes, and when it was accepted.
func (s *convergence) oldest() (version uint64, at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return 0, time.Time{}, false
	}
	return s.pending[0].version, s.pending[0].at, true
}

// finish ends the measurement of a version and returns its convergence time.
func (s *convergence) finish(version uint64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 || s.pending[0].version != version {
		return 0
	}
	spread := now.Sub(s.pending[0].at)
	s.pending = s.pending[1:]
	if s.finished == nil {
		s.finished = map[uint64]time.Duration{}
	}
	s.finished[version] = spread
	s.order = append(s.order, version)
	if len(s.order) > maxPending {
		delete(s.finished, s.order[0])
		s.order = s.order[1:]
	}
	return spread
}

// milliseconds returns the convergence time of a version, or a negative value if it is unknown.
func (s *convergence) milliseconds(version uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	spread, ok := s.finished[version]
	if !ok {
		return -1
	}
	return spread.Milliseconds()
}

package host

import (
	"sync"
	"time"
)

// spreads measures how long versions take from acceptance to being in force everywhere.
type spreads struct {
	mu      sync.Mutex
	pending []pendingVersion // oldest first
	ended   map[uint64]time.Duration
	order   []uint64
}

type pendingVersion struct {
	version uint64
	at      time.Time
}

// accepted begins the measurement of a version.
func (s *spreads) accepted(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingVersion{version: version, at: at})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// reset forgets versions that an earlier leader accepted.
func (s *spreads) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = nil
}

// oldest returns the oldest version that is not yet in force everywhere and when it was accepted.
func (s *spreads) oldest() (version uint64, at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return 0, time.Time{}, false
	}
	return s.pending[0].version, s.pending[0].at, true
}

// done ends the measurement of a version and returns its spread.
func (s *spreads) done(version uint64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 || s.pending[0].version != version {
		return 0
	}
	spread := now.Sub(s.pending[0].at)
	s.pending = s.pending[1:]
	if s.ended == nil {
		s.ended = map[uint64]time.Duration{}
	}
	s.ended[version] = spread
	s.order = append(s.order, version)
	if len(s.order) > maxPending {
		delete(s.ended, s.order[0])
		s.order = s.order[1:]
	}
	return spread
}

// of returns the spread of a version in milliseconds, negative when it is not known.
func (s *spreads) of(version uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	spread, ok := s.ended[version]
	if !ok {
		return -1
	}
	return spread.Milliseconds()
}

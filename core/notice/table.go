package notice

import (
	"sync"
	"time"
)

const (
	maxProcesses = 4096        // maximum number of processes that a Table knows
	limitMaxAge  = time.Minute // a limit that was not stated for this long is forgotten by all but the node beside the endpoint
	leaveMaxAge  = 10 * time.Minute
)

// Process identifies one process of an endpoint. Another process may have the same key or address later.
type Process struct {
	Endpoint    string // SERVICE/NAME
	Incarnation uint64
}

// Limit is a rate limit in force, with its source.
type Limit struct {
	Rate Rate
	At   time.Time // time at which the endpoint last stated the limit
	From string    // node that passed the limit on; empty if this node has read it in an answer of the endpoint
}

// Table holds the limits and leaves of endpoints that a node knows; it is safe for concurrent use.
type Table struct {
	mutex     sync.RWMutex
	processes map[Process]*state
}

type state struct {
	limit    Limit     // no limit if its rate is 0
	answered bool      // this node has read an answer of the process, so what other nodes tell is older
	leftAt   time.Time // time at which the process stated that it leaves; zero if it did not
}

// NewTable returns a Table that knows nothing yet.
func NewTable() *Table { return &Table{processes: map[Process]*state{}} }

// State records a limit that came with an answer of the process.
func (t *Table) State(p Process, l Limit, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.ensure(p, now)
	s.limit, s.answered = l, true
}

// Withdraw records that an answer of the process states no limit, and reports whether none is in force then. It has no effect if the
// request was sent before the limit was last stated, since answers may cross.
func (t *Table) Withdraw(p Process, sent, now time.Time) bool {
	t.mutex.RLock()
	s := t.processes[p]
	unlimited := s != nil && s.answered && s.limit.Rate == 0
	t.mutex.RUnlock()
	if unlimited {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s = t.ensure(p, now)
	if sent.Before(s.limit.At) {
		return s.limit.Rate == 0
	}
	s.limit, s.answered = Limit{}, true
	return true
}

// Adopt records a limit that another node tells, and reports whether it did: not if this node has read an answer of the process or knows
// a newer limit.
func (t *Table) Adopt(p Process, l Limit, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Sub(l.At) > limitMaxAge {
		return false
	}
	s := t.ensure(p, now)
	if s.answered || l.At.Before(s.limit.At) {
		return false
	}
	s.limit = l
	return true
}

// Limit returns the limit in force, if it is not older than a minute.
func (t *Table) Limit(p Process, now time.Time) (Limit, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	s := t.processes[p]
	if s == nil || s.limit.Rate == 0 || now.Sub(s.limit.At) > limitMaxAge {
		return Limit{}, false
	}
	return s.limit, true
}

// Leave records that the process states that it leaves, and reports whether this is new.
func (t *Table) Leave(p Process, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.ensure(p, now)
	if !s.leftAt.IsZero() {
		return false
	}
	s.leftAt = now
	return true
}

// Leaving reports whether the process has stated that it leaves.
func (t *Table) Leaving(p Process) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	s := t.processes[p]
	return s != nil && !s.leftAt.IsZero()
}

// ensure returns the state of a process. If the table is full it first drops the expired ones, then an arbitrary one. The caller
// holds the mutex.
func (t *Table) ensure(p Process, now time.Time) *state {
	if s := t.processes[p]; s != nil {
		return s
	}
	if len(t.processes) >= maxProcesses {
		t.prune(now)
	}
	for q := range t.processes {
		if len(t.processes) < maxProcesses {
			break
		}
		delete(t.processes, q)
	}
	s := &state{}
	t.processes[p] = s
	return s
}

func (t *Table) prune(now time.Time) {
	for p, s := range t.processes {
		if now.Sub(s.limit.At) > limitMaxAge && now.Sub(s.leftAt) > leaveMaxAge {
			delete(t.processes, p)
		}
	}
}

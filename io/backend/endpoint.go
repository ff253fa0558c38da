package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"godwitspindle/io/hop"
)

// maxBrokenCalls limits the memory used for a backend server that keeps breaking connections without crashing.
const maxBrokenCalls = 1024

// Times of the crash detection.
const (
	// probeDelay gives the other connections of a dead process time to break before the probe.
	probeDelay   = 20 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	// minClearAge is how old the last broken call must be for a renewal to clear the list: a renewal that a dying process sent may
	// be handled shortly after its calls broke.
	minClearAge = 100 * time.Millisecond
)

// endpoint is the state of an announced endpoint; the Backend's mutex guards it.
type endpoint struct {
	key          string
	announcement Announcement
	renewed      time.Time // time of the last announcement
	leaving      bool
	pool         *pool
	running      map[*runningCall]struct{}
	brokenCalls  []hop.Fingerprint // fingerprints of calls whose connections broke for a cause not yet known
	lastBroken   time.Time         // time of the last broken call
	probing      bool
	crashes      uint64 // counts crashes and replacements of the process, so that a call is blamed only for the process it ran on
}

// runningCall is a call in flight, which is sent to the backend server or waits for a connection.
type runningCall struct {
	fingerprint hop.Fingerprint
	process     uint64 // endpoint.crashes when the call began
}

// crashOnReplacement returns the crash of the previous process if another incarnation announces itself, calls broke on that
// process, and the endpoint was not leaving; else nil.
// Calls that still run reached the new process before its announcement, so those calls are not blamed.
func (e *endpoint) crashOnReplacement(incarnation uint64, now time.Time) *Crash {
	if incarnation == e.announcement.Incarnation || e.leaving {
		return nil
	}
	return e.takeCrash(now, nil)
}

// takeCrash returns the crash of the current process with the fingerprints of its broken calls and of those in running, and
// clears the broken calls. It returns nil if neither kind exists; either way, the process counts as ended.
func (e *endpoint) takeCrash(now time.Time, running map[*runningCall]struct{}) *Crash {
	seen := map[hop.Fingerprint]bool{}
	var fingerprints []hop.Fingerprint
	add := func(p hop.Fingerprint) {
		if !seen[p] {
			seen[p] = true
			fingerprints = append(fingerprints, p)
		}
	}
	for _, p := range e.brokenCalls {
		add(p)
	}
	for r := range running {
		if r.process == e.crashes {
			add(r.fingerprint)
		}
	}
	e.brokenCalls = nil
	e.crashes++
	if len(fingerprints) == 0 {
		return nil
	}
	return &Crash{Endpoint: e.key, Incarnation: e.announcement.Incarnation, Fingerprints: fingerprints, At: now}
}

// clearBrokenCalls handles a renewal by the same process: if the last call broke more than minClearAge ago, the process
// survived the broken calls, so they are forgotten.
func (e *endpoint) clearBrokenCalls(now time.Time) {
	if now.Sub(e.lastBroken) > minClearAge {
		e.brokenCalls = nil
	}
}

// recordBrokenCall records that a call's connection to the backend server broke. It starts a probe unless one is running, so
// that calls which break together share one probe.
func (b *Backend) recordBrokenCall(e *endpoint, r *runningCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.process != e.crashes {
		return // the crash of that process has been handled
	}
	if len(e.brokenCalls) < maxBrokenCalls {
		e.brokenCalls = append(e.brokenCalls, r.fingerprint)
	}
	e.lastBroken = b.now()
	if e.probing {
		return
	}
	e.probing = true
	address := e.announcement.Address.String()
	b.done.Go(func() { b.probe(e, address) })
}

// probe reports a crash if nothing listens on the address and the endpoint still has it. If something listens, the process is
// alive or already replaced; the next announcement shows which.
func (b *Backend) probe(e *endpoint, address string) {
	time.Sleep(probeDelay)
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = c.Close()
	}
	now := b.now()
	b.mu.Lock()
	e.probing = false
	var crash *Crash
	if errors.Is(err, syscall.ECONNREFUSED) && e.announcement.Address.String() == address {
		crash = e.takeCrash(now, e.running)
	}
	b.mu.Unlock()
	b.reportCrash(crash)
}

func (b *Backend) reportCrash(c *Crash) {
	if c == nil {
		return
	}
	b.log.Info("backend server crashed", "endpoint", c.Endpoint, "incarnation", c.Incarnation, "running", len(c.Fingerprints))
	b.onCrash(*c)
}

package backend

import (
	"errors"
	"net"
	"syscall"
	"time"

	"godwitspindle/io/hop"
)

// maxBroken bounds the memory for a backend server that keeps breaking connections without dying.
const maxBroken = 1024

// Times of the crash detection.
const (
	// crashDelay gives the other connections of a dead process time to break before its state is judged.
	crashDelay = 20 * time.Millisecond
	probeLimit = 250 * time.Millisecond
	// aliveDelay is the age from which breaks are cleared by a renewal; the dying process may have sent a renewal that is
	// handled shortly after.
	aliveDelay = 100 * time.Millisecond
)

// endpoint is one announced endpoint; the Backend's mutex guards it.
type endpoint struct {
	key      string
	ann      Announcement
	renewed  time.Time
	leaving  bool
	pool     *pool
	running  map[*run]struct{}
	broken   []hop.Print // fingerprints of calls whose connections broke, until the cause is known
	brokenAt time.Time   // of the last one
	probing  bool
	crashes  uint64 // counts process replacements, so that a call is blamed only for the process it ran on
}

// run is one call that was handed to the backend server.
type run struct {
	print   hop.Print
	process uint64 // endpoint.crashes when it began
}

// replaced returns the crash that a new incarnation shows if calls broke on the process before it. Calls that still run
// reached the new process before it announced itself, so they are not blamed.
func (e *endpoint) replaced(incarnation uint64, now time.Time) *Crash {
	if incarnation == e.ann.Incarnation || e.leaving {
		return nil
	}
	return e.crash(now, nil)
}

// crash takes the fingerprints of the calls that the dead process had: those that broke and those in running; nil when it
// had none.
func (e *endpoint) crash(now time.Time, running map[*run]struct{}) *Crash {
	seen := map[hop.Print]bool{}
	var prints []hop.Print
	add := func(p hop.Print) {
		if !seen[p] {
			seen[p] = true
			prints = append(prints, p)
		}
	}
	for _, p := range e.broken {
		add(p)
	}
	for r := range running {
		if r.process == e.crashes {
			add(r.print)
		}
	}
	e.broken = nil
	e.crashes++
	if len(prints) == 0 {
		return nil
	}
	return &Crash{Endpoint: e.key, Incarnation: e.ann.Incarnation, Prints: prints, At: now}
}

// alive notes a renewal by the same process: earlier breaks had another reason than its death.
func (e *endpoint) alive(now time.Time) {
	if now.Sub(e.brokenAt) > aliveDelay {
		e.broken = nil
	}
}

// broke records that a call's connection to the backend server broke, and starts one probe for all calls that break
// together.
func (b *Backend) broke(e *endpoint, r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.process != e.crashes {
		return // belongs to a crash that is already reported
	}
	if len(e.broken) < maxBroken {
		e.broken = append(e.broken, r.print)
	}
	e.brokenAt = b.now()
	if e.probing {
		return
	}
	e.probing = true
	address := e.ann.Address.String()
	b.done.Go(func() { b.probe(e, address) })
}

// probe decides whether the process died: then nothing listens on its address. When something listens, either the process
// lives or it was already replaced; its next announcement tells.
func (b *Backend) probe(e *endpoint, address string) {
	time.Sleep(crashDelay)
	c, err := net.DialTimeout("tcp", address, probeLimit)
	if err == nil {
		_ = c.Close()
	}
	now := b.now()
	b.mu.Lock()
	e.probing = false
	var crash *Crash
	if errors.Is(err, syscall.ECONNREFUSED) && e.ann.Address.String() == address {
		crash = e.crash(now, e.running)
	}
	b.mu.Unlock()
	b.report(crash)
}

func (b *Backend) report(c *Crash) {
	if c == nil {
		return
	}
	b.log.Info("backend server crashed", "endpoint", c.Endpoint, "incarnation", c.Incarnation, "running", len(c.Prints))
	b.crashed(*c)
}

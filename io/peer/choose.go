package peer

import (
	"context"
	"net/netip"
	"time"
)

const (
	// A failed upstream is tried last for a pause that doubles with each failure. A silent one costs seconds, so it gets the
	// longest pause at once; one that refuses at once costs little and may only be starting.
	failedPause   = 10 * time.Second
	refusedPause  = 500 * time.Millisecond
	refusedWithin = 250 * time.Millisecond
)

// failure is the last failed poll of an upstream.
type failure struct {
	at    time.Time
	pause time.Duration
}

// pollParents polls the upstreams in order until one answers.
func (f *Follower) pollParents(ctx context.Context) error {
	parents := f.ordered()
	if len(parents) == 0 {
		sleep(ctx, startWait) // the leading replica takes versions from its own log
		return nil
	}
	var last error
	for _, p := range parents {
		f.moveTo(ctx, p)
		began := time.Now()
		last = f.sync(ctx, p)
		if last == nil {
			return nil
		}
		if ctx.Err() != nil {
			return last
		}
		f.noteFailure(p, time.Since(began))
		f.lost()
	}
	return last
}

// noteFailure makes an upstream that failed be tried last for a pause.
func (f *Follower) noteFailure(p netip.AddrPort, took time.Duration) {
	pause := failedPause
	if took < refusedWithin {
		pause = min(max(2*f.failed[p].pause, refusedPause), failedPause)
	}
	f.failed[p] = failure{at: time.Now(), pause: pause}
}

// noteAge makes an upstream that has long had no confirmation of a quorum be tried last for a while. It still serves when
// all are in the same state, so that nodes help each other while the source is out.
func (f *Follower) noteAge(p netip.AddrPort, ms int64) {
	age := time.Duration(ms) * time.Millisecond
	if f.stale == 0 || ms >= 0 && age <= f.stale {
		delete(f.failed, p)
		return
	}
	if _, noted := f.failed[p]; !noted {
		f.log.Info("upstream is not current", "upstream", p.String(), "age", age.String())
	}
	f.failed[p] = failure{at: time.Now(), pause: f.stale}
}

// Repoll ends the poll in progress, so that a better upstream is taken at once.
func (f *Follower) Repoll() {
	if cancel := f.cancelPoll.Load(); cancel != nil {
		(*cancel)()
	}
}

// moveTo notes the upstream that is polled next and tells the one before, which would otherwise count this node as its own
// and behind. One that answers is told before the new one is polled; one that failed is told beside it, since that may
// take long. The notices are numbered, so a late one does no harm.
func (f *Follower) moveTo(ctx context.Context, p netip.AddrPort) {
	old := f.parent.Swap(&p)
	if old == nil || *old == p {
		return
	}
	f.moved()
	if _, failed := f.failed[*old]; failed {
		f.wait.Go(func() { f.depart(ctx, *old, p) })
		return
	}
	f.depart(ctx, *old, p)
}

// depart tells an upstream that the node takes from another one.
func (f *Follower) depart(ctx context.Context, from, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, movedTimeout)
	defer cancel()
	_, err := f.clients.At(from).Sync(ctx, f.departure())
	f.log.Info("upstream changed", "from", from.String(), "to", to.String(), "told", err == nil)
}

// ordered returns the upstreams in order of preference; those that failed recently come last, since a poll of a
// silent one costs seconds.
func (f *Follower) ordered() []netip.AddrPort {
	var good, bad []netip.AddrPort
	for _, p := range f.parents() {
		if f.failedFor(p) > 0 {
			bad = append(bad, p)
			continue
		}
		good = append(good, p)
	}
	return append(good, bad...)
}

// failedFor returns how much longer a failed upstream is tried last.
func (f *Follower) failedFor(p netip.AddrPort) time.Duration {
	last, failed := f.failed[p]
	if !failed {
		return 0
	}
	pause := last.pause
	if f.leads(p) {
		pause = min(pause, refusedPause)
	}
	return time.Until(last.at.Add(pause))
}

// pollWait returns how long to poll an upstream: until a preferred one that failed may be tried again.
func (f *Follower) pollWait(parent netip.AddrPort) time.Duration {
	wait := f.poll
	for _, p := range f.parents() {
		if p == parent {
			break
		}
		if rest := f.failedFor(p); rest > 0 {
			wait = min(wait, max(rest, nudgePause))
		}
	}
	return wait
}

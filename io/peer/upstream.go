package peer

import (
	"context"
	"net/netip"
	"time"
)

const (
	// A failed upstream is tried last until its pause ends. A poll that times out costs seconds, so it starts the longest pause
	// at once. One that fails within refusedWithin costs little, and the upstream may only be starting, so its pause starts at
	// refusedPause and doubles up to failedPause.
	failedPause   = 10 * time.Second
	refusedPause  = 500 * time.Millisecond
	refusedWithin = 250 * time.Millisecond
)

// failure records when an upstream last failed or was not current, and the pause from then on during which it is tried last.
type failure struct {
	at    time.Time
	pause time.Duration
}

// pollUpstreams polls the upstreams in order of preference until one answers, and returns the last error if none does.
// Without upstreams it only waits for startWait.
func (f *Follower) pollUpstreams(ctx context.Context) error {
	upstreams := f.byPreference()
	if len(upstreams) == 0 {
		sleep(ctx, startWait) // the leading replica has no upstream: it applies versions from its own log
		return nil
	}
	var last error
	for _, p := range upstreams {
		f.switchTo(ctx, p)
		began := time.Now()
		last = f.sync(ctx, p)
		if last == nil {
			return nil
		}
		if ctx.Err() != nil {
			return last
		}
		f.recordFailure(p, time.Since(began))
		f.reportLost()
	}
	return last
}

// recordFailure starts the pause during which a failed upstream is tried last; took is the duration of the failed poll.
func (f *Follower) recordFailure(p netip.AddrPort, took time.Duration) {
	pause := failedPause
	if took < refusedWithin {
		pause = min(max(2*f.failures[p].pause, refusedPause), failedPause)
	}
	f.failures[p] = failure{at: time.Now(), pause: pause}
}

// recordAge starts a pause for an upstream without a quorum confirmation of at most staleAfter ago, and ends the pause of a
// current one; with staleAfter 0, every upstream is current. A stale upstream is still used when all are stale, so that
// nodes can sync with each other while the source is down.
func (f *Follower) recordAge(p netip.AddrPort, ms int64) {
	age := time.Duration(ms) * time.Millisecond
	if f.staleAfter == 0 || ms >= 0 && age <= f.staleAfter {
		delete(f.failures, p)
		return
	}
	if _, paused := f.failures[p]; !paused {
		f.log.Info("upstream is not current", "upstream", p.String(), "age", age.String())
	}
	f.failures[p] = failure{at: time.Now(), pause: f.staleAfter}
}

// Repoll cancels the poll in progress, so that the next poll goes to the upstream that is preferred now.
func (f *Follower) Repoll() {
	if cancel := f.cancelPoll.Load(); cancel != nil {
		(*cancel)()
	}
}

// switchTo sets the upstream to poll next and notifies the previous one, which would otherwise keep counting this node among
// its followers, and as lagging. A previous upstream that works is notified before the new one is polled. One that failed is
// notified in the background, since the call may take until its timeout. Notices are numbered, so a late one is ignored.
func (f *Follower) switchTo(ctx context.Context, p netip.AddrPort) {
	old := f.upstream.Swap(&p)
	if old == nil || *old == p {
		return
	}
	f.upstreamChanged()
	if _, failed := f.failures[*old]; failed {
		f.wait.Go(func() { f.notifyDeparture(ctx, *old, p) })
		return
	}
	f.notifyDeparture(ctx, *old, p)
}

// notifyDeparture tells the previous upstream that this node now syncs with another one.
func (f *Follower) notifyDeparture(ctx context.Context, from, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	_, err := f.clients.At(from).Sync(ctx, f.newDepartureNotice())
	f.log.Info("upstream changed", "from", from.String(), "to", to.String(), "told", err == nil)
}

// byPreference returns the upstreams in order of preference. Those in a pause after a failure come last, since a poll that times
// out costs seconds.
func (f *Follower) byPreference() []netip.AddrPort {
	var healthy, failing []netip.AddrPort
	for _, p := range f.upstreams() {
		if f.remainingPause(p) > 0 {
			failing = append(failing, p)
			continue
		}
		healthy = append(healthy, p)
	}
	return append(healthy, failing...)
}

// remainingPause returns for how much longer an upstream is tried last; zero or negative when it is not. The pause of the leader
// is refusedPause at most.
func (f *Follower) remainingPause(p netip.AddrPort) time.Duration {
	last, failed := f.failures[p]
	if !failed {
		return 0
	}
	pause := last.pause
	if f.isLeader(p) {
		pause = min(pause, refusedPause)
	}
	return time.Until(last.at.Add(pause))
}

// pollWait returns how long to poll an upstream: the poll interval, or less if the pause of a more preferred upstream
// ends earlier; a wait shortened in this way is at least minRequestInterval.
func (f *Follower) pollWait(upstream netip.AddrPort) time.Duration {
	wait := f.pollInterval
	for _, p := range f.upstreams() {
		if p == upstream {
			break
		}
		if rest := f.remainingPause(p); rest > 0 {
			wait = min(wait, max(rest, minRequestInterval))
		}
	}
	return wait
}

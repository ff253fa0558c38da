package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"

	"godwitspindle/core/config"
	"godwitspindle/core/relay"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// headerNumber is the header with the sequence number of a Sync request within the sending process.
const headerNumber = "Mesh-Number"

const (
	startWait          = 100 * time.Millisecond // wait of a poll until the node holds a version and its floor is proven
	readTimeout        = 3 * time.Second        // time for one floor read
	syncSlack          = 3 * time.Second        // time added to a poll's wait before the poll counts as failed
	minRequestInterval = 50 * time.Millisecond  // pause between pushed reports; also the shortest wait of a shortened poll
	reportRetryDelay   = 250 * time.Millisecond // delay before a report that failed to reach the upstream is sent again

	// After a swap, the next version waits for this multiple of the duration of that swap. A swap costs the process about four
	// times its duration in processor time (garbage collection, routing), so a burst of versions uses under 2% of a core, or more
	// if a swap takes longer than 2 ms and maxSwapPause limits the pause. A version that arrives after the pause does not wait.
	swapPauseFactor = 250
	maxSwapPause    = 500 * time.Millisecond

	departureTimeout = time.Second
	maxFloorPause    = time.Second // longest pause between floor reads; short, since concurrent reads share one quorum round
)

// NoUpstreamError reports that there is no upstream to ask.
type NoUpstreamError struct{}

// Error returns a message that names the setting to check.
func (*NoUpstreamError) Error() string { return "no upstream is known; check the setting replicas" }

// Follower keeps a Holder at the newest version by long polls of its upstreams, sends reports to them, and proves the floor
// of the Holder.
type Follower struct {
	name            string
	incarnation     uint64
	holder          *Holder
	clients         *Clients
	upstreams       func() []netip.AddrPort // upstreams in order of preference
	report          func(upstream netip.AddrPort, held uint64) *wire.Report
	pollInterval    time.Duration
	slack           time.Duration
	transferTime    time.Duration // time to transfer a whole snapshot over the host's link
	staleAfter      time.Duration // see WithStale
	maxBackoff      time.Duration // longest delay after failures; 0 for the default
	swapPause       time.Duration // longest pause between two versions in close succession
	log             logr.Logger
	mismatch        func()
	applied         func(whole bool)
	synced          func(r *rpc.SyncResponse, v View)
	reportLost      func()
	upstreamChanged func()
	isLeader        func(p netip.AddrPort) bool // whether an upstream is the leader and known to be alive
	readFloor       func(ctx context.Context) (uint64, error)
	domain          string
	decoder         *zstd.Decoder
	reportRequests  chan struct{}                      // signaled by SendReportNow
	leaderChanged   chan struct{}                      // signaled when an upstream names another leader
	cancelPoll      atomic.Pointer[context.CancelFunc] // ends the poll in progress
	confirmed       atomic.Int64                       // Unix nanoseconds of the last quorum confirmation; 0 for never
	upstream        atomic.Pointer[netip.AddrPort]     // upstream that was polled last
	wantWhole       atomic.Bool                        // the next poll asks for a whole snapshot
	pending         atomic.Pointer[config.Snapshot]    // snapshot newer than the one in force but below the floor; nil for none

	// Used only in the goroutine of run.
	failures     map[netip.AddrPort]failure // upstreams that are tried last
	leader       string                     // name of the leading replica, as last reported by an upstream
	swapDuration time.Duration              // duration of the last swap that applied a delta
	swappedAt    time.Time                  // end of that swap

	numberMu   sync.Mutex // held from numbering a request to making its report, so that a higher number has a newer report
	lastNumber uint64     // number of the last request

	stop context.CancelFunc
	wait sync.WaitGroup
}

// NewFollower returns a Follower that polls until Close.
func NewFollower(holder *Holder, clients *Clients, opts ...FollowerOption) (*Follower, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("create the zstd decoder: %w", err)
	}
	f := &Follower{
		holder:          holder,
		clients:         clients,
		upstreams:       func() []netip.AddrPort { return nil },
		report:          func(netip.AddrPort, uint64) *wire.Report { return nil },
		pollInterval:    5 * time.Second,
		slack:           syncSlack,
		log:             logr.Discard(),
		mismatch:        func() {},
		applied:         func(bool) {},
		synced:          func(*rpc.SyncResponse, View) {},
		reportLost:      func() {},
		upstreamChanged: func() {},
		isLeader:        func(netip.AddrPort) bool { return false },
		decoder:         decoder,
		reportRequests:  make(chan struct{}, 1),
		leaderChanged:   make(chan struct{}, 1),
		swapPause:       maxSwapPause,
		failures:        map[netip.AddrPort]failure{},
	}
	f.readFloor = f.floorFromUpstreams
	for _, o := range opts {
		o(f)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.wait.Go(func() { f.run(ctx) })
	f.wait.Go(func() { f.pushReports(ctx) })
	if !holder.Proven() {
		f.wait.Go(func() { f.proveFloor(ctx) })
	}
	return f, nil
}

// Close stops polling and waits until all goroutines have ended.
func (f *Follower) Close() {
	f.stop()
	f.wait.Wait()
	f.decoder.Close()
}

// Age returns the time since the last quorum confirmation that this node knows of, or a negative value when there is none.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at))
}

// Upstream returns the address of the upstream that was polled last.
func (f *Follower) Upstream() (netip.AddrPort, bool) {
	p := f.upstream.Load()
	if p == nil {
		return netip.AddrPort{}, false
	}
	return *p, true
}

// run polls until ctx ends, with a growing delay while all upstreams fail.
func (f *Follower) run(ctx context.Context) {
	for b := newBackoff(f.maxBackoff); ctx.Err() == nil; {
		err := f.pollUpstreams(ctx)
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		delay := b.Next(0)
		f.log.Info("sync with all upstreams failed; will retry after the delay", "error", err.Error(), "delay", delay.String())
		sleep(ctx, delay)
	}
}

// newBackoff returns the randomized delays between the attempts of one loop; longest limits them, 0 for the default.
func newBackoff(longest time.Duration) *relay.Backoff {
	return &relay.Backoff{Random: rand.Int64N, MaxWait: longest}
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// SendReportNow makes the follower send its report now, without waiting for the end of a long poll in progress.
func (f *Follower) SendReportNow() {
	select {
	case f.reportRequests <- struct{}{}:
	default:
	}
}

// pushReports sends a report when SendReportNow was called, at most one per minRequestInterval, and resends lost reports.
func (f *Follower) pushReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reportRequests:
		}
		if f.sendReport(ctx) {
			sleep(ctx, minRequestInterval)
			continue
		}
		sleep(ctx, reportRetryDelay)
		f.SendReportNow() // otherwise the report would wait for the next long poll
	}
}

// sendReport sends the report to the current upstream and returns whether it arrived; false without an upstream.
func (f *Follower) sendReport(ctx context.Context) bool {
	p := f.upstream.Load()
	if p == nil {
		return false
	}
	if _, err := f.sendSync(ctx, *p, 0); err != nil {
		f.log.V(1).Info("report did not reach the upstream; will send it again", "parent", p.String(), "error", err.Error())
		f.reportLost()
		return false
	}
	return true
}

// sync makes one long poll and applies the answer; a poll canceled by Repoll is not an error, but its report counts
// as lost.
func (f *Follower) sync(ctx context.Context, upstream netip.AddrPort) error {
	wait := f.pollWait(upstream)
	if !f.holder.Proven() || f.holder.View().Snapshot.Version() == 0 {
		wait = startWait
	}
	polling, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelPoll.Store(&cancel)
	resp, err := f.sendSync(polling, upstream, wait)
	if err != nil && polling.Err() != nil && ctx.Err() == nil {
		f.reportLost()
		return nil
	}
	if err != nil {
		return err
	}
	if after := resp.GetAfter(); after > 0 {
		f.recordLeader(resp.GetLeader())
		f.synced(resp, f.holder.View())
		sleep(ctx, time.Duration(after)*time.Millisecond+rand.N(startWait))
		return nil
	}
	f.recordLeader(resp.GetLeader())
	// A node whose floor is proven but not reached does not pause, since it serves no calls until it reaches the floor.
	mayPause := f.holder.Serving() || !f.holder.Proven()
	if mayPause && (resp.GetDelta() != nil || len(resp.GetPacked()) > 0) {
		sleep(ctx, time.Until(f.swappedAt.Add(min(f.swapDuration*swapPauseFactor, f.swapPause))))
	}
	if err := f.applyResponse(resp); err != nil {
		return fmt.Errorf("apply the answer of %s: %w", upstream, err)
	}
	if age := resp.GetAge(); age >= 0 {
		f.recordConfirmation(time.Now().Add(-time.Duration(age) * time.Millisecond))
	}
	f.synced(resp, f.holder.View())
	f.recordAge(upstream, resp.GetAge())
	return nil
}

// sendSync sends one Sync request, which the upstream may hold until it has a newer version or wait has passed.
func (f *Follower) sendSync(ctx context.Context, upstream netip.AddrPort, wait time.Duration) (*rpc.SyncResponse, error) {
	req, number := f.newRequest(upstream, wait)
	ctx, cancel := context.WithTimeout(ctx, f.requestTimeout(req, wait))
	defer cancel()
	resp, err := f.clients.At(upstream).Sync(withPoll(ctx), withNumber(req, number))
	if err != nil {
		return nil, fmt.Errorf("sync with %s: %w", upstream, err)
	}
	return resp.Msg, nil
}

// requestTimeout returns how long a poll may take; one that may bring a whole snapshot may take transferTime longer.
func (f *Follower) requestTimeout(r *rpc.SyncRequest, wait time.Duration) time.Duration {
	if r.GetHeld() == 0 || r.GetWhole() {
		return wait + f.slack + f.transferTime
	}
	return wait + f.slack
}

// newRequest returns a Sync request with its number. A pushed report and a long poll can arrive out of order; by the number,
// the upstream ignores the older report.
func (f *Follower) newRequest(upstream netip.AddrPort, wait time.Duration) (*rpc.SyncRequest, uint64) {
	f.numberMu.Lock()
	defer f.numberMu.Unlock()
	f.lastNumber++
	s := f.newestSnapshot()
	r := &rpc.SyncRequest{
		Node:        f.name,
		Incarnation: f.incarnation,
		Held:        s.Version(),
		Digest:      s.Digest().Wire(),
		Wait:        wait.Milliseconds(),
		Report:      f.report(upstream, s.Version()),
		Whole:       f.wantWhole.Load(),
	}
	if s.Version() == 0 {
		r.Domain = f.domain
	}
	return r, f.lastNumber
}

// newDepartureNotice returns a numbered request that tells an upstream that the node now syncs with another one.
func (f *Follower) newDepartureNotice() *connect.Request[rpc.SyncRequest] {
	f.numberMu.Lock()
	defer f.numberMu.Unlock()
	f.lastNumber++
	return withNumber(&rpc.SyncRequest{Node: f.name, Incarnation: f.incarnation, Moved: true}, f.lastNumber)
}

func withNumber(r *rpc.SyncRequest, number uint64) *connect.Request[rpc.SyncRequest] {
	c := connect.NewRequest(r)
	c.Header().Set(headerNumber, strconv.FormatUint(number, 10))
	return c
}

// recordConfirmation sets the time of the last quorum confirmation unless a later one is recorded.
func (f *Follower) recordConfirmation(at time.Time) {
	for {
		old := f.confirmed.Load()
		if at.UnixNano() <= old || f.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

func (f *Follower) applyResponse(resp *rpc.SyncResponse) error {
	delta, err := Unpack(f.decoder, resp)
	if err != nil {
		return err
	}
	if delta == nil {
		return nil
	}
	start := time.Now()
	err = f.applyDelta(delta)
	if !delta.GetWhole() {
		f.swappedAt = time.Now()
		f.swapDuration = f.swappedAt.Sub(start)
	}
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return nil // this node already has that version or a newer one, from another upstream
	}
	if errors.As(err, new(*FloorSaveError)) {
		return err // the delta fits, so it is asked for again instead of a whole snapshot
	}
	if err != nil {
		f.mismatch()
		f.wantWhole.Store(true)
		return err
	}
	f.wantWhole.Store(false)
	if f.pending.Load() != nil {
		f.log.Info("version stored below the floor, not in force", "version", f.newestSnapshot().Version(), "entries", len(delta.GetEntries()), "whole", delta.GetWhole())
		return nil
	}
	f.applied(delta.GetWhole())
	f.log.Info("version in force", "version", f.holder.View().Snapshot.Version(), "entries", len(delta.GetEntries()), "whole", delta.GetWhole())
	return nil
}

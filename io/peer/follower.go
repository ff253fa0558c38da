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

// headerNumber carries the number of a poll within its process.
const headerNumber = "Mesh-Number"

const (
	startWait   = 100 * time.Millisecond // between polls until a version is held and proven
	readTimeout = 3 * time.Second
	syncSlack   = 3 * time.Second // on top of the poll interval before a Sync counts as failed
	nudgePause  = 50 * time.Millisecond
	renudge     = 250 * time.Millisecond // before a report that did not reach the upstream is sent again

	// A version that follows another closely waits until this multiple of the time of the last swap has passed. A swap costs the
	// process about four times what it takes here (collection, routing), so a burst stays under two percent of a core. A
	// version after a quiet time never waits.
	swapPauseFactor = 250
	maxSwapPause    = 500 * time.Millisecond

	movedTimeout  = time.Second
	maxFloorPause = time.Second // floor reads share rounds, so they may come often
)

// NoParentError reports that no upstream is known.
type NoParentError struct{}

// Error names the setting to check.
func (*NoParentError) Error() string { return "no upstream is known; check the setting replicas" }

// Follower keeps a holder at the newest version of its upstreams by long polls, and proves its floor.
type Follower struct {
	name        string
	incarnation uint64
	holder      *Holder
	clients     *Clients
	parents     func() []netip.AddrPort // in order of preference
	report      func(parent netip.AddrPort, held uint64) *wire.Report
	poll        time.Duration
	slack       time.Duration
	transfer    time.Duration // of a whole snapshot on the link of the host
	stale       time.Duration
	backoff     time.Duration // longest; 0 for the default
	swapPause   time.Duration // longest between two versions that follow each other
	log         logr.Logger
	mismatch    func()
	taken       func(whole bool)
	synced      func(r *rpc.SyncResponse, v View)
	lost        func()
	moved       func()
	leads       func(p netip.AddrPort) bool // reports whether an upstream is the leader and known to be alive
	floor       func(ctx context.Context) (uint64, error)
	domain      string
	decoder     *zstd.Decoder
	nudges      chan struct{}
	told        chan struct{}                      // signalled when an upstream names another leader
	cancelPoll  atomic.Pointer[context.CancelFunc] // ends the poll in progress
	confirmed   atomic.Int64                       // Unix nanoseconds of the last quorum confirmation; 0 for never
	parent      atomic.Pointer[netip.AddrPort]     // polled last
	whole       atomic.Bool                        // the next poll asks for a whole snapshot
	base        atomic.Pointer[config.Snapshot]    // newer than what the holder holds and below its floor; nil for none

	// Used only by run.
	failed    map[netip.AddrPort]failure
	leader    string        // as the upstream that answered last names it
	swapTook  time.Duration // of the last swap by a delta
	swappedAt time.Time     // when it ended

	numbering sync.Mutex // orders the numbers of requests with the reports that they carry
	number    uint64     // of the last request

	stop context.CancelFunc
	wait sync.WaitGroup
}

// NewFollower starts following; Close stops it.
func NewFollower(holder *Holder, clients *Clients, opts ...FollowerOption) (*Follower, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("create the zstd decoder: %w", err)
	}
	f := &Follower{
		holder:    holder,
		clients:   clients,
		parents:   func() []netip.AddrPort { return nil },
		report:    func(netip.AddrPort, uint64) *wire.Report { return nil },
		poll:      5 * time.Second,
		slack:     syncSlack,
		log:       logr.Discard(),
		mismatch:  func() {},
		taken:     func(bool) {},
		synced:    func(*rpc.SyncResponse, View) {},
		lost:      func() {},
		moved:     func() {},
		leads:     func(netip.AddrPort) bool { return false },
		decoder:   decoder,
		nudges:    make(chan struct{}, 1),
		told:      make(chan struct{}, 1),
		swapPause: maxSwapPause,
		failed:    map[netip.AddrPort]failure{},
	}
	f.floor = f.askFloor
	for _, o := range opts {
		o(f)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.wait.Go(func() { f.run(ctx) })
	f.wait.Go(func() { f.push(ctx) })
	if !holder.Proven() {
		f.wait.Go(func() { f.prove(ctx) })
	}
	return f, nil
}

// Close stops following and waits for it.
func (f *Follower) Close() {
	f.stop()
	f.wait.Wait()
	f.decoder.Close()
}

// Age returns the time since the last quorum confirmation of the held version, or a negative value when there was none.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at))
}

// Parent returns the address of the upstream that was polled last.
func (f *Follower) Parent() (netip.AddrPort, bool) {
	p := f.parent.Load()
	if p == nil {
		return netip.AddrPort{}, false
	}
	return *p, true
}

// run polls without end, with a growing delay after failures.
func (f *Follower) run(ctx context.Context) {
	for b := newBackoff(f.backoff); ctx.Err() == nil; {
		err := f.pollParents(ctx)
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		delay := b.Next(0)
		f.log.Info("sync failed", "error", err.Error(), "delay", delay.String())
		sleep(ctx, delay)
	}
}

// newBackoff returns the delays between attempts of one loop; most is 0 for the default.
func newBackoff(most time.Duration) *relay.Backoff {
	return &relay.Backoff{Random: rand.Int64N, Most: most}
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Nudge makes the follower send its report now, beside the long poll that may be in progress.
func (f *Follower) Nudge() {
	select {
	case f.nudges <- struct{}{}:
	default:
	}
}

// push sends reports when nudged, at most one in a pause.
func (f *Follower) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.nudges:
		}
		if f.tell(ctx) {
			sleep(ctx, nudgePause)
			continue
		}
		sleep(ctx, renudge)
		f.Nudge() // else the report would wait for the end of the long poll
	}
}

// tell sends the report to the upstream and reports whether it arrived; without an upstream it did not.
func (f *Follower) tell(ctx context.Context) bool {
	p := f.parent.Load()
	if p == nil {
		return false
	}
	if _, err := f.ask(ctx, *p, 0); err != nil {
		f.log.V(1).Info("report not sent", "parent", p.String(), "error", err.Error())
		f.lost()
		return false
	}
	return true
}

// sync makes one long poll and applies its answer.
func (f *Follower) sync(ctx context.Context, parent netip.AddrPort) error {
	wait := f.pollWait(parent)
	if !f.holder.Proven() || f.holder.View().Snapshot.Version() == 0 {
		wait = startWait
	}
	polling, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelPoll.Store(&cancel)
	resp, err := f.ask(polling, parent, wait)
	if err != nil && polling.Err() != nil && ctx.Err() == nil {
		f.lost()
		return nil
	}
	if err != nil {
		return err
	}
	if after := resp.GetAfter(); after > 0 {
		f.noteLeader(resp.GetLeader())
		f.synced(resp, f.holder.View())
		sleep(ctx, time.Duration(after)*time.Millisecond+rand.N(startWait))
		return nil
	}
	f.noteLeader(resp.GetLeader())
	// A node that only lacks a version at its floor takes it at once, since it serves nobody until then.
	waits := f.holder.Serving() || !f.holder.Proven()
	if waits && (resp.GetDelta() != nil || len(resp.GetPacked()) > 0) {
		sleep(ctx, time.Until(f.swappedAt.Add(min(f.swapTook*swapPauseFactor, f.swapPause))))
	}
	if err := f.apply(resp); err != nil {
		return fmt.Errorf("apply from %s: %w", parent, err)
	}
	if age := resp.GetAge(); age >= 0 {
		f.confirm(time.Now().Add(-time.Duration(age) * time.Millisecond))
	}
	f.synced(resp, f.holder.View())
	f.noteAge(parent, resp.GetAge())
	return nil
}

// ask sends one Sync that may wait for a newer version.
func (f *Follower) ask(ctx context.Context, parent netip.AddrPort, wait time.Duration) (*rpc.SyncResponse, error) {
	req, number := f.request(parent, wait)
	ctx, cancel := context.WithTimeout(ctx, f.patience(req, wait))
	defer cancel()
	resp, err := f.clients.At(parent).Sync(ctx, numbered(req, number))
	if err != nil {
		return nil, fmt.Errorf("sync with %s: %w", parent, err)
	}
	return resp.Msg, nil
}

// patience returns how long a poll may take.
func (f *Follower) patience(r *rpc.SyncRequest, wait time.Duration) time.Duration {
	if r.GetHeld() == 0 || r.GetWhole() {
		return wait + f.slack + f.transfer
	}
	return wait + f.slack
}

// request makes a numbered poll: a push and a long poll may overtake each other on their way, and the older one must not
// replace what the newer one reports.
func (f *Follower) request(parent netip.AddrPort, wait time.Duration) (*rpc.SyncRequest, uint64) {
	f.numbering.Lock()
	defer f.numbering.Unlock()
	f.number++
	s := f.held()
	r := &rpc.SyncRequest{
		Node:        f.name,
		Incarnation: f.incarnation,
		Held:        s.Version(),
		Digest:      s.Digest().Wire(),
		Wait:        wait.Milliseconds(),
		Report:      f.report(parent, s.Version()),
		Whole:       f.whole.Load(),
	}
	if s.Version() == 0 {
		r.Domain = f.domain
	}
	return r, f.number
}

// departure makes the numbered notice that tells an upstream that the node takes from another one.
func (f *Follower) departure() *connect.Request[rpc.SyncRequest] {
	f.numbering.Lock()
	defer f.numbering.Unlock()
	f.number++
	return numbered(&rpc.SyncRequest{Node: f.name, Incarnation: f.incarnation, Moved: true}, f.number)
}

func numbered(r *rpc.SyncRequest, number uint64) *connect.Request[rpc.SyncRequest] {
	c := connect.NewRequest(r)
	c.Header().Set(headerNumber, strconv.FormatUint(number, 10))
	return c
}

// confirm moves the confirmation time forward, never back.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if at.UnixNano() <= old || f.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

func (f *Follower) apply(resp *rpc.SyncResponse) error {
	delta, err := Unpack(f.decoder, resp)
	if err != nil {
		return err
	}
	if delta == nil {
		return nil
	}
	start := time.Now()
	err = f.take(delta)
	if !delta.GetWhole() {
		f.swappedAt = time.Now()
		f.swapTook = f.swappedAt.Sub(start)
	}
	var stale *config.StaleError
	if errors.As(err, &stale) {
		return nil // another upstream was faster; the held version is newer
	}
	if err != nil {
		f.mismatch()
		f.whole.Store(true)
		return err
	}
	f.whole.Store(false)
	if f.base.Load() != nil {
		f.log.Info("version kept below the floor", "version", f.held().Version(), "entries", len(delta.GetEntries()), "whole", delta.GetWhole())
		return nil
	}
	f.taken(delta.GetWhole())
	f.log.Info("version in force", "version", f.holder.View().Snapshot.Version(), "entries", len(delta.GetEntries()), "whole", delta.GetWhole())
	return nil
}

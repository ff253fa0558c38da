package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/relay"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

const (
	packMinBytes = 512 // smallest delta that is packed; smaller ones do not shrink enough to pay for the zstd frame
	// packWindowBytes exceeds the entries of one failure domain; a larger window makes whole snapshots 1% larger at this level.
	packWindowBytes = 64 << 10
	maxWait         = 60 * time.Second // longest wait of a poll, whatever the request asks for
	// transferRate is the assumed bandwidth for one whole snapshot on a thin link; the end of a transfer cannot be observed here.
	transferRate = 1 << 20 // bytes per second
)

// Feed answers Sync requests of other nodes from the version that its holder has in force.
type Feed struct {
	holder        *Holder
	age           func() time.Duration
	report        func(r *rpc.SyncRequest, number uint64)
	snapshotSent  func()
	coalesce      time.Duration
	budget        *relay.Budget
	leader        func() string
	redirect      func(node, domain string) []string
	encoder       *zstd.Encoder
	mu            sync.Mutex
	cache         map[uint64]*rpc.SyncResponse // responses by base version; all lead to cachedVersion
	cachedVersion uint64
	closed        context.Context // canceled by Close
	close         context.CancelFunc
}

// FeedOption replaces a default of the Feed that NewFeed returns.
type FeedOption func(*Feed)

// WithAge sets the function that returns the time since the last quorum confirmation, negative when there was none.
func WithAge(f func() time.Duration) FeedOption { return func(d *Feed) { d.age = f } }

// WithReport sets the function that receives each request and its number; by the number, f can ignore requests that
// arrive late.
func WithReport(f func(r *rpc.SyncRequest, number uint64)) FeedOption {
	return func(d *Feed) { d.report = f }
}

// WithCoalesce sets how long an answer with a new version is delayed, so that it also covers versions that follow closely.
func WithCoalesce(t time.Duration) FeedOption { return func(d *Feed) { d.coalesce = t } }

// WithTransfers limits the concurrent transfers of whole snapshots to n.
func WithTransfers(n int) FeedOption {
	return func(d *Feed) { d.budget = relay.NewBudget(n) }
}

// WithSnapshotSent sets the function called for each whole snapshot sent to another node.
func WithSnapshotSent(f func()) FeedOption { return func(d *Feed) { d.snapshotSent = f } }

// WithLeader sets the function that returns the name of the leading replica, empty when unknown.
func WithLeader(f func() string) FeedOption { return func(d *Feed) { d.leader = f } }

// WithRedirect sets the function that returns the relays to which a node without a version is redirected; for an empty list,
// this node answers itself.
func WithRedirect(f func(node, domain string) []string) FeedOption {
	return func(d *Feed) { d.redirect = f }
}

// NewFeed returns a Feed that serves the version in force in holder.
func NewFeed(holder *Holder, opts ...FeedOption) (*Feed, error) {
	// At 2,100 endpoints the encoder holds 0.7 MB and packs a whole snapshot into 85 KB; at the default level, 2.8 MB and 83 KB.
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("create the zstd encoder: %w", err)
	}
	d := &Feed{
		holder:       holder,
		age:          func() time.Duration { return -1 },
		report:       func(*rpc.SyncRequest, uint64) {},
		snapshotSent: func() {},
		budget:       relay.NewBudget(32),
		leader:       func() string { return "" },
		redirect:     func(string, string) []string { return nil },
		encoder:      encoder,
		cache:        map[uint64]*rpc.SyncResponse{},
	}
	d.closed, d.close = context.WithCancel(context.Background())
	for _, o := range opts {
		o(d)
	}
	return d, nil
}

// Close ends waiting polls without an answer, so that the followers of this node switch to another upstream at once.
func (d *Feed) Close() { d.close() }

// Sync answers one long poll; it returns nil after Close.
func (d *Feed) Sync(ctx context.Context, r *rpc.SyncRequest, number uint64) *rpc.SyncResponse {
	if d.closed.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.closed, cancel)()
	resp := d.poll(ctx, r, number)
	if d.closed.Err() != nil {
		return nil
	}
	return resp
}

func (d *Feed) poll(ctx context.Context, r *rpc.SyncRequest, number uint64) *rpc.SyncResponse {
	d.report(r, number)
	if r.GetMoved() {
		return &rpc.SyncResponse{Age: -1}
	}
	wait := min(time.Duration(r.GetWait())*time.Millisecond, maxWait)
	v := d.holder.Wait(ctx, r.GetHeld(), wait)
	if r.GetHeld() == 0 && v.Snapshot.Version() > 0 {
		if relays := d.redirect(r.GetNode(), r.GetDomain()); len(relays) > 0 {
			return &rpc.SyncResponse{Age: -1, Relays: relays, Leader: d.leader()}
		}
	}
	if d.coalesce > 0 && v.Snapshot.Version() > r.GetHeld() && r.GetHeld() > 0 {
		v = d.waitForNewer(ctx, v)
	}
	resp := d.response(r, v.Snapshot)
	resp.Leader = d.leader()
	if age := d.age(); age >= 0 {
		resp.Age = age.Milliseconds()
	} else {
		resp.Age = -1
	}
	return resp
}

// waitForNewer waits for the coalescing period and returns the view then in force, or v if ctx ends first.
func (d *Feed) waitForNewer(ctx context.Context, v View) View {
	select {
	case <-ctx.Done():
		return v
	case <-time.After(d.coalesce):
		return d.holder.View()
	}
}

func (d *Feed) response(r *rpc.SyncRequest, s *config.Snapshot) *rpc.SyncResponse {
	held := r.GetHeld()
	if r.GetWhole() {
		held = 0
	}
	if s.Version() <= held && !d.digestDiffers(r, s) {
		return &rpc.SyncResponse{}
	}
	if s.Version() < r.GetHeld() {
		return &rpc.SyncResponse{}
	}
	if s.Version() == held {
		held = 0 // same version but another digest: only a whole snapshot repairs it
	}
	return d.deltaResponse(held, s)
}

// digestDiffers reports whether the requester holds the version of s with different content; false if the
// request has no digest.
func (d *Feed) digestDiffers(r *rpc.SyncRequest, s *config.Snapshot) bool {
	if r.GetDigest() == nil || r.GetHeld() != s.Version() {
		return false
	}
	return !proto.Equal(r.GetDigest(), s.Digest().Wire())
}

// deltaResponse returns the delta from base to s, or a retry delay if base is 0 and the budget for whole snapshots is used up.
func (d *Feed) deltaResponse(base uint64, s *config.Snapshot) *rpc.SyncResponse {
	if base == 0 {
		after, ok := d.budget.Take(time.Now())
		if !ok {
			return &rpc.SyncResponse{After: max(after.Milliseconds(), 1)}
		}
	}
	resp := d.cachedResponse(base, s)
	if base == 0 {
		d.snapshotSent()
		took := time.Duration(len(resp.GetPacked())) * time.Second / transferRate
		time.AfterFunc(took, func() { d.budget.Done(took) })
	}
	return &rpc.SyncResponse{Delta: resp.GetDelta(), Packed: resp.GetPacked()}
}

// cachedResponse calls packDelta once for each base version and returns the same response for all nodes that hold that base.
func (d *Feed) cachedResponse(base uint64, s *config.Snapshot) *rpc.SyncResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cachedVersion != s.Version() {
		d.cachedVersion = s.Version()
		clear(d.cache)
	}
	resp, ok := d.cache[base]
	if !ok {
		resp = d.packDelta(base, s)
		d.cache[base] = resp
	}
	return resp
}

// packDelta returns the delta from base to s, or the whole snapshot if base is 0 or s has no delta from it; a delta of at
// least packMinBytes is packed.
func (d *Feed) packDelta(base uint64, s *config.Snapshot) *rpc.SyncResponse {
	delta, ok := s.Delta(base)
	if base == 0 || !ok {
		delta = s.FullDelta()
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(delta)
	if err != nil || len(raw) < packMinBytes {
		return &rpc.SyncResponse{Delta: delta}
	}
	return &rpc.SyncResponse{Packed: d.encoder.EncodeAll(raw, nil)}
}

// Unpack returns the delta of a response, decompressed if it is packed, or nil when the response has none.
func Unpack(decoder *zstd.Decoder, r *rpc.SyncResponse) (*wire.Delta, error) {
	if len(r.GetPacked()) == 0 {
		return r.GetDelta(), nil
	}
	raw, err := decoder.DecodeAll(r.GetPacked(), nil)
	if err != nil {
		return nil, fmt.Errorf("decompress the delta: %w", err)
	}
	delta := &wire.Delta{}
	if err := proto.Unmarshal(raw, delta); err != nil {
		return nil, fmt.Errorf("decode the delta: %w", err)
	}
	return delta, nil
}

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
	packMinBytes = 512 // smaller deltas do not shrink enough to pay for the zstd frame
	// packWindowBytes is more than a failure domain's entries; a larger window made whole snapshots 1% larger at this level.
	packWindowBytes = 64 << 10
	maxWait         = 60 * time.Second
	// transferRate is what one whole snapshot is assumed to take on a thin link, since the end of a transfer is not seen.
	transferRate = 1 << 20 // bytes per second
)

// Feed answers Sync requests of other nodes from the version that this node holds.
type Feed struct {
	holder   *Holder
	age      func() time.Duration
	report   func(r *rpc.SyncRequest, number uint64)
	given    func()
	coalesce time.Duration
	budget   *relay.Budget
	leader   func() string
	redirect func(node, domain string) []string
	encoder  *zstd.Encoder
	mu       sync.Mutex
	packed   map[uint64]*rpc.SyncResponse // by base version; all for one target version
	target   uint64
	closed   context.Context // ends with Close
	close    context.CancelFunc
}

// FeedOption configures a Feed.
type FeedOption func(*Feed)

// WithAge sets the function that tells the age of the last quorum confirmation; negative when there was none.
func WithAge(f func() time.Duration) FeedOption { return func(d *Feed) { d.age = f } }

// WithReport sets the function that is given the report part of each request and its number, by which late ones are told.
func WithReport(f func(r *rpc.SyncRequest, number uint64)) FeedOption {
	return func(d *Feed) { d.report = f }
}

// WithCoalesce sets how long a new version may wait for a following one before it is passed on.
func WithCoalesce(t time.Duration) FeedOption { return func(d *Feed) { d.coalesce = t } }

// WithTransfers sets how many whole snapshots may be in transfer at once.
func WithTransfers(n int) FeedOption {
	return func(d *Feed) { d.budget = relay.NewBudget(n) }
}

// WithGiven sets a function that counts whole snapshots given to other nodes.
func WithGiven(f func()) FeedOption { return func(d *Feed) { d.given = f } }

// WithLeader sets the function that names the leading replica.
func WithLeader(f func() string) FeedOption { return func(d *Feed) { d.leader = f } }

// WithRedirect sets the function that names the relays which a node without a version is sent to; none means that it
// is served here.
func WithRedirect(f func(node, domain string) []string) FeedOption {
	return func(d *Feed) { d.redirect = f }
}

// NewFeed returns a feed over holder.
func NewFeed(holder *Holder, opts ...FeedOption) (*Feed, error) {
	// At 2,100 endpoints these options keep 0.7 MB for a whole snapshot of 85 KB; the default level keeps 2.8 MB for 83 KB.
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("create the zstd encoder: %w", err)
	}
	d := &Feed{
		holder:   holder,
		age:      func() time.Duration { return -1 },
		report:   func(*rpc.SyncRequest, uint64) {},
		given:    func() {},
		budget:   relay.NewBudget(32),
		leader:   func() string { return "" },
		redirect: func(string, string) []string { return nil },
		encoder:  encoder,
		packed:   map[uint64]*rpc.SyncResponse{},
	}
	d.closed, d.close = context.WithCancel(context.Background())
	for _, o := range opts {
		o(d)
	}
	return d, nil
}

// Close ends waiting polls without an answer, so that the nodes below go to another upstream at once.
func (d *Feed) Close() { d.close() }

// Sync answers one long poll; the answer is nil after Close.
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
		v = d.settle(ctx, v)
	}
	resp := d.answer(r, v.Snapshot)
	resp.Leader = d.leader()
	if age := d.age(); age >= 0 {
		resp.Age = age.Milliseconds()
	} else {
		resp.Age = -1
	}
	return resp
}

// settle waits one coalescing period for a newer version.
func (d *Feed) settle(ctx context.Context, v View) View {
	select {
	case <-ctx.Done():
		return v
	case <-time.After(d.coalesce):
		return d.holder.View()
	}
}

func (d *Feed) answer(r *rpc.SyncRequest, s *config.Snapshot) *rpc.SyncResponse {
	held := r.GetHeld()
	if r.GetWhole() {
		held = 0
	}
	if s.Version() <= held && !d.differs(r, s) {
		return &rpc.SyncResponse{}
	}
	if s.Version() < r.GetHeld() {
		return &rpc.SyncResponse{}
	}
	if s.Version() == held {
		held = 0 // same version with another digest: only a whole snapshot repairs it
	}
	return d.transfer(held, s)
}

// differs reports whether the requester holds the same version with another content.
func (d *Feed) differs(r *rpc.SyncRequest, s *config.Snapshot) bool {
	if r.GetDigest() == nil || r.GetHeld() != s.Version() {
		return false
	}
	return !proto.Equal(r.GetDigest(), s.Digest().Wire())
}

// transfer returns the delta from held to s, packed where that is smaller; whole snapshots take from the budget.
func (d *Feed) transfer(held uint64, s *config.Snapshot) *rpc.SyncResponse {
	if held == 0 {
		after, ok := d.budget.Take(time.Now())
		if !ok {
			return &rpc.SyncResponse{After: max(after.Milliseconds(), 1)}
		}
	}
	resp := d.cached(held, s)
	if held == 0 {
		d.given()
		took := time.Duration(len(resp.GetPacked())) * time.Second / transferRate
		time.AfterFunc(took, func() { d.budget.Done(took) })
	}
	return &rpc.SyncResponse{Delta: resp.GetDelta(), Packed: resp.GetPacked()}
}

// cached packs each delta to the newest version once, however many nodes hold the same base.
func (d *Feed) cached(held uint64, s *config.Snapshot) *rpc.SyncResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.target != s.Version() {
		d.target = s.Version()
		clear(d.packed)
	}
	resp, ok := d.packed[held]
	if !ok {
		resp = d.pack(held, s)
		d.packed[held] = resp
	}
	return resp
}

func (d *Feed) pack(held uint64, s *config.Snapshot) *rpc.SyncResponse {
	delta, ok := s.Delta(held)
	if held == 0 || !ok {
		delta = s.Whole()
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(delta)
	if err != nil || len(raw) < packMinBytes {
		return &rpc.SyncResponse{Delta: delta}
	}
	return &rpc.SyncResponse{Packed: d.encoder.EncodeAll(raw, nil)}
}

// Unpack returns the delta of a response, or nil when it has none.
func Unpack(decoder *zstd.Decoder, r *rpc.SyncResponse) (*wire.Delta, error) {
	if len(r.GetPacked()) == 0 {
		return r.GetDelta(), nil
	}
	raw, err := decoder.DecodeAll(r.GetPacked(), nil)
	if err != nil {
		return nil, fmt.Errorf("unpack delta: %w", err)
	}
	delta := &wire.Delta{}
	if err := proto.Unmarshal(raw, delta); err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	return delta, nil
}

package host

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/relay"
	"godwitspindle/core/wire"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

// lateReport is how long after a version a relay reports even if nodes below it lag.
const lateReport = 300 * time.Millisecond

func (h *Host) startFeed() error {
	options := []peer.FeedOption{
		peer.WithTransfers(transfersOf(h.settings)),
		peer.WithAge(h.age),
		peer.WithReport(h.heard),
		peer.WithGiven(h.metrics.Given.Inc),
		peer.WithLeader(h.leader),
	}
	if h.control != nil {
		options = append(options, peer.WithRedirect(h.redirect))
	}
	if h.settings.Profile == process.Thrifty {
		options = append(options, peer.WithCoalesce(thriftyCoalesce))
	}
	feed, err := peer.NewFeed(h.holder, options...)
	h.feed = feed
	h.floors = peer.NewRounds(h.readFloor)
	return err
}

func (h *Host) startFollower() error {
	options := []peer.FollowerOption{
		peer.WithIdentity(h.settings.Name, h.incarnation),
		peer.WithFollowerDomain(h.settings.Domain),
		peer.WithParents(h.parents),
		peer.WithReports(h.report),
		peer.WithLost(h.retell),
		peer.WithMoved(h.retell),
		peer.WithPoll(pollOf(h.settings)),
		peer.WithTransfer(transferTime(h.settings.Link)),
		peer.WithMismatch(h.metrics.Mismatches.Inc),
		peer.WithTaken(h.taken),
		peer.WithSynced(h.synced),
		peer.WithFollowerLog(h.log.WithName("follower")),
	}
	if slack := h.settings.Timing.Slack; slack > 0 {
		options = append(options, peer.WithSlack(slack))
	}
	if b := h.settings.Timing.Backoff; b > 0 {
		options = append(options, peer.WithBackoff(b))
	}
	if pause := h.settings.Timing.Swap; pause > 0 {
		options = append(options, peer.WithSwapPause(pause))
	}
	if stale := h.settings.Timing.Stale; stale > 0 {
		options = append(options, peer.WithStale(stale))
	}
	if h.control != nil {
		options = append(options, peer.WithFloor(h.current), peer.WithLeading(h.leadsAt))
	}
	f, err := peer.NewFollower(h.holder, h.clients, options...)
	if err != nil {
		return err
	}
	h.follower.Store(f)
	h.announce.Store(newAnnouncer(announcerParts{
		current: h.announceable,
		agreed:  func() *config.Snapshot { return h.holder.View().Snapshot },
		send:    h.proposer.Announce,
		log:     h.log,
	}))
	return nil
}

// synced follows an answered poll.
func (h *Host) synced(r *rpc.SyncResponse, v peer.View) {
	h.upstream.learn(r, v)
	h.adopt(v)
}

// announceable returns what the node announces now, or nil while it may still have to take up endpoints that the agreed set
// names: an announcement without them would remove them. A backend server that has announced itself since the start of the
// node is all that there is.
func (h *Host) announceable() *rpc.AnnounceRequest {
	if h.adopted.window > 0 {
		if !h.holder.Serving() && len(h.backend.Endpoints()) == 0 {
			return nil
		}
		h.adopt(h.holder.View())
	}
	return h.announcement(false)
}

// parents returns the upstreams; the leader has none, since all others take from it.
func (h *Host) parents() []netip.AddrPort {
	if h.control != nil {
		h.upstream.lead(h.control.leaderName(), h.holder.View())
	}
	if h.Leads() {
		return nil
	}
	return h.upstream.order()
}

// leadsAt reports whether an address is that of the leader that the control replica of this process hears.
func (h *Host) leadsAt(address netip.AddrPort) bool {
	leader := h.control.leaderName()
	for _, r := range h.known.replicas() {
		if leader != "" && r.Name == leader {
			return r.Address == address
		}
	}
	return false
}

// leader returns the name of the leading replica as far as this node knows.
func (h *Host) leader() string {
	if h.control != nil {
		return h.control.leaderName()
	}
	return h.upstream.leading()
}

// age returns the time since the last quorum confirmation that this node knows of.
func (h *Host) age() time.Duration {
	if h.control != nil {
		return h.control.replica.Confirmed()
	}
	f := h.follower.Load()
	if f == nil {
		return -1
	}
	return f.Age()
}

// heard takes the report part of a Sync from a node below.
func (h *Host) heard(r *rpc.SyncRequest, number uint64) {
	now := time.Now()
	order := relay.Order{Incarnation: r.GetIncarnation(), Number: number}
	if r.GetMoved() {
		h.tracker.Forget(now, r.GetNode(), order)
		h.acknowledged(h.holder.View().Snapshot.Version()) // it may have been the last that was behind
		return
	}
	joined := h.tracker.HeardInOrder(now, r.GetNode(), r.GetHeld(), r.GetReport(), order)
	if h.control != nil {
		h.control.leases.Heard(now, r.GetNode(), r.GetReport().GetAlive())
	}
	f := h.follower.Load()
	if h.Leads() || f == nil {
		return
	}
	held := h.holder.View().Snapshot.Version()
	if joined {
		h.reported.Store(0) // it may be behind, and must be reported again when it has caught up
		f.Nudge()
		return
	}
	if r.GetHeld() >= held {
		h.acknowledged(held)
	}
}

// taken counts what came into force by a transfer.
func (h *Host) taken(whole bool) {
	if whole {
		h.metrics.Whole.Inc()
		return
	}
	h.metrics.Deltas.Inc()
}

// retell prepares the reports for an upstream that knows nothing of what was told before, or that may have missed a report.
func (h *Host) retell() {
	h.reported.Store(0)
	h.tracker.Retell(time.Now())
}

// acknowledged sends the report upward as soon as every node below holds the version.
func (h *Host) acknowledged(held uint64) {
	f := h.follower.Load()
	if f == nil || h.Leads() || h.tracker.Children() == 0 {
		return
	}
	if h.tracker.Lowest() < held {
		h.reported.Store(0)
		return
	}
	if h.reported.Swap(held) == held {
		return
	}
	f.Nudge()
}

// reportLate tells the upstream who is behind when not all nodes below have taken a version in time.
func (h *Host) reportLate() {
	held := h.holder.View().Snapshot.Version()
	if f := h.follower.Load(); f != nil && !h.Leads() && h.tracker.Children() > 0 && h.reported.Load() != held {
		f.Nudge()
	}
}

// report returns what goes upward with a Sync; a node with nobody below sends none, since its poll says it all.
// Reports flow only from relays to replicas and from replicas to the leader: relays that help each other while the
// source is out would otherwise pass the names of dead nodes around in a circle.
func (h *Host) report(parent netip.AddrPort, held uint64) *wire.Report {
	if h.tracker.Children() == 0 || !h.upstream.reportsTo(parent) {
		return nil
	}
	return h.tracker.Report(time.Now(), held)
}

// readFloor reads a quorum-confirmed version: from this replica if it leads, else from the replicas in turn.
func (h *Host) readFloor(ctx context.Context) (uint64, error) {
	if h.control != nil {
		return h.control.replica.Read(ctx)
	}
	return h.askFloor(ctx)
}

// current reads a quorum-confirmed version through whichever replica leads.
func (h *Host) current(ctx context.Context) (uint64, error) {
	if h.Leads() {
		return h.floors.Do(ctx)
	}
	return h.askFloor(ctx)
}

// askFloor asks the replicas in turn, the leader first; only the leader answers.
func (h *Host) askFloor(ctx context.Context) (uint64, error) {
	return peer.InTurn(h.upstream.replicas(), func(a netip.AddrPort) (uint64, error) {
		resp, err := h.clients.At(a).Floor(ctx, connect.NewRequest(&rpc.FloorRequest{}))
		if err != nil {
			return 0, fmt.Errorf("read the floor from %s: %w", a, err)
		}
		return resp.Msg.GetVersion(), nil
	})
}

// propose commits a command on this replica if it leads.
func (h *Host) propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	if c.GetChange() != nil && !h.control.durable() {
		return nil, &FormingError{Losses: h.control.losses}
	}
	return h.control.replica.Propose(ctx, c)
}

// peerServer returns the handlers of the inner protocol.
func (h *Host) peerServer() *peer.Server {
	s := &peer.Server{OnSync: h.feed.Sync, OnFloor: h.floors.Do}
	if h.control != nil {
		s.OnDeliver = func(m agreement.Message) { h.control.replica.Step(m) }
		s.OnPropose = h.propose
		s.OnAnnounce = h.control.announce
		s.OnStatus = h.control.status
		s.OnReplicas = h.control.replicas
	}
	return s
}

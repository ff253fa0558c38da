package host

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/core/config"
	"godwitspindle/core/relay"
	"godwitspindle/core/wire"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

// lateReportDelay is the time after a new version at which a relay reports even if nodes below it do not have the version yet.
const lateReportDelay = 300 * time.Millisecond

func (h *Host) startFeed() error {
	options := []peer.FeedOption{
		peer.WithTransfers(maxTransfers(h.settings)),
		peer.WithAge(h.confirmationAge),
		peer.WithReport(h.handleReport),
		peer.WithSnapshotSent(h.metrics.FullTransfersSent.Inc),
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
	h.floors = peer.NewSharedRead(h.readFloor)
	return err
}

func (h *Host) startFollower() error {
	options := []peer.FollowerOption{
		peer.WithIdentity(h.settings.Name, h.incarnation),
		peer.WithFollowerDomain(h.settings.Domain),
		peer.WithUpstreams(h.upstreams),
		peer.WithReports(h.report),
		peer.WithReportLost(h.resetReports),
		peer.WithUpstreamChanged(h.resetReports),
		peer.WithPoll(pollInterval(h.settings)),
		peer.WithTransfer(transferTime(h.settings.Link)),
		peer.WithMismatch(h.metrics.DigestMismatches.Inc),
		peer.WithVersionApplied(h.countTransfer),
		peer.WithSynced(h.handlePoll),
		peer.WithFollowerLog(h.log.WithName("follower")),
	}
	if slack := h.settings.Timing.Slack; slack > 0 {
		options = append(options, peer.WithSlack(slack))
	}
	if b := h.settings.Timing.Backoff; b > 0 {
		options = append(options, peer.WithBackoff(b))
	}
	if pause := h.settings.Timing.VersionPause; pause > 0 {
		options = append(options, peer.WithVersionPause(pause))
	}
	if stale := h.settings.Timing.Stale; stale > 0 {
		options = append(options, peer.WithStale(stale))
	}
	if h.control != nil {
		options = append(options, peer.WithFloor(h.confirmedVersion), peer.WithIsLeader(h.leadsAt))
	}
	f, err := peer.NewFollower(h.holder, h.clients, options...)
	if err != nil {
		return err
	}
	h.follower.Store(f)
	h.rollouts.start()
	h.announce.Store(newAnnouncer(announcerParts{
		current:  h.announceable,
		agreed:   func() *config.Snapshot { return h.holder.View().Snapshot },
		send:     h.proposer.Announce,
		departed: h.leaderKnowsDepartures,
		log:      h.log,
	}))
	return nil
}

// handlePoll takes the leader and any redirect from the answer to a poll, and adopts endpoints at the first served version.
func (h *Host) handlePoll(r *rpc.SyncResponse, v peer.View) {
	h.upstream.applyResponse(r, v)
	h.adopt(v)
}

// announceable returns the current announcement of the node. With WithAdopted, it returns nil until the node serves a version or
// a backend server announces itself. Before that, the agreed set may list endpoints that the node must adopt, and an
// announcement without them removes them.
func (h *Host) announceable() *rpc.AnnounceRequest {
	if h.adopted.window > 0 {
		if !h.holder.Serving() && len(h.backend.Endpoints()) == 0 {
			return nil
		}
		h.adopt(h.holder.View())
	}
	return h.announcement(false)
}

// upstreams returns the upstreams in order of preference. The leader has none, because all other nodes follow it.
func (h *Host) upstreams() []netip.AddrPort {
	if h.control != nil {
		h.upstream.setLeader(h.control.leaderName(), h.holder.View())
	}
	if h.Leads() {
		return nil
	}
	return h.upstream.preferred()
}

// leadsAt reports whether the address belongs to the leader that the local control replica knows.
func (h *Host) leadsAt(address netip.AddrPort) bool {
	leader := h.control.leaderName()
	for _, r := range h.directory.replicas() {
		if leader != "" && r.Name == leader {
			return r.Address == address
		}
	}
	return false
}

// leader returns the name of the leader as far as this node knows it, or an empty string.
func (h *Host) leader() string {
	if h.control != nil {
		return h.control.leaderName()
	}
	return h.upstream.leaderName()
}

// confirmationAge returns the time since the last quorum confirmation known to this node, or a negative value if there was
// none.
func (h *Host) confirmationAge() time.Duration {
	if h.control != nil {
		return h.control.replica.Confirmed()
	}
	f := h.follower.Load()
	if f == nil {
		return -1
	}
	return f.Age()
}

// handleReport records the version and the report that a node below sends with its Sync request, and reports upstream if the
// node is new or all nodes below now hold the version in force. On a replica, it also renews the leases.
func (h *Host) handleReport(r *rpc.SyncRequest, number uint64) {
	now := time.Now()
	order := relay.PollOrder{Incarnation: r.GetIncarnation(), Number: number}
	if r.GetMoved() {
		h.tracker.RemoveChild(now, r.GetNode(), order)
		h.reportComplete(h.holder.View().Snapshot.Version()) // it may have been the last node that was behind
		return
	}
	joined := h.tracker.RecordOrderedPoll(now, r.GetNode(), r.GetHeld(), r.GetReport(), order)
	if h.control != nil {
		h.control.leases.Renew(now, r.GetNode(), r.GetReport().GetAlive())
	}
	f := h.follower.Load()
	if h.Leads() || f == nil {
		return
	}
	version := h.holder.View().Snapshot.Version()
	if joined {
		h.reportedVersion.Store(0) // the new node may be behind, so completion must be reported again
		f.SendReportNow()
		return
	}
	if r.GetHeld() >= version {
		h.reportComplete(version)
	}
}

// countTransfer counts a version received as a whole snapshot or as a delta.
func (h *Host) countTransfer(snapshot bool) {
	if snapshot {
		h.metrics.FullTransfers.Inc()
		return
	}
	h.metrics.DeltaTransfers.Inc()
}

// resetReports makes the next report name all nodes, for an upstream that is new or may have missed a report.
func (h *Host) resetReports() {
	h.reportedVersion.Store(0)
	h.tracker.ResendNames(time.Now())
}

// reportComplete sends a report upstream once every node below holds the version.
func (h *Host) reportComplete(version uint64) {
	f := h.follower.Load()
	if f == nil || h.Leads() || h.tracker.Children() == 0 {
		return
	}
	if h.tracker.LowestVersion() < version {
		h.reportedVersion.Store(0)
		return
	}
	if h.reportedVersion.Swap(version) == version {
		return
	}
	f.SendReportNow()
}

// reportIncomplete tells the upstream which nodes are behind if not all nodes below took the version within lateReportDelay.
func (h *Host) reportIncomplete() {
	version := h.holder.View().Snapshot.Version()
	if f := h.follower.Load(); f != nil && !h.Leads() && h.tracker.Children() > 0 && h.reportedVersion.Load() != version {
		f.SendReportNow()
	}
}

// report returns the report for a Sync request. A node without nodes below sends none, because the poll itself says which
// version the node has. Relays report only to replicas, and replicas only to the leader: relays may follow each other while the
// replicas are unreachable, and would otherwise pass the names of dead nodes around in a circle.
func (h *Host) report(address netip.AddrPort, version uint64) *wire.Report {
	if h.tracker.Children() == 0 || !h.upstream.reportsTo(address) {
		return nil
	}
	return h.tracker.Report(time.Now(), version)
}

// readFloor reads a quorum-confirmed version: from the local control replica if there is one, else from the leader.
func (h *Host) readFloor(ctx context.Context) (uint64, error) {
	if h.control != nil {
		return h.control.replica.Read(ctx)
	}
	return h.askFloor(ctx, false)
}

// confirmedVersion reads a quorum-confirmed version from the leader, whichever replica that is.
func (h *Host) confirmedVersion(ctx context.Context) (uint64, error) {
	return h.readConfirmed(ctx, false)
}

// readConfirmed is confirmedVersion; with wait, it waits for a leader while a majority is heard. A leader that can no longer
// confirm a read steps down, and then the others are asked.
func (h *Host) readConfirmed(ctx context.Context, wait bool) (uint64, error) {
	if h.Leads() {
		version, err := h.floors.Do(ctx)
		if err == nil || ctx.Err() != nil || !wait {
			return version, err
		}
	}
	return h.askFloor(ctx, wait)
}

// askFloor asks the replicas. Only the leader answers.
func (h *Host) askFloor(ctx context.Context, wait bool) (uint64, error) {
	return askReplicas(ctx, h, wait, func(ctx context.Context, a netip.AddrPort) (uint64, error) {
		resp, err := h.clients.At(a).Floor(ctx, connect.NewRequest(&rpc.FloorRequest{}))
		if err != nil {
			return 0, fmt.Errorf("read the floor from %s: %w", a, err)
		}
		return resp.Msg.GetVersion(), nil
	})
}

// propose commits a command if the local replica is the leader. Configuration changes, orders of rollouts and departures, which are
// acknowledged to those who sent them, are refused until there are enough voters to bear the configured losses.
func (h *Host) propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	acknowledged := c.GetChange() != nil || c.GetOrder() != nil || len(c.GetMembership().GetDeparted()) > 0
	if acknowledged && !h.control.durable() {
		return nil, &FormingError{Losses: h.control.maxLosses}
	}
	return h.control.replica.Propose(ctx, c)
}

// peerServer returns the handlers of the protocol between nodes.
func (h *Host) peerServer() *peer.Server {
	s := &peer.Server{OnSync: h.feed.Sync, OnFloor: h.floors.Do}
	if h.control != nil {
		s.OnDeliver = h.control.replica.Step
		s.OnPropose = h.propose
		s.OnAnnounce = h.control.announce
		s.OnStatus = h.control.status
		s.OnReplicas = h.control.replicas
		s.OnQuota = h.quotas.handle
		s.OnOutcomes = h.control.outcomes
	}
	return s
}

package host

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/core/lease"
	"godwitspindle/core/relay"
	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
	"godwitspindle/io/replica"
	"godwitspindle/io/rpc"
)

const (
	dutyInterval   = 20 * time.Millisecond // time between two runs of performDuties
	expiryInterval = time.Second           // time between two checks for expired leases
	memberTimeout  = 3 * time.Second       // limit for one membership command, change of the member set or read of the floor
	// measureDivisor spaces the checks of a pending version: the next check comes after 1/50 of its age at the earliest,
	// because a dead node keeps it pending until the lease of the node expires.
	measureDivisor = 50
	maxPending     = 256 // limit for the kept pending versions and for the kept finished measurements, each
)

// controlParts are the parts of the process that the control replica uses.
type controlParts struct {
	clients       *peer.Clients
	sender        *peer.Sender
	holder        *peer.Holder
	tracker       *relay.Tracker
	directory     *directory
	metrics       *process.Metrics
	leaderChanged func() // called when the leader changes
	log           logr.Logger
}

// control is the control replica of a process and performs the duties of the leader.
type control struct {
	controlParts
	name      string
	maxLosses int           // how many replicas may lose their data at the same time
	catchUp   time.Duration // time after which a successor must have replaced a lost replica
	replica   *replica.Replica
	leases    *lease.Table
	rollouts  *rolloutLeader

	mu    sync.Mutex // guards store
	store *store.Store

	applied     chan struct{} // signaled after a command is applied
	convergence convergence

	// The next six fields are used only by the goroutine of runDuties.
	leading      bool
	leader       string    // name of the leader at the last run of performDuties
	lastExpiry   time.Time // time of the last check for expired leases
	lastMeasured time.Time // time of the last check whether the oldest pending version is in force on all nodes
	lastRollouts time.Time // time of the last decision on the running rollouts
	voters       votersLog

	attempted    atomic.Pointer[changeAttempt] // last planned change of the member set; nil for none
	failedChange time.Time                     // time of the last log line about a failed change of the member set; used only by maintainMembers

	stop context.CancelFunc
	wait sync.WaitGroup
}

// newControl starts the control replica on its data folder.
func newControl(s *process.Settings, p controlParts) (*control, error) {
	c := &control{
		controlParts: p,
		name:         s.Name,
		maxLosses:    s.Seeds.Losses,
		catchUp:      cmp.Or(s.Seeds.CatchUp, agreement.DefaultCatchUp),
		rollouts:     newRolloutLeader(rolloutPolicy(s.Rollouts)),
		store:        store.New(),
		applied:      make(chan struct{}, 1),
	}
	c.leases = lease.New(lease.WithLease(leaseTime(s)), lease.WithEnded(c.hasEnded))
	options := []replica.Option{
		replica.WithFolder(s.Data),
		replica.WithName(s.Name),
		replica.WithFounders(p.directory.founders()...),
		replica.WithDisk(disk.WithSync(timedSync(p.metrics.FsyncTime.Observe))),
		replica.WithSend(p.sender.Send),
		replica.WithApply(c.apply),
		replica.WithMarshal(c.marshal),
		replica.WithRestore(c.restore),
		replica.WithVersion(c.version),
		replica.WithStateTime(c.stateTime),
		replica.WithPeerClock(p.sender.Clock),
		replica.WithApplied(func(uint64) { c.signal() }),
		replica.WithPaused(c.paused),
		replica.WithSnapshotFailed(func(err error) { c.log.Error(err, "snapshot not saved, the log grows until the disk has room for it") }),
		replica.WithSkipped(func(index uint64, entries int) {
			c.log.Info("membership entries left out, they cannot be decoded; check that all replicas run the same version", "index", index, "entries", entries)
		}),
	}
	if s.Timing.Election > 0 {
		options = append(options, replica.WithElection(s.Timing.Election, s.Timing.Heartbeat))
	}
	r, err := replica.New(options...)
	if err != nil {
		return nil, err
	}
	c.replica = r
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.forgetVoters()
	c.wait.Go(func() { c.publish(ctx) })
	c.wait.Go(func() { c.runDuties(ctx) })
	if p.directory.seeded() {
		c.wait.Go(func() { c.maintainMembers(ctx) })
	}
	return c, nil
}

// paused logs when the replica pauses because its disk is full (err is set) and when it resumes (err is nil).
func (c *control) paused(err error) {
	if err != nil {
		c.log.Error(err, "control replica paused")
		return
	}
	c.log.Info("control replica resumed")
}

// close stops the background work, then the replica.
func (c *control) close() error {
	c.stop()
	c.wait.Wait()
	return c.replica.Close()
}

func (c *control) apply(index uint64, cmd *wire.Command) *wire.Result {
	c.metrics.Commits.Inc()
	c.mu.Lock()
	before := c.store.Snapshot().Version()
	result := c.store.Apply(index, cmd)
	after := c.store.Snapshot().Version()
	c.mu.Unlock()
	if m := cmd.GetMembership(); m != nil {
		c.leases.Applied(time.Now(), m)
	}
	if after > before {
		c.convergence.begin(after, time.Now())
	}
	return result
}

// shorten replaces a whole content by an edit of the newest content of this replica if the edit is smaller.
func (c *control) shorten(change *wire.Change) *wire.Change {
	c.mu.Lock()
	base := c.store.Base()
	c.mu.Unlock()
	short := base.EncodeEdit(change)
	if change.GetContent() != nil {
		c.metrics.ContentChanges.WithLabelValues(formOf(short)).Inc()
	}
	return short
}

// formOf returns the metrics label for the form in which a content is proposed.
func formOf(c *wire.Change) string {
	if c.GetEdit() != nil {
		return "edit"
	}
	return "whole"
}

func (c *control) marshal() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Marshal()
}

func (c *control) restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Restore(data)
}

func (c *control) stateTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Time()
}

func (c *control) version() uint64 { return c.snapshot().Version() }

func (c *control) snapshot() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Snapshot()
}

func (c *control) signal() {
	select {
	case c.applied <- struct{}{}:
	default:
	}
}

// runDuties performs the leader's work at each tick: membership commands, lease expiry and convergence measurement.
func (c *control) runDuties(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.performDuties(ctx, now)
		}
	}
}

// performDuties runs at each tick. A replica that is not the leader only tracks the term and the leader.
func (c *control) performDuties(ctx context.Context, now time.Time) {
	st := c.replica.Status()
	c.metrics.Term.Set(float64(st.Term))
	if l := agreement.Name(st.Leader); l != c.leader {
		c.leader = l
		c.leaderChanged()
	}
	if st.Role != agreement.Leader {
		c.endLeading(now, st)
		return
	}
	if !c.leading {
		c.beginLeading(now)
	}
	if now.Sub(c.lastExpiry) >= expiryInterval {
		c.lastExpiry = now
		c.observeVoters(now, st)
		c.leases.Renew(now, c.name, nil) // the leader has no upstream that would name it in a report
		for _, e := range c.leases.Expire(now) {
			c.log.Info("lease expired", "node", e.Node, "endpoint", e.Endpoint, "silent", e.Silent.String())
		}
	}
	if m := c.leases.Next(now); m != nil {
		c.commit(ctx, m)
	}
	c.proveFloor(ctx)
	c.advanceRollouts(ctx, now)
	c.measure(now)
}

// proveFloor proves the floor of the leader's own node, which has no upstream to get it from, unless it is already proven.
func (c *control) proveFloor(ctx context.Context) {
	if c.holder.Proven() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	version, err := c.replica.Read(ctx)
	if err != nil {
		c.log.V(1).Info("floor not proven, the quorum read failed", "error", err.Error())
		return
	}
	c.holder.Prove(version)
	c.log.Info("floor proven", "floor", version)
}

// endLeading ends the duties of a replica that is no longer the leader.
func (c *control) endLeading(now time.Time, st agreement.Status) {
	if !c.leading {
		return
	}
	c.leading = false
	c.leases.Stop()
	c.rollouts.reset()
	c.metrics.RolloutShare.Reset()
	c.metrics.Leader.Set(0)
	c.forgetVoters()
	c.log.Info("leadership ended", "term", st.Term, "leader", agreement.Name(st.Leader), "silent", describeSilence(now, st))
}

// beginLeading gives every member a full lease, because the new leader does not know when it last heard from them.
func (c *control) beginLeading(now time.Time) {
	c.leading = true
	c.lastExpiry = now
	nodes, endpoints := c.snapshot().Members()
	c.leases.Reset(now, nodes, endpoints)
	c.convergence.reset()
	c.rollouts.reset()
	c.metrics.Leader.Set(1)
	c.log.Info("leadership began", "nodes", len(nodes), "endpoints", len(endpoints))
}

// commit proposes a membership command, and stages the command again if the proposal fails.
func (c *control) commit(ctx context.Context, m *wire.Membership) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	_, err := c.replica.Propose(ctx, &wire.Command{Body: &wire.Command_Membership{Membership: m}})
	if err != nil {
		c.log.Info("membership command not committed, it is staged again", "error", err.Error())
		c.leases.Failed(m)
		return
	}
	c.log.Info("membership committed", "joins", len(m.GetJoins()), "endpoints", len(m.GetEndpoints()),
		"leaves", len(m.GetLeaves()), "removed", len(m.GetRemoved()))
}

// measure records the convergence time of versions that are now in force on all nodes.
func (c *control) measure(now time.Time) {
	version, at, ok := c.convergence.oldest()
	if !ok || now.Sub(c.lastMeasured) < now.Sub(at)/measureDivisor {
		return
	}
	c.lastMeasured = now
	v := c.holder.View()
	nodes := nodeNames(v.Table)
	for ; ok; version, _, ok = c.convergence.oldest() {
		count, _ := c.tracker.InForce(now, version, v.Snapshot.Version(), nodes)
		if count < len(nodes) {
			return
		}
		spread := c.convergence.finish(version, now)
		c.metrics.Convergence.Observe(spread.Seconds())
		c.log.Info("in force everywhere", "version", version, "nodes", count, "spread", spread.String())
	}
}

// status returns the replicas and, for the requested version (0 means the newest), its convergence time and the nodes on which
// it is and is not in force. Only the leader answers.
func (c *control) status(_ context.Context, r *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	st := c.replica.Status()
	if st.Role != agreement.Leader {
		return nil, &agreement.NotLeaderError{Leader: st.Leader}
	}
	version := r.GetVersion()
	if version == 0 {
		version = c.version()
	}
	v := c.holder.View()
	count, behind := c.tracker.InForce(time.Now(), version, v.Snapshot.Version(), nodeNames(v.Table))
	return &rpc.StatusResponse{
		Version:  version,
		Leader:   agreement.Name(st.Leader),
		Voters:   st.Members.Voters,
		Learners: st.Members.Learners,
		Report:   &wire.Report{Count: uint32(count), Laggards: behind},
		Spread:   c.convergence.milliseconds(version),
		Replicas: c.members(st),
		Health:   c.health(time.Now(), st, c.target()),
	}, nil
}

// leaderName returns the name of the leader, or an empty string if it is unknown.
func (c *control) leaderName() string { return agreement.Name(c.replica.Leader()) }

func nodeNames(t *config.RoutingTable) []string {
	names := make([]string, 0, len(t.Nodes()))
	for _, n := range t.Nodes() {
		names = append(names, n.Name)
	}
	return names
}

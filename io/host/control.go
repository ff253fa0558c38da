package host

import (
	"context"
	"sync"
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
	dutyInterval   = 20 * time.Millisecond // how often the leader looks for staged membership and for acknowledgements
	expiryInterval = time.Second
	memberTimeout  = 3 * time.Second // one membership command
	measureShare   = 50              // a pending version is looked for at every fiftieth of its age, since a dead node keeps it pending for a lease
	maxPending     = 256             // versions whose spread is being measured
)

// controlParts are the parts of the process that its control replica uses.
type controlParts struct {
	clients       *peer.Clients
	courier       *peer.Courier
	holder        *peer.Holder
	tracker       *relay.Tracker
	known         *directory
	metrics       *process.Metrics
	leaderChanged func() // called when another replica leads
	log           logr.Logger
}

// control is the control replica of a process with its leader's duties.
type control struct {
	controlParts
	name    string
	losses  int // replicas that may be lost at once with their data
	replica *replica.Replica
	leases  *lease.Table

	mu    sync.Mutex // guards store
	store *store.Store

	applied chan struct{} // signalled when a command was applied
	spreads spreads

	// Used only by duties.
	leading  bool
	leader   string    // at the last turn
	expired  time.Time // when leases were last looked through
	measured time.Time // when the oldest pending version was last looked for on every node

	stop context.CancelFunc
	wait sync.WaitGroup
}

// newControl starts the control replica on the data folder.
func newControl(s *process.Settings, p controlParts) (*control, error) {
	c := &control{
		controlParts: p,
		name:         s.Name,
		losses:       s.Seeds.Losses,
		leases:       lease.New(lease.WithLease(leaseOf(s))),
		store:        store.New(),
		applied:      make(chan struct{}, 1),
	}
	options := []replica.Option{
		replica.WithFolder(s.Data),
		replica.WithName(s.Name),
		replica.WithNames(p.known.founders()...),
		replica.WithDisk(disk.WithSync(timed(p.metrics.Sync.Observe))),
		replica.WithSend(p.courier.Send),
		replica.WithApply(c.apply),
		replica.WithMarshal(c.marshal),
		replica.WithRestore(c.restore),
		replica.WithVersion(c.version),
		replica.WithStateTime(c.stateTime),
		replica.WithClocks(p.courier.Clock),
		replica.WithApplied(func(uint64) { c.signal() }),
		replica.WithPaused(c.paused),
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
	c.wait.Go(func() { c.publish(ctx) })
	c.wait.Go(func() { c.duties(ctx) })
	if p.known.seeded() {
		c.wait.Go(func() { c.steward(ctx) })
	}
	return c, nil
}

// paused logs that the replica takes no part while its disk is full.
func (c *control) paused(err error) {
	if err != nil {
		c.log.Error(err, "control replica paused")
		return
	}
	c.log.Info("control replica goes on")
}

// close stops the duties and the replica.
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
		c.spreads.accepted(after, time.Now())
	}
	return result
}

// shorten returns a change in its shortest form by what this replica holds.
func (c *control) shorten(change *wire.Change) *wire.Change {
	c.mu.Lock()
	base := c.store.Base()
	c.mu.Unlock()
	short := base.Shorten(change)
	if change.GetContent() != nil {
		c.metrics.Edits.WithLabelValues(formOf(short)).Inc()
	}
	return short
}

// formOf names the form in which a whole content is proposed.
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

// publish offers the newest committed snapshot to the node's own holder, outside the replica's loop, since
// compiling a table takes longer than a commit.
func (c *control) publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.applied:
			if err := c.holder.Offer(c.snapshot()); err != nil {
				c.log.Error(err, "committed version not taken")
			}
		}
	}
}

// duties runs what only the leader does: membership commands, lease expiry and the measurement of convergence.
func (c *control) duties(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.turn(ctx, now)
		}
	}
}

func (c *control) turn(ctx context.Context, now time.Time) {
	st := c.replica.Status()
	c.metrics.Term.Set(float64(st.Term))
	if l := agreement.Name(st.Leader); l != c.leader {
		c.leader = l
		c.leaderChanged()
	}
	if st.Role != agreement.Leader {
		c.resign()
		return
	}
	if !c.leading {
		c.lead(now)
	}
	if now.Sub(c.expired) >= expiryInterval {
		c.expired = now
		c.leases.Heard(now, c.name, nil) // the leader has no relay that names it
		for _, e := range c.leases.Expire(now) {
			c.log.Info("lease expired", "node", e.Node, "endpoint", e.Endpoint, "silent", e.Silent.String())
		}
	}
	if m := c.leases.Next(now); m != nil {
		c.commit(ctx, m)
	}
	c.prove(ctx)
	c.measure(now)
}

// prove reads the floor for the node of the leader, which has no upstream that could give it.
func (c *control) prove(ctx context.Context) {
	if c.holder.Proven() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	version, err := c.replica.Read(ctx)
	if err != nil {
		c.log.V(1).Info("floor not proven", "error", err.Error())
		return
	}
	c.holder.Prove(version)
	c.log.Info("floor proven", "floor", version)
}

// resign ends the duties of a replica that no longer leads.
func (c *control) resign() {
	if !c.leading {
		return
	}
	c.leading = false
	c.leases.Stop()
	c.metrics.Leader.Set(0)
	c.log.Info("leadership ended")
}

// lead takes up the duties with a full lease for each member, since their silence before is not known.
func (c *control) lead(now time.Time) {
	c.leading = true
	c.expired = now
	nodes, endpoints := c.snapshot().Members()
	c.leases.Reset(now, nodes, endpoints)
	c.spreads.reset()
	c.metrics.Leader.Set(1)
	c.log.Info("leadership began", "nodes", len(nodes), "endpoints", len(endpoints))
}

// commit proposes a membership command; a failed one is staged again.
func (c *control) commit(ctx context.Context, m *wire.Membership) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	_, err := c.replica.Propose(ctx, &wire.Command{Body: &wire.Command_Membership{Membership: m}})
	if err != nil {
		c.log.Info("membership not committed", "error", err.Error())
		c.leases.Failed(m)
		return
	}
	c.log.Info("membership committed", "joins", len(m.GetJoins()), "endpoints", len(m.GetEndpoints()),
		"leaves", len(m.GetLeaves()), "removed", len(m.GetRemoved()))
}

// measure notes when versions come into force everywhere.
func (c *control) measure(now time.Time) {
	version, at, ok := c.spreads.oldest()
	if !ok || now.Sub(c.measured) < now.Sub(at)/measureShare {
		return
	}
	c.measured = now
	v := c.holder.View()
	nodes := nodeNames(v.Table)
	for ; ok; version, _, ok = c.spreads.oldest() {
		count, _ := c.tracker.Force(now, version, v.Snapshot.Version(), nodes)
		if count < len(nodes) {
			return
		}
		spread := c.spreads.done(version, now)
		c.metrics.Convergence.Observe(spread.Seconds())
		c.log.Info("in force everywhere", "version", version, "nodes", count, "spread", spread.String())
	}
}

// announce stages what a node announces; only the leader takes it.
func (c *control) announce(_ context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	st := c.replica.Status()
	if st.Role != agreement.Leader {
		return nil, &agreement.NotLeaderError{Leader: st.Leader}
	}
	staged := c.leases.Announce(time.Now(), r.GetNode(), r.GetEndpoints(), r.GetLeaving())
	c.log.V(1).Info("announcement", "node", r.GetNode().GetName(), "endpoints", len(r.GetEndpoints()),
		"leaving", r.GetLeaving(), "staged", staged)
	return &rpc.AnnounceResponse{Lease: c.leases.Lease().Milliseconds()}, nil
}

// status reports on how many nodes a version is in force; only the leader knows.
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
	count, behind := c.tracker.Force(time.Now(), version, v.Snapshot.Version(), nodeNames(v.Table))
	return &rpc.StatusResponse{
		Version:  version,
		Leader:   agreement.Name(st.Leader),
		Voters:   st.Members.Voters,
		Learners: st.Members.Learners,
		Report:   &wire.Report{Count: uint32(count), Laggards: behind},
		Spread:   c.spreads.of(version),
		Replicas: c.members(st),
	}, nil
}

// leaderName returns the name of the leading replica, or an empty string.
func (c *control) leaderName() string { return agreement.Name(c.replica.Leader()) }

func nodeNames(t *config.Table) []string {
	names := make([]string, 0, len(t.Nodes()))
	for _, n := range t.Nodes() {
		names = append(names, n.Name)
	}
	return names
}

package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// FollowerOption replaces a default of the Follower that NewFollower returns.
type FollowerOption func(*Follower)

// WithIdentity sets the node name and the incarnation of the process, which each request carries.
func WithIdentity(name string, incarnation uint64) FollowerOption {
	return func(f *Follower) { f.name, f.incarnation = name, incarnation }
}

// WithUpstreams sets the function that returns the upstream addresses in order of preference.
func WithUpstreams(list func() []netip.AddrPort) FollowerOption {
	return func(f *Follower) { f.upstreams = list }
}

// WithReports sets the function that returns the report for a request to an upstream; held is the version that the
// request reports.
func WithReports(r func(upstream netip.AddrPort, held uint64) *wire.Report) FollowerOption {
	return func(f *Follower) { f.report = r }
}

// WithPoll sets the longest time that an upstream waits for a newer version before it answers a poll without one.
func WithPoll(t time.Duration) FollowerOption { return func(f *Follower) { f.pollInterval = t } }

// WithSlack sets the time added to a poll's wait before the poll counts as failed.
func WithSlack(t time.Duration) FollowerOption { return func(f *Follower) { f.slack = t } }

// WithTransfer sets the time that a whole snapshot takes on the host's link. It is added to the timeout of each poll that may
// be answered with one; otherwise the transfer would never complete on a thin link.
func WithTransfer(t time.Duration) FollowerOption { return func(f *Follower) { f.transferTime = t } }

// WithStale sets the age of an upstream's last quorum confirmation above which the upstream is tried last, since it may be
// partitioned from the source; 0 for no limit.
func WithStale(t time.Duration) FollowerOption { return func(f *Follower) { f.staleAfter = t } }

// WithBackoff sets the longest delay between attempts after failures; 0 for the default of 10 s.
func WithBackoff(t time.Duration) FollowerOption { return func(f *Follower) { f.maxBackoff = t } }

// WithVersionPause sets the longest pause between two versions in close succession.
func WithVersionPause(t time.Duration) FollowerOption { return func(f *Follower) { f.swapPause = t } }

// WithMismatch sets the function called when a received delta cannot be applied, for instance on a digest mismatch, but not for a
// stale delta.
func WithMismatch(m func()) FollowerOption { return func(f *Follower) { f.mismatch = m } }

// WithVersionApplied sets the function called for each delta or whole snapshot that is put in force.
func WithVersionApplied(t func(whole bool)) FollowerOption {
	return func(f *Follower) { f.applied = t }
}

// WithSynced sets the function called after each poll with the answer and the view in force, unless the poll fails or its answer
// cannot be applied.
func WithSynced(s func(r *rpc.SyncResponse, v View)) FollowerOption {
	return func(f *Follower) { f.synced = s }
}

// WithReportLost sets the function called when a report may not have reached an upstream.
func WithReportLost(l func()) FollowerOption { return func(f *Follower) { f.reportLost = l } }

// WithUpstreamChanged sets the function called before the follower switches to another upstream; the new upstream has no
// earlier reports of this node.
func WithUpstreamChanged(m func()) FollowerOption { return func(f *Follower) { f.upstreamChanged = m } }

// WithIsLeader sets the function that reports whether an upstream is the leader and known to be alive. A replica can report only
// to the leader, so after a failed poll it tries the leader last for 500 ms at most.
func WithIsLeader(l func(p netip.AddrPort) bool) FollowerOption {
	return func(f *Follower) { f.isLeader = l }
}

// WithFloor sets the function that reads a quorum-confirmed version; the default asks the upstreams in order.
func WithFloor(read func(ctx context.Context) (uint64, error)) FollowerOption {
	return func(f *Follower) { f.readFloor = read }
}

// WithFollowerDomain sets the failure domain of the node, by which a replica chooses the relays to which it redirects the node.
func WithFollowerDomain(d string) FollowerOption { return func(f *Follower) { f.domain = d } }

// WithFollowerLog sets the logger; the default discards all output.
func WithFollowerLog(l logr.Logger) FollowerOption { return func(f *Follower) { f.log = l } }

package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithIdentity sets the node name and the incarnation of the process.
func WithIdentity(name string, incarnation uint64) FollowerOption {
	return func(f *Follower) { f.name, f.incarnation = name, incarnation }
}

// WithParents sets the function that lists upstream addresses in order of preference.
func WithParents(p func() []netip.AddrPort) FollowerOption {
	return func(f *Follower) { f.parents = p }
}

// WithReports sets the function that gives the report sent to a parent with each poll, for the version that the poll holds.
func WithReports(r func(parent netip.AddrPort, held uint64) *wire.Report) FollowerOption {
	return func(f *Follower) { f.report = r }
}

// WithPoll sets the poll interval.
func WithPoll(t time.Duration) FollowerOption { return func(f *Follower) { f.poll = t } }

// WithSlack sets the time on top of a poll's wait before the poll counts as failed.
func WithSlack(t time.Duration) FollowerOption { return func(f *Follower) { f.slack = t } }

// WithTransfer sets the time that a whole snapshot takes on the link of the host. A poll that may be answered with one is given it
// on top of the slack, since a thin link would never bring one whole otherwise.
func WithTransfer(t time.Duration) FollowerOption { return func(f *Follower) { f.transfer = t } }

// WithStale sets the age of the last quorum confirmation from which an upstream is tried last, since it may be cut off from
// the source; 0 for no limit.
func WithStale(t time.Duration) FollowerOption { return func(f *Follower) { f.stale = t } }

// WithBackoff sets the longest wait after a failure.
func WithBackoff(t time.Duration) FollowerOption { return func(f *Follower) { f.backoff = t } }

// WithSwapPause sets the longest pause between two versions that follow each other.
func WithSwapPause(t time.Duration) FollowerOption { return func(f *Follower) { f.swapPause = t } }

// WithMismatch sets a function that counts digest mismatches.
func WithMismatch(m func()) FollowerOption { return func(f *Follower) { f.mismatch = m } }

// WithTaken sets a function called for each delta or whole snapshot that came into force.
func WithTaken(t func(whole bool)) FollowerOption { return func(f *Follower) { f.taken = t } }

// WithSynced sets a function called after each answered poll with the answer and the view in force.
func WithSynced(s func(r *rpc.SyncResponse, v View)) FollowerOption {
	return func(f *Follower) { f.synced = s }
}

// WithLost sets a function called when a report did not reach an upstream.
func WithLost(l func()) FollowerOption { return func(f *Follower) { f.lost = l } }

// WithMoved sets a function called before another upstream is polled, which knows nothing of earlier reports.
func WithMoved(m func()) FollowerOption { return func(f *Follower) { f.moved = m } }

// WithLeading sets the function that recognizes the upstream that leads and is known to be alive. Only it takes the reports of a
// replica, so a failed poll keeps a replica away from it for a short time only.
func WithLeading(l func(p netip.AddrPort) bool) FollowerOption {
	return func(f *Follower) { f.leads = l }
}

// WithFloor replaces how a quorum-confirmed version is read; without it the upstreams are asked in order.
func WithFloor(read func(ctx context.Context) (uint64, error)) FollowerOption {
	return func(f *Follower) { f.floor = read }
}

// WithFollowerDomain sets the failure domain, by which a replica names the relays to ask.
func WithFollowerDomain(d string) FollowerOption { return func(f *Follower) { f.domain = d } }

// WithFollowerLog sets the log.
func WithFollowerLog(l logr.Logger) FollowerOption { return func(f *Follower) { f.log = l } }

package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

const (
	claimBatch   = 512                   // claims in one RPC
	claimRounds  = 4                     // RPCs with claims in flight at once
	resendDelay  = 50 * time.Millisecond // between rounds over all replicas
	proposeLimit = 2 * time.Second       // one try at one replica
)

// DoubtError reports a proposal that may or may not have been accepted.
type DoubtError struct{ Err error }

// Error shows the last cause.
func (e *DoubtError) Error() string { return "no replica confirmed the proposal: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Err }

// ResultCountError reports an answer whose results do not match the claims that were sent.
type ResultCountError struct{ Got, Want int }

// Error names both numbers.
func (e *ResultCountError) Error() string {
	return fmt.Sprintf("got %d claim results, want %d", e.Got, e.Want)
}

// Proposer sends commands to the replicas and batches concurrent claims.
type Proposer struct {
	clients  *Clients
	replicas func() []netip.AddrPort // leader first
	log      logr.Logger
	claims   chan pendingClaim
	backoff  time.Duration // longest wait between rounds of announcements; 0 for the default
	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
}

// ProposerOption configures a Proposer.
type ProposerOption func(*Proposer)

// WithAnnounceBackoff sets the longest wait after an announcement that no replica accepted.
func WithAnnounceBackoff(t time.Duration) ProposerOption {
	return func(p *Proposer) { p.backoff = t }
}

type pendingClaim struct {
	ctx    context.Context
	claim  *wire.Claim
	answer chan claimAnswer
}

type claimAnswer struct {
	result *wire.ClaimResult
	err    error
}

// NewProposer starts the claim batchers; Close stops them.
func NewProposer(clients *Clients, replicas func() []netip.AddrPort, log logr.Logger, opts ...ProposerOption) *Proposer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Proposer{
		clients:  clients,
		replicas: replicas,
		log:      log,
		claims:   make(chan pendingClaim, claimBatch),
		ctx:      ctx,
		stop:     stop,
	}
	for _, o := range opts {
		o(p)
	}
	for range claimRounds {
		p.wait.Go(p.sendBatches)
	}
	return p
}

// Close stops the batchers; claims in flight fail.
func (p *Proposer) Close() {
	p.stop()
	p.wait.Wait()
}

// Propose resends c to the replicas in turn until one answers or ctx ends. Every command is safe to resend:
// changes carry an id, claims an owner token, joins an incarnation and marks the incarnation of the crash.
func (p *Proposer) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	var last error = &NoParentError{}
	for ctx.Err() == nil {
		result, err := InTurn(p.replicas(), func(a netip.AddrPort) (*wire.Result, error) { return p.try(ctx, a, c) })
		if err == nil {
			return result, nil
		}
		last = err
		sleep(ctx, resendDelay)
	}
	return nil, &DoubtError{Err: last}
}

func (p *Proposer) try(ctx context.Context, a netip.AddrPort, c *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	resp, err := p.clients.At(a).Propose(ctx, connect.NewRequest(&rpc.ProposeRequest{Command: c}))
	if err != nil {
		p.log.V(1).Info("proposal not confirmed", "replica", a.String(), "error", err.Error())
		return nil, fmt.Errorf("propose to %s: %w", a, err)
	}
	return resp.Msg.GetResult(), nil
}

// Claim makes one claim operation durable and returns its result.
func (p *Proposer) Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	pc := pendingClaim{ctx: ctx, claim: c, answer: make(chan claimAnswer, 1)}
	select {
	case p.claims <- pc:
	case <-ctx.Done():
		return nil, &DoubtError{Err: ctx.Err()}
	case <-p.ctx.Done():
		return nil, &DoubtError{Err: p.ctx.Err()}
	}
	select {
	case a := <-pc.answer:
		return a.result, a.err
	case <-ctx.Done():
		return nil, &DoubtError{Err: ctx.Err()}
	}
}

// sendBatches sends whatever claims have gathered while the previous RPC was in flight.
func (p *Proposer) sendBatches() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case first := <-p.claims:
			batch := []pendingClaim{first}
			for len(batch) < claimBatch && len(p.claims) > 0 {
				select {
				case next := <-p.claims:
					batch = append(batch, next)
				default:
				}
			}
			p.send(batch)
		}
	}
}

func (p *Proposer) send(batch []pendingClaim) {
	claims := &wire.Claims{}
	var until time.Time
	for _, c := range batch {
		claims.Claims = append(claims.Claims, c.claim)
		if d, ok := c.ctx.Deadline(); ok && d.After(until) {
			until = d
		}
	}
	if until.IsZero() {
		until = time.Now().Add(proposeLimit)
	}
	ctx, cancel := context.WithDeadline(p.ctx, until)
	defer cancel()
	result, err := p.Propose(ctx, &wire.Command{Body: &wire.Command_Claims{Claims: claims}})
	results := result.GetClaims().GetResults()
	if err == nil && len(results) != len(batch) {
		err = &DoubtError{Err: &ResultCountError{Got: len(results), Want: len(batch)}}
	}
	for i, c := range batch {
		if err != nil {
			c.answer <- claimAnswer{err: err}
			continue
		}
		c.answer <- claimAnswer{result: results[i]}
	}
}

// Announce tells the replicas about the node and its endpoints until one accepts or ctx ends, and returns the lease.
func (p *Proposer) Announce(ctx context.Context, r *rpc.AnnounceRequest) (time.Duration, error) {
	var last error = &NoParentError{}
	for b := newBackoff(p.backoff); ctx.Err() == nil; {
		lease, err := InTurn(p.replicas(), func(a netip.AddrPort) (time.Duration, error) { return p.announce(ctx, a, r) })
		if err == nil {
			return lease, nil
		}
		last = err
		sleep(ctx, min(b.Next(0), time.Second))
	}
	return 0, last
}

func (p *Proposer) announce(ctx context.Context, a netip.AddrPort, r *rpc.AnnounceRequest) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	resp, err := p.clients.At(a).Announce(ctx, connect.NewRequest(r))
	if err != nil {
		p.log.V(1).Info("announcement not accepted", "replica", a.String(), "error", err.Error())
		return 0, fmt.Errorf("announce to %s: %w", a, err)
	}
	return time.Duration(resp.Msg.GetLease()) * time.Millisecond, nil
}

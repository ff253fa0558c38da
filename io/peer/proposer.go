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
	maxClaimBatch  = 128                   // most claims in one RPC
	claimSenders   = 4                     // number of concurrent RPCs with claims
	resendDelay    = 50 * time.Millisecond // delay before a proposal is sent again after all replicas failed
	proposeTimeout = 2 * time.Second       // time for one RPC to one replica
)

// UnknownOutcomeError reports that a proposal may or may not have been accepted.
type UnknownOutcomeError struct{ Err error }

// Error returns a message with the last failure.
func (e *UnknownOutcomeError) Error() string {
	return "no replica confirmed the proposal, which may still have been accepted: " + e.Err.Error()
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ResultCountError reports an answer whose number of results differs from the number of claims sent.
type ResultCountError struct{ Got, Want int }

// Error returns a message with both numbers.
func (e *ResultCountError) Error() string {
	return fmt.Sprintf("got %d claim results, want %d", e.Got, e.Want)
}

// Proposer sends commands and announcements to the replicas, and batches concurrent claims.
type Proposer struct {
	clients    *Clients
	replicas   func() []netip.AddrPort // addresses of the replicas, leader first
	log        logr.Logger
	claims     chan pendingClaim
	maxBackoff time.Duration // longest delay after an announcement that no replica accepted, 1 s at most; 0 for 1 s
	ctx        context.Context
	stop       context.CancelFunc
	wait       sync.WaitGroup
}

// ProposerOption replaces a default of the Proposer that NewProposer returns.
type ProposerOption func(*Proposer)

// WithAnnounceBackoff sets the longest delay after an announcement that no replica accepted; it is 1 s at most, the default.
func WithAnnounceBackoff(t time.Duration) ProposerOption {
	return func(p *Proposer) { p.maxBackoff = t }
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

// NewProposer returns a Proposer; replicas returns the replica addresses, the leader first. Close ends its goroutines.
func NewProposer(clients *Clients, replicas func() []netip.AddrPort, log logr.Logger, opts ...ProposerOption) *Proposer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Proposer{
		clients:  clients,
		replicas: replicas,
		log:      log,
		claims:   make(chan pendingClaim, maxClaimBatch),
		ctx:      ctx,
		stop:     stop,
	}
	for _, o := range opts {
		o(p)
	}
	for range claimSenders {
		p.wait.Go(p.sendBatches)
	}
	return p
}

// Close cancels RPCs with claims, which then fail with *UnknownOutcomeError, and waits until the senders have ended. A claim
// that is still queued fails when its own context ends.
func (p *Proposer) Close() {
	p.stop()
	p.wait.Wait()
}

// Propose sends c to one replica after another until one answers or ctx ends. Every command is idempotent: a change carries
// an id, a claim an owner token, a join an incarnation, and a mark the incarnation that crashed.
func (p *Proposer) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	var last error = &NoUpstreamError{}
	for ctx.Err() == nil {
		result, err := FirstAnswer(p.replicas(), func(a netip.AddrPort) (*wire.Result, error) { return p.proposeTo(ctx, a, c) })
		if err == nil {
			return result, nil
		}
		last = err
		sleep(ctx, resendDelay)
	}
	return nil, &UnknownOutcomeError{Err: last}
}

func (p *Proposer) proposeTo(ctx context.Context, a netip.AddrPort, c *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	resp, err := p.clients.At(a).Propose(ctx, connect.NewRequest(&rpc.ProposeRequest{Command: c}))
	if err != nil {
		p.log.V(1).Info("replica did not confirm the proposal; it may still be accepted", "replica", a.String(), "error", err.Error())
		return nil, fmt.Errorf("propose to %s: %w", a, err)
	}
	return resp.Msg.GetResult(), nil
}

// Claim commits one claim operation, together with concurrent ones, and returns its result; an error is an
// *UnknownOutcomeError.
func (p *Proposer) Claim(ctx context.Context, c *wire.Claim) (*wire.ClaimResult, error) {
	pc := pendingClaim{ctx: ctx, claim: c, answer: make(chan claimAnswer, 1)}
	select {
	case p.claims <- pc:
	case <-ctx.Done():
		return nil, &UnknownOutcomeError{Err: ctx.Err()}
	case <-p.ctx.Done():
		return nil, &UnknownOutcomeError{Err: p.ctx.Err()}
	}
	select {
	case a := <-pc.answer:
		return a.result, a.err
	case <-ctx.Done():
		return nil, &UnknownOutcomeError{Err: ctx.Err()}
	}
}

// sendBatches sends claims until Close; each RPC carries the claims that are queued when it starts, up to maxClaimBatch.
func (p *Proposer) sendBatches() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case first := <-p.claims:
			batch := []pendingClaim{first}
			for len(batch) < maxClaimBatch && len(p.claims) > 0 {
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
		until = time.Now().Add(proposeTimeout)
	}
	ctx, cancel := context.WithDeadline(p.ctx, until)
	defer cancel()
	result, err := p.Propose(ctx, &wire.Command{Body: &wire.Command_Claims{Claims: claims}})
	results := result.GetClaims().GetResults()
	if err == nil && len(results) != len(batch) {
		err = &UnknownOutcomeError{Err: &ResultCountError{Got: len(results), Want: len(batch)}}
	}
	for i, c := range batch {
		if err != nil {
			c.answer <- claimAnswer{err: err}
			continue
		}
		c.answer <- claimAnswer{result: results[i]}
	}
}

// Announce sends the node and its endpoints to one replica after another until one accepts, and returns its response; if
// ctx ends first, it returns the last error.
func (p *Proposer) Announce(ctx context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	var last error = &NoUpstreamError{}
	for b := newBackoff(p.maxBackoff); ctx.Err() == nil; {
		resp, err := FirstAnswer(p.replicas(), func(a netip.AddrPort) (*rpc.AnnounceResponse, error) { return p.announceTo(ctx, a, r) })
		if err == nil {
			return resp, nil
		}
		last = err
		sleep(ctx, min(b.Next(0), time.Second))
	}
	return nil, last
}

func (p *Proposer) announceTo(ctx context.Context, a netip.AddrPort, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	resp, err := p.clients.At(a).Announce(ctx, connect.NewRequest(r))
	if err != nil {
		p.log.V(1).Info("replica did not accept the announcement", "replica", a.String(), "error", err.Error())
		return nil, fmt.Errorf("announce to %s: %w", a, err)
	}
	return resp.Msg, nil
}

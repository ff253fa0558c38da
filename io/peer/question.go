package peer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// askInterval is the time after which replicas that failed are asked again, and for which a host that is known to be down may
// still answer. It is longer than a round trip between regions.
const askInterval = 100 * time.Millisecond

// SilentError reports that an answer was not awaited, since the host is known to be down.
type SilentError struct{}

// Error returns the same text for every host.
func (*SilentError) Error() string { return "the host is silent, so its answer was not awaited" }

// Question is put to several replicas at once, of which only the leader answers. Asking a replica again must have no effect.
type Question[T any] struct {
	Ask         func(ctx context.Context, a netip.AddrPort) (T, error)
	LeaderFirst bool                        // the first address is the leader's; the others are asked if it fails or is slow
	Lost        func(a netip.AddrPort) bool // hosts known to be down, which are asked, but only awaited for askInterval; nil for none
	Again       func() bool                 // whether replicas that failed are asked again; nil for never
}

// askedReplica is one address of a question.
type askedReplica struct {
	address        netip.AddrPort
	asked, pending bool  // whether it was asked, and has not answered yet
	err            error // its last failure
}

// answer is what the replica with index i answered.
type answer[T any] struct {
	i     int
	value T
	err   error
}

// inquiry is a question in progress.
type inquiry[T any] struct {
	Question[T]
	ctx      context.Context
	replicas []askedReplica
	answers  chan answer[T]
	patient  bool // whether hosts known to be down are still awaited
}

// Put asks the addresses until one answers, ctx ends, or all that are awaited have failed and are not asked again. Before replicas are
// asked again, addresses is called once more, since a leader that was elected meanwhile may not have been among them. It fails
// with *NoAnswerError, or without addresses with *NoUpstreamError.
func (q Question[T]) Put(ctx context.Context, addresses func() []netip.AddrPort) (T, error) {
	var none T
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &inquiry[T]{Question: q, ctx: ctx, answers: make(chan answer[T]), patient: true}
	n.add(addresses())
	if len(n.replicas) == 0 {
		return none, &NoUpstreamError{}
	}
	n.start(0)
	if !q.LeaderFirst {
		n.startOthers()
	}
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for n.awaits() {
		select {
		case <-ctx.Done():
			return none, n.failure(ctx.Err())
		case a := <-n.answers:
			if a.err == nil {
				return a.value, nil
			}
			n.replicas[a.i].pending, n.replicas[a.i].err = false, a.err
			n.startOthers()
		case <-ticker.C:
			if q.Again != nil && q.Again() {
				n.add(addresses())
			}
			n.tick()
		}
	}
	return none, n.failure(&SilentError{})
}

// add adds the addresses that are new.
func (n *inquiry[T]) add(addresses []netip.AddrPort) {
	for _, a := range addresses {
		if !slices.ContainsFunc(n.replicas, func(r askedReplica) bool { return r.address == a }) {
			n.replicas = append(n.replicas, askedReplica{address: a})
		}
	}
}

func (n *inquiry[T]) start(i int) {
	r := &n.replicas[i]
	r.asked, r.pending = true, true
	address := r.address
	go func() {
		v, err := n.Ask(n.ctx, address)
		select {
		case n.answers <- answer[T]{i: i, value: v, err: err}:
		case <-n.ctx.Done():
		}
	}()
}

// startOthers asks the replicas that were not asked yet, and reports whether there were any.
func (n *inquiry[T]) startOthers() bool {
	started := false
	for i, r := range n.replicas {
		if !r.asked {
			n.start(i)
			started = true
		}
	}
	return started
}

// tick runs at each askInterval.
func (n *inquiry[T]) tick() {
	n.patient = n.startOthers()
	if n.Again == nil || !n.Again() {
		return
	}
	for i, r := range n.replicas {
		if !r.pending {
			n.start(i)
		}
	}
}

// awaits reports whether an answer may still come: a replica that is awaited has not answered, or replicas are asked again.
func (n *inquiry[T]) awaits() bool {
	for _, r := range n.replicas {
		if r.pending && (n.patient || n.Lost == nil || !n.Lost(r.address)) {
			return true
		}
	}
	return n.Again != nil && n.Again()
}

// failure returns the failures at all replicas that were asked; unanswered is that of a replica that has not answered.
func (n *inquiry[T]) failure(unanswered error) error {
	e := &NoAnswerError{}
	for _, r := range n.replicas {
		switch {
		case r.err != nil:
			e.Errs = append(e.Errs, r.err)
		case r.asked:
			e.Errs = append(e.Errs, fmt.Errorf("no answer from %s: %w", r.address, unanswered))
		}
	}
	return e
}

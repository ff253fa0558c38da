package host

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
)

const (
	// withdrawalTimeout limits one round of withdrawals.
	withdrawalTimeout = 200 * time.Millisecond
	// Calls that arrive at their node after the first round, and those of a message that was lost, are withdrawn by a later one.
	secondWithdrawal = 200 * time.Millisecond // after the notice
	thirdWithdrawal  = 600 * time.Millisecond // after the notice
)

// withdrawCalls takes back the calls that wait at other nodes and may not begin any more, when the notice of a planned stop has ended.
// The last round comes shortly before the end, so that the cut leaves no call in a queue to which it would give a slot. It
// returns when ctx ends.
func (h *Host) withdrawCalls(ctx context.Context) {
	noticeEnd, last := h.shutdown.NoticeEnd(), h.shutdown.LastRead()
	for _, at := range []time.Time{noticeEnd, noticeEnd.Add(secondWithdrawal), noticeEnd.Add(thirdWithdrawal), last} {
		if at.After(last) {
			continue
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		h.withdrawRound(ctx)
	}
}

// withdrawRound sends one withdrawal to each node that may have calls of this node in a queue.
func (h *Host) withdrawRound(ctx context.Context) {
	calls := h.callsToWithdraw(time.Now())
	if len(calls) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var named, withdrawn, failed atomic.Int64
	for address, list := range calls {
		wait.Go(func() {
			n, err := h.hops.Withdraw(ctx, address, list)
			named.Add(int64(len(list)))
			withdrawn.Add(int64(n))
			if err != nil {
				failed.Add(1)
				h.log.Info("withdrawal failed", "address", address.String(), "calls", len(list), "error", err.Error())
			}
		})
	}
	wait.Wait()
	h.log.Info("calls withdrawn from other nodes", "nodes", len(calls), "calls", named.Load(), "withdrawn", withdrawn.Load(), "failed", failed.Load())
}

// callsToWithdraw returns the calls that were sent to other nodes, have no answer, and may not begin at the given time, by the address of
// the node. Whether a call still waits is known only there.
func (h *Host) callsToWithdraw(now time.Time) map[netip.AddrPort][]hop.Withdrawn {
	calls := map[netip.AddrPort][]hop.Withdrawn{}
	h.stop.callers.Visit(func(p caller.Progress) {
		waits := !p.Sent.IsZero() && !p.Answered && p.Host != h.settings.Name
		if waits && !h.shutdown.Decide(now, shutdown.Work{Deadline: p.Deadline}).Allowed {
			calls[p.Address] = append(calls[p.Address], hop.Withdrawn{Endpoint: p.Endpoint, Call: p.Call})
		}
	})
	return calls
}

// serveWithdrawal refuses those of the calls that wait for a slot of a local endpoint or for a connection to it, and returns how many it refused.
func (h *Host) serveWithdrawal(calls []hop.Withdrawn) int {
	n := 0
	for _, c := range calls {
		h.mu.Lock()
		l := h.locals[c.Endpoint]
		h.mu.Unlock()
		if l != nil && l.queue.withdraw(c.Call) || h.backend.Withdraw(c) {
			n++
		}
	}
	return n
}

// withdraw refuses a call that is still queued and reports whether there was one.
func (q *admissionQueue) withdraw(call string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	d, ok := q.gate.Withdraw(time.Now(), call)
	if ok {
		q.deliver([]admission.Decision{d})
	}
	return ok
}

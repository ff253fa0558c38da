package host

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"godwitspindle/core/shutdown"
)

const (
	leaveTimeout    = 2 * time.Second // limit for reporting the leave; the drain continues if the report fails
	closeNoticeTime = time.Second     // length of the notice without the setting CloseNotice
)

// Drain stops the process gracefully, in the phases of package shutdown, and ends with Close. A second call waits for the first and
// returns its result.
func (h *Host) Drain() error {
	h.drainOnce.Do(func() { h.drainError = h.drain() })
	return h.drainError
}

func (h *Host) drain() error {
	now := time.Now()
	h.shutdown.Begin(now)
	h.stop.begin(now, h.noticeTime(), h.settings.Grace)
	h.log.Info("draining", "phase", "notice", "notice", h.noticeTime().String(), "grace", h.settings.Grace.String(),
		"connections", h.callerConnections(), "running", h.stop.callers.Len(), "calls", h.stop.remote.Len())
	ctx, cancel := context.WithDeadline(context.Background(), h.shutdown.End())
	defer cancel()
	h.notice(ctx)
	withdrawing, finished := context.WithCancel(ctx)
	var withdrawals sync.WaitGroup
	withdrawals.Go(func() { h.withdrawCalls(withdrawing) })
	err := h.finishWork(ctx)
	finished()
	withdrawals.Wait()
	requests, calls := h.stop.cutCounts()
	switch {
	case err != nil && requests+calls > 0:
		h.log.Error(err, "calls were cut at the end of the grace time", "requests", requests, "calls", calls)
	case err != nil:
		h.log.Info("the stop ended without calls in flight, but not all of it in time", "error", err.Error())
	}
	return errors.Join(err, h.Close())
}

// stopping reports whether a planned stop has begun.
func (h *Host) stopping() bool { return h.shutdown.Phase(time.Now()) != shutdown.Serving }

// notice is the first phase. Answers to callers carry Connection: close, and requests that wait are bounded by the stop. Without the
// setting CloseNotice, local endpoints refuse new work from the start, and callers are forwarded to other endpoints. With it, they
// accept new work until the end of the notice: their backend servers keep running, so a restart of only the node removes them briefly.
func (h *Host) notice(ctx context.Context) {
	h.callers.StopBegun()
	h.localCallers.StopBegun()
	if h.settings.CloseNotice == 0 {
		h.leave(ctx)
	}
	time.Sleep(time.Until(h.shutdown.NoticeEnd()))
	if h.settings.CloseNotice > 0 {
		h.leave(ctx)
	}
}

// leave makes local endpoints refuse new and queued calls, so that their nodes pick other endpoints, and reports the leave in the
// background.
func (h *Host) leave(ctx context.Context) {
	h.backend.Drain()
	h.drainQueues()
	h.announce.Load().close()
	h.leaveReport.Go(func() { h.reportLeave(ctx) })
}

func (h *Host) reportLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if _, err := h.proposer.Announce(ctx, h.announcement(true)); err != nil {
		h.log.Info("leave not reported, the endpoints stay listed until the lease expires", "error", err.Error())
	}
}

// finishWork is the second phase. It waits for the work in flight until ctx ends, and closes each listener once no work in flight needs
// it: the local one serves calls of running requests, those of adapters serve backend servers that leave meanwhile, and the peer one
// serves claims and operators' changes.
func (h *Host) finishWork(ctx context.Context) error {
	connections := h.callerConnections()
	work := []func() error{
		func() error { return h.closeListener(ctx, "caller") },
		func() error { return h.backend.Wait(ctx) },
		func() error { return h.closeListener(ctx, "operator") },
	}
	errs := []error{together(work...)}
	last := []func() error{func() error { return h.closeListener(ctx, "local") }}
	for _, e := range h.extraListeners {
		last = append(last, func() error { return h.closeListener(ctx, label(e.name)) })
	}
	errs = append(errs, together(last...))
	if ctx.Err() != nil {
		h.cutRequests()
	}
	h.stop.stopped(time.Now(), connections)
	errs = append(errs, together(
		func() error { return h.callers.Shutdown(ctx) },
		func() error { return h.localCallers.Shutdown(ctx) },
	))
	h.leaveReport.Wait()
	h.feed.Close()
	errs = append(errs, together(
		func() error { return h.closeListener(ctx, "peer") },
		func() error { return h.closeListener(ctx, "backend") },
		func() error { return h.closeListener(ctx, "metrics") },
	))
	return errors.Join(errs...)
}

// together runs the functions at the same time and joins their errors.
func together(list ...func() error) error {
	errs := make([]error, len(list))
	var wait sync.WaitGroup
	for i, f := range list {
		wait.Go(func() { errs[i] = f() })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// closeListener closes a listener gracefully, if it is open; requests that still run when ctx ends are cut.
func (h *Host) closeListener(ctx context.Context, name string) error {
	s := h.servers[name]
	if s == nil {
		return nil
	}
	if err := s.Shutdown(ctx, h.shutdown.LastRead()); err != nil {
		return fmt.Errorf("drain of listener %s: %w", name, err)
	}
	return nil
}

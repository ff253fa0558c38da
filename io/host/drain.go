package host

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"godwitspindle/io/process"
)

const (
	leaveTimeout    = 2 * time.Second // limit for reporting the leave; the drain continues if the report fails
	closeNoticeTime = time.Second     // time in which answers close callers' connections, without the setting CloseNotice
)

// Drain stops the process gracefully. Answers to callers carry Connection: close. Without the setting CloseNotice, local
// endpoints refuse new work, the node reports its leave, and callers are forwarded to other endpoints for one second. With it,
// local endpoints accept new work for the set time; then they refuse it and the node reports its leave. Their backend servers
// keep running, so a restart of only the node removes them briefly. In both cases, the listener for callers then stops. Two
// listeners serve calls in flight to the end: the local one for backend servers, the peer one for claims.
func (h *Host) Drain() error {
	h.stop.begin(time.Now(), h.noticeTime(), h.settings.Grace)
	h.log.Info("draining", "phase", "notice", "notice", h.noticeTime().String(), "grace", h.settings.Grace.String(),
		"connections", h.callerConnections(), "running", h.stop.callers.Len(), "calls", h.stop.remote.Len())
	h.leaving.Store(true)
	if h.settings.CloseNotice > 0 {
		time.Sleep(h.settings.CloseNotice)
	}
	h.backend.Drain()
	h.announce.Load().close()
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		h.reportLeave()
	}()
	if h.settings.CloseNotice == 0 {
		time.Sleep(closeNoticeTime)
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Grace)
	defer cancel()
	err := h.finishCalls(ctx)
	<-reported
	if err != nil {
		requests, calls := h.stop.cutCounts()
		h.log.Error(err, "calls were cut at the end of the grace time", "requests", requests, "calls", calls)
	}
	return errors.Join(err, h.Close())
}

func (h *Host) reportLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := h.proposer.Announce(ctx, h.announcement(true)); err != nil {
		h.log.Info("leave not reported, the endpoints stay listed until the lease expires", "error", err.Error())
	}
}

// finishCalls waits for the calls in flight and closes each listener once no call in flight needs it.
func (h *Host) finishCalls(ctx context.Context) error {
	connections := h.callerConnections()
	var errs [3]error
	var wait sync.WaitGroup
	wait.Go(func() { errs[0] = shutdown(ctx, h.servers["caller"]) })
	wait.Go(func() { errs[1] = h.backend.Wait(ctx) })
	wait.Wait()
	errs[2] = shutdown(ctx, h.servers["local"])
	if ctx.Err() != nil {
		h.cutRequests()
	}
	h.stop.stopped(time.Now(), connections) // the work on claims may take longer than the process has
	err := errors.Join(errs[0], errs[1], errs[2], h.callers.Close(), h.localCallers.Close())
	h.feed.Close()
	return errors.Join(err, shutdown(ctx, h.servers["peer"]), shutdown(ctx, h.servers["operator"]))
}

func shutdown(ctx context.Context, s *process.Server) error {
	if s == nil {
		return nil
	}
	if err := s.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

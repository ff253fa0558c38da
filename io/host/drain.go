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
	leaveTimeout = 2 * time.Second // to report the leave; the drain goes on without it
	moveTime     = time.Second     // callers' keep-alive connections are told to close for this long
)

// Drain stops the process gracefully. The node's own endpoints refuse new work first, and the leave is reported. The
// listener for callers goes on forwarding to other endpoints for a second, with Connection: close, and stops accepting
// then. With the setting Move, callers are given that time, and the endpoints, whose backend servers go on running, take
// new work until its end, so that a restart of the node alone takes them away for as short as possible. The listeners that
// calls in flight need stay open until these have ended: the local one for calls of backend servers, the peer one for
// claims' outcomes.
func (h *Host) Drain() error {
	h.log.Info("draining", "grace", h.settings.Grace.String())
	h.leaving.Store(true)
	if h.settings.Move > 0 {
		time.Sleep(h.settings.Move)
	}
	h.backend.Drain()
	h.announce.Load().close()
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		h.reportLeave()
	}()
	if h.settings.Move == 0 {
		time.Sleep(moveTime)
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Grace)
	defer cancel()
	err := h.quiesce(ctx)
	<-reported
	if err != nil {
		h.log.Error(err, "calls were cut at the end of the grace time")
	}
	return errors.Join(err, h.Close())
}

func (h *Host) reportLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := h.proposer.Announce(ctx, h.announcement(true)); err != nil {
		h.log.Info("leave not reported; the lease will run out", "error", err.Error())
	}
}

// quiesce waits for the calls in flight and closes the listeners in the order in which they are no longer needed.
func (h *Host) quiesce(ctx context.Context) error {
	var errs [2]error
	var wait sync.WaitGroup
	wait.Go(func() { errs[0] = shutdown(ctx, h.servers["caller"]) })
	wait.Go(func() { errs[1] = h.backend.Wait(ctx) })
	wait.Wait()
	err := errors.Join(errs[0], errs[1], shutdown(ctx, h.servers["local"]), h.callers.Close(), h.locally.Close())
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

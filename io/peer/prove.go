package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/io/rpc"
)

// proveFloor reads the floor until that succeeds, the floor is known or ctx ends.
func (f *Follower) proveFloor(ctx context.Context) {
	for b := newBackoff(f.maxBackoff); ctx.Err() == nil && !f.holder.Proven(); {
		floor, err := f.readFloor(ctx)
		if err == nil {
			f.holder.Prove(floor)
			f.recordConfirmation(time.Now())
			f.log.Info("floor proven", "floor", floor)
			return
		}
		f.log.V(1).Info("floor read failed; will retry", "error", err.Error())
		f.waitForLeaderChange(ctx, min(b.Next(0), maxFloorPause))
	}
}

// recordLeader stores the name of the leader; a new one ends the pause between two floor reads.
func (f *Follower) recordLeader(name string) {
	if name == "" || name == f.leader {
		return
	}
	f.leader = name
	select {
	case f.leaderChanged <- struct{}{}:
	default:
	}
}

// waitForLeaderChange waits until an upstream names another leader or the timeout has passed.
func (f *Follower) waitForLeaderChange(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.leaderChanged:
	}
}

// floorFromUpstreams asks the upstreams in order for a quorum-confirmed version and returns the first answer.
func (f *Follower) floorFromUpstreams(ctx context.Context) (uint64, error) {
	return FirstAnswer(f.upstreams(), func(p netip.AddrPort) (uint64, error) { return f.floorFrom(ctx, p) })
}

func (f *Follower) floorFrom(ctx context.Context, upstream netip.AddrPort) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	resp, err := f.clients.At(upstream).Floor(ctx, connect.NewRequest(&rpc.FloorRequest{}))
	if err != nil {
		return 0, fmt.Errorf("read the floor from %s: %w", upstream, err)
	}
	return resp.Msg.GetVersion(), nil
}

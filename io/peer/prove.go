package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/io/rpc"
)

// prove reads the floor until that succeeds.
func (f *Follower) prove(ctx context.Context) {
	for b := newBackoff(f.backoff); ctx.Err() == nil && !f.holder.Proven(); {
		floor, err := f.floor(ctx)
		if err == nil {
			f.holder.Prove(floor)
			f.confirm(time.Now())
			f.log.Info("floor proven", "floor", floor)
			return
		}
		f.log.V(1).Info("floor not proven", "error", err.Error())
		f.awaitLeader(ctx, min(b.Next(0), maxFloorPause))
	}
}

// noteLeader ends the pause between two reads of the floor when another leader is known.
func (f *Follower) noteLeader(name string) {
	if name == "" || name == f.leader {
		return
	}
	f.leader = name
	select {
	case f.told <- struct{}{}:
	default:
	}
}

// awaitLeader waits for a time or until another leader is known.
func (f *Follower) awaitLeader(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.told:
	}
}

// askFloor asks the upstreams in order for a quorum-confirmed version.
func (f *Follower) askFloor(ctx context.Context) (uint64, error) {
	return InTurn(f.parents(), func(p netip.AddrPort) (uint64, error) { return f.readFloor(ctx, p) })
}

func (f *Follower) readFloor(ctx context.Context, parent netip.AddrPort) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	resp, err := f.clients.At(parent).Floor(ctx, connect.NewRequest(&rpc.FloorRequest{}))
	if err != nil {
		return 0, fmt.Errorf("read the floor from %s: %w", parent, err)
	}
	return resp.Msg.GetVersion(), nil
}

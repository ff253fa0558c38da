package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"godwitspindle/io/rpc"
)

// prove asks the upstreams for the floor until one answers.
func (f *Follower) prove(ctx context.Context) {
	for attempt := 1; ctx.Err() == nil && !f.holder.Proven(); attempt++ {
		for _, p := range f.parents() {
			floor, err := f.readFloor(ctx, p)
			if err == nil {
				f.holder.Prove(floor)
				f.confirm(time.Now())
				f.log.Info("floor proven", "floor", floor)
				return
			}
			f.log.V(1).Info("floor not proven", "parent", p.String(), "error", err.Error())
		}
		sleep(ctx, min(backoff(attempt), floorPause))
	}
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

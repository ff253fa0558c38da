package host

import (
	"context"
	"errors"
	"time"

	"godwitspindle/io/peer"
)

const floorRetry = 250 * time.Millisecond // time after which a version whose floor could not be saved is offered again

// publish offers the newest committed snapshot to the holder of this node after commands are applied. It runs outside the loop
// of the replica because compiling a routing table takes longer than a commit.
func (c *control) publish(ctx context.Context) {
	var retry <-chan time.Time // nil unless the last version was not put in force because its floor could not be saved
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.applied:
		case <-retry:
		}
		err := c.holder.Offer(c.snapshot())
		if err != nil && retry == nil {
			c.log.Error(err, "committed version not put in force, the earlier one is kept")
		}
		if err == nil && retry != nil {
			c.log.Info("committed version put in force after all", "version", c.version())
		}
		retry = nil
		if errors.As(err, new(*peer.FloorSaveError)) {
			retry = time.After(floorRetry)
		}
	}
}

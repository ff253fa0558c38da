package peer

import (
	"errors"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// newestSnapshot returns the newest snapshot on this node, which may be below the floor and so not in force.
func (f *Follower) newestSnapshot() *config.Snapshot {
	s := f.holder.View().Snapshot
	if b := f.pending.Load(); b != nil && b.Version() > s.Version() {
		return b
	}
	return s
}

// applyDelta applies a delta to the newest snapshot and puts the result in force unless that is below the floor. The holder
// rejects a version below the floor, so applyDelta stores that version in pending: after a restart, a thin link then carries
// only the changes since that version, not another whole snapshot.
func (f *Follower) applyDelta(d *wire.Delta) error {
	inForce := f.holder.View().Snapshot
	if b := f.pending.Load(); b != nil && b.Version() > inForce.Version() {
		return f.applyToPending(b, d)
	}
	f.pending.Store(nil)
	err := f.holder.Apply(d)
	var floor *FloorError
	if errors.As(err, &floor) {
		return f.applyToPending(inForce, d)
	}
	return err
}

// applyToPending applies a delta to base and offers the result to the holder; a result below the floor becomes pending.
func (f *Follower) applyToPending(base *config.Snapshot, d *wire.Delta) error {
	next, err := base.Apply(d)
	if err != nil {
		return err
	}
	err = f.holder.Offer(next)
	var floor *FloorError
	if errors.As(err, &floor) {
		f.pending.Store(next)
		return nil
	}
	f.pending.Store(nil)
	return err
}

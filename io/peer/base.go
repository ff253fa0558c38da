package peer

import (
	"errors"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// held returns the newest snapshot that the node has, also one that its floor keeps from coming into force.
func (f *Follower) held() *config.Snapshot {
	s := f.holder.View().Snapshot
	if b := f.base.Load(); b != nil && b.Version() > s.Version() {
		return b
	}
	return s
}

// take brings a delta into force. A version below the floor is kept beside the holder, which never holds one: after a restart a
// thin link then carries only what is newer, and not the whole snapshot once more.
func (f *Follower) take(d *wire.Delta) error {
	held := f.holder.View().Snapshot
	if b := f.base.Load(); b != nil && b.Version() > held.Version() {
		return f.extend(b, d)
	}
	f.base.Store(nil)
	err := f.holder.Apply(d)
	var floor *FloorError
	if errors.As(err, &floor) {
		return f.extend(held, d)
	}
	return err
}

// extend applies a delta to a snapshot that is not in force, and offers the result to the holder.
func (f *Follower) extend(base *config.Snapshot, d *wire.Delta) error {
	next, err := base.Apply(d)
	if err != nil {
		return err
	}
	err = f.holder.Offer(next)
	var floor *FloorError
	if errors.As(err, &floor) {
		f.base.Store(next)
		return nil
	}
	f.base.Store(nil)
	return err
}

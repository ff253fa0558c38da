package replica

import (
	"errors"
	"fmt"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/io/disk"
)

// IdentityError says that the data folder holds another identity than before, as after a lost disk.
type IdentityError struct{ Got, Want string }

// Error names both.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("the data folder belongs to %s, not to %s", e.Got, e.Want)
}

// persist runs the replica until Close or a failure that does not pass by itself. A full disk does: what could not be saved
// was neither acknowledged nor sent, so the replica goes on from what its disk holds, as after a restart of the process.
func (r *Replica) persist() error {
	for {
		err := r.run()
		var full *disk.FullError
		if !errors.As(err, &full) {
			return err
		}
		r.paused(err)
		if err := r.reopen(err); err != nil {
			return err
		}
		r.paused(nil)
	}
}

// reopen takes part in nothing until the disk takes bytes again; it returns nil early when Close was called.
func (r *Replica) reopen(cause error) error {
	r.suspend(cause)
	t := time.NewTicker(fullPause)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return nil
		case e := <-r.inbox:
			if e.answer != nil {
				e.answer <- reply{err: &BusyError{Err: cause}}
			}
			continue
		case <-t.C:
		}
		err := r.again()
		var full *disk.FullError
		if err == nil || !errors.As(err, &full) {
			return err
		}
	}
}

// suspend answers all who wait and no longer shows the replica as leading.
func (r *Replica) suspend(cause error) {
	for i, w := range r.waiting {
		w.answer <- reply{err: &DoubtError{Err: cause}}
		delete(r.waiting, i)
	}
	for _, c := range append(r.reading, r.queued...) {
		c <- reply{err: &BusyError{Err: cause}}
	}
	r.reading, r.queued, r.readInFlight = nil, nil, false
	s := *r.status.Load()
	s.Role, s.Leader, s.Progress = agreement.Follower, "", nil
	r.status.Store(&s)
	_ = r.log.Close()
}

// again opens the folder and loads what it holds. A probe of the disk's room comes first, since a folder can be read while
// the disk is full.
func (r *Replica) again() error {
	if err := disk.Probe(r.folder); err != nil {
		return err
	}
	l, err := disk.Open(r.folder, append([]disk.Option{disk.WithName(r.name)}, r.disk...)...)
	if err != nil {
		return err
	}
	r.log = l
	r.count, r.size = 0, 0
	if err := r.load(); err != nil {
		_ = l.Close()
		return err
	}
	r.publish()
	return nil
}

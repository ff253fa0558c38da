package replica

import (
	"errors"
	"fmt"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/io/disk"
)

// IdentityError reports that the data folder holds another identity (Got) than when the replica started (Want), as after a disk
// loss.
type IdentityError struct{ Got, Want string }

// Error returns a message with both identities.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("the data folder belongs to %s, not to %s", e.Got, e.Want)
}

// isFull reports whether a failure is that of a full disk, which ends by itself.
func isFull(err error) bool { return errors.As(err, new(*disk.FullError)) }

// runThroughPauses runs the replica until Close or a failure other than a full disk. After a full disk, it resumes from the
// state on disk as after a restart: what could not be saved was not acknowledged, and of it only a leader's entries were sent.
func (r *Replica) runThroughPauses() error {
	for {
		err := r.run()
		if !isFull(err) {
			return err
		}
		r.onPaused(err)
		if err := r.waitForDiskSpace(err); err != nil {
			return err
		}
		r.onPaused(nil)
	}
}

// waitForDiskSpace rejects requests and ignores messages until the folder can be reopened or Close is called, and then returns
// nil. It returns an error if reopening fails for another reason than a full disk.
func (r *Replica) waitForDiskSpace(cause error) error {
	r.suspend(cause)
	t := time.NewTicker(diskFullRetry)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return nil
		case e := <-r.inbox:
			rejectWhilePaused(e, cause)
			continue
		case <-t.C:
		}
		if err := r.reopen(); !isFull(err) {
			return err
		}
	}
}

// rejectWhilePaused replies to a request that it had no effect, and ignores a message.
func rejectWhilePaused(e event, cause error) {
	if e.answer != nil {
		e.answer <- reply{err: &BusyError{Err: cause}}
	}
}

// suspend replies with an error to all waiting requests, publishes a status in which the replica does not lead, and closes the log.
func (r *Replica) suspend(cause error) {
	for i, w := range r.waiting {
		w.answer <- reply{err: &UnknownOutcomeError{Err: cause}}
		delete(r.waiting, i)
	}
	for _, c := range append(r.currentReads, r.nextReads...) {
		c <- reply{err: &BusyError{Err: cause}}
	}
	r.currentReads, r.nextReads, r.readInFlight = nil, nil, false
	s := *r.status.Load()
	s.Role, s.Leader, s.Progress = agreement.Follower, "", nil
	r.status.Store(&s)
	_ = r.log.Close()
}

// reopen opens the folder and loads its state. It first checks that the disk accepts writes, since a folder can be read while
// the disk is full.
func (r *Replica) reopen() error {
	if err := disk.Probe(r.folder, r.disk...); err != nil {
		return err
	}
	l, err := disk.Open(r.folder, append([]disk.Option{disk.WithName(r.name)}, r.disk...)...)
	if err != nil {
		return err
	}
	r.log = l
	r.appliedEntries, r.appliedBytes, r.applyTime = 0, 0, 0
	if err := r.load(); err != nil {
		_ = l.Close()
		return err
	}
	r.publishStatus()
	return nil
}

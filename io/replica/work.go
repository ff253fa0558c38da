package replica

import "time"

// stalledElections is the time, in election timeouts, after which a replica whose disk has not finished takes part in nothing until it
// has. Until then it answers heartbeats, and leads; after it the others elect a leader whose disk works.
const stalledElections = 3

// diskWork is a save or compaction that another goroutine carries out, so that the loop can go on.
type diskWork struct {
	began time.Time
	done  func(err error) error // what the loop does with the result
}

// beginDiskWork passes work to the disk; the loop calls done with its result. Nothing else may use the log meanwhile.
func (r *Replica) beginDiskWork(work func() error, done func(err error) error) {
	r.onDisk = &diskWork{began: r.now(), done: done}
	r.startWork(work)
}

// endDiskWork handles the result of the disk work, and then what has waited for it.
func (r *Replica) endDiskWork(result error) error {
	w := r.onDisk
	r.onDisk = nil
	if err := w.done(result); err != nil {
		return err
	}
	return r.runRound(nil)
}

// isDiskStalled reports whether the disk has worked for so long that other replicas do better without this one.
func (r *Replica) isDiskStalled() bool {
	return r.onDisk != nil && r.now().Sub(r.onDisk.began) > stalledElections*r.election
}

// awaitDisk waits until the disk has finished, so that the log can be closed; what was saved is acknowledged to nobody.
func (r *Replica) awaitDisk() {
	if r.onDisk != nil {
		<-r.diskDone
		r.onDisk = nil
	}
}

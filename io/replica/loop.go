package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
)

const ticksPerHeartbeat = 4 // timers are at most a quarter of a heartbeat late

// Runs until Close or the first failure. Each round takes in what waits and shares one sync.
func (r *Replica) run() error {
	t := time.NewTicker(r.heartbeat / ticksPerHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-r.stop:
			return nil
		case <-t.C:
			r.core.Tick(r.now())
			r.takeIn(nil)
		case e := <-r.inbox:
			r.takeIn(&e)
		}
		if err := r.settle(); err != nil {
			return err
		}
		r.publish()
	}
}

// Takes in the events that wait, up to the limit of a round.
func (r *Replica) takeIn(first *event) {
	now := r.now()
	var proposals []event
	if first != nil {
		proposals = r.take(now, *first, proposals)
	}
	for range roundLimit {
		select {
		case e := <-r.inbox:
			proposals = r.take(now, e, proposals)
			continue
		default:
		}
		break
	}
	r.propose(now, proposals)
	r.startRead(now)
}

func (r *Replica) take(now time.Time, e event, proposals []event) []event {
	switch {
	case e.message != nil:
		r.core.Step(now, *e.message)
	case e.read:
		r.queued = append(r.queued, e.answer)
	case e.change != nil:
		m := e.change(r.core.Status().Members)
		first, term, err := r.core.Propose(now, agreement.MembersChange, [][]byte{agreement.EncodeMembers(m)})
		r.wait(first, term, err, e)
	default:
		return append(proposals, e)
	}
	return proposals
}

func (r *Replica) wait(index, term uint64, err error, e event) {
	if err != nil {
		e.answer <- reply{err: err}
		return
	}
	r.waiting[index] = waiter{term: term, answer: e.answer}
}

func (r *Replica) propose(now time.Time, proposals []event) {
	for len(r.waiting)+len(proposals) > waitingLimit {
		last := len(proposals) - 1
		if last < 0 {
			return
		}
		proposals[last].answer <- reply{err: &BusyError{}}
		proposals = proposals[:last]
	}
	if len(proposals) == 0 {
		return
	}
	data := make([][]byte, len(proposals))
	for i, e := range proposals {
		data[i] = e.data
	}
	first, term, err := r.core.Propose(now, agreement.Command, data)
	for i, e := range proposals {
		r.wait(first+uint64(i), term, err, e)
	}
}

// Starts a confirmation round for the reads that wait, unless one is running: they then share the next one.
func (r *Replica) startRead(now time.Time) {
	if r.readInFlight || len(r.queued) == 0 {
		return
	}
	r.readContext++
	r.reading, r.queued = r.queued, nil
	if err := r.core.Read(now, r.readContext); err != nil {
		r.endRead(reply{err: err})
		return
	}
	r.readInFlight = true
}

func (r *Replica) endRead(a reply) {
	for _, c := range r.reading {
		c <- a
	}
	r.reading, r.readInFlight = nil, false
}

// Carries out effects until there are none.
func (r *Replica) settle() error {
	for {
		e := r.core.Effects()
		if e.Empty() {
			r.dropWaiting()
			return r.compact()
		}
		if err := r.log.Save(e); err != nil {
			return err
		}
		r.sendAll(e.Messages)
		if n := len(e.Entries); n > 0 {
			r.core.Persisted(e.Entries[n-1].Index, e.Entries[n-1].Term)
		}
		if err := r.applyAll(e); err != nil {
			return err
		}
		r.answerReads(e)
	}
}

func (r *Replica) sendAll(messages []agreement.Message) {
	for _, m := range messages {
		if m.Kind == agreement.Install {
			if m.Snapshot.Index != r.snapshot.Index {
				continue // without data it must not be installed; the protocol sends it again
			}
			s := r.snapshot
			m.Snapshot = &s
		}
		r.send(m)
	}
}

func (r *Replica) applyAll(e agreement.Effects) error {
	if s := e.Snapshot; s != nil {
		if len(s.Data) > 0 {
			if err := r.restore(s.Data); err != nil {
				return &StateError{Index: s.Index, Step: "restore", Err: err}
			}
			r.time.note(r.now(), r.stateTime())
		}
		r.snapshot, r.index = *s, s.Index
		r.count, r.size, r.spent = 0, 0, 0
	}
	own := uint64(0) // term that this replica leads
	if len(e.Committed) > 0 {
		if s := r.core.Status(); s.Role == agreement.Leader {
			own = s.Term
		}
	}
	if len(r.waiting) > 0 && len(e.Committed) > 0 {
		r.publish() // before the answers, so that whoever gets one finds its change in the status
	}
	begin := r.now()
	for _, n := range e.Committed {
		if err := r.applyOne(n, own); err != nil {
			return err
		}
	}
	r.spent += r.now().Sub(begin)
	if e.Snapshot != nil || len(e.Committed) > 0 {
		r.applied(r.version())
	}
	return nil
}

func (r *Replica) applyOne(e agreement.Entry, own uint64) error {
	var result *wire.Result
	if e.Kind == agreement.Command {
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Data, c); err != nil {
			return &StateError{Index: e.Index, Step: "decode", Err: err}
		}
		result = r.apply(e.Index, c)
		if e.Term != own {
			r.time.note(r.now(), time.UnixMilli(c.GetTime()))
		}
	}
	r.index = e.Index
	r.count++
	r.size += len(e.Data)
	w, ok := r.waiting[e.Index]
	if !ok {
		return nil
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.answer <- reply{err: &DoubtError{Err: &agreement.NotLeaderError{Leader: r.core.Status().Leader}}}
		return nil
	}
	w.answer <- reply{result: result}
	return nil
}

// Answers the running read. What it must see is applied, since an index that is confirmed was committed before.
func (r *Replica) answerReads(e agreement.Effects) {
	for _, d := range e.Reads {
		if d.Context == r.readContext && r.readInFlight {
			r.endRead(reply{version: r.version()})
		}
	}
	for _, c := range e.Failed {
		if c == r.readContext && r.readInFlight {
			r.endRead(reply{err: &agreement.NotLeaderError{Leader: r.core.Status().Leader}})
		}
	}
	r.startRead(r.now())
}

// Ends the proposals of a leadership that is over.
func (r *Replica) dropWaiting() {
	if len(r.waiting) == 0 {
		return
	}
	s := r.core.Status()
	for i, w := range r.waiting {
		if s.Role != agreement.Leader || w.term != s.Term {
			w.answer <- reply{err: &DoubtError{Err: &agreement.NotLeaderError{Leader: s.Leader}}}
			delete(r.waiting, i)
		}
	}
}

// Replaces the applied log by a snapshot when it has grown past the limits.
func (r *Replica) compact() error {
	if r.count < r.entries && r.size < r.bytes && r.spent < r.replay {
		return nil
	}
	s, ok := r.core.Point(r.index)
	if !ok {
		return nil
	}
	data, err := r.marshal()
	if err != nil {
		return &StateError{Index: r.index, Step: "marshal", Err: err}
	}
	s.Data = data
	if err := r.log.Compact(s); err != nil {
		return err
	}
	r.core.Compact(r.index)
	r.snapshot = s
	r.count, r.size, r.spent = 0, 0, 0
	return nil
}

func (r *Replica) publish() {
	s := r.core.Status()
	r.status.Store(&s)
}

// Answers everyone who still waits when the loop ends.
func (r *Replica) abandon() {
	err := &ClosedError{Err: r.err}
	for _, w := range r.waiting {
		w.answer <- reply{err: &DoubtError{Err: err}}
	}
	for _, c := range append(r.reading, r.queued...) {
		c <- reply{err: err}
	}
}

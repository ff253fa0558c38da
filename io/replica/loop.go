package replica

import (
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
)

const ticksPerHeartbeat = 4 // the loop checks the protocol's timers every quarter of a heartbeat interval

// run handles events until Close or the first failure, also while the disk works. The events that wait for one save share the next sync.
func (r *Replica) run() error {
	t := time.NewTicker(r.heartbeat / ticksPerHeartbeat)
	defer t.Stop()
	defer r.awaitDisk()
	for {
		if r.isDiskStalled() {
			select {
			case <-r.stop:
				return nil
			case err := <-r.diskDone:
				if err := r.endDiskWork(err); err != nil {
					return err
				}
			}
			continue
		}
		select {
		case <-r.stop:
			return nil
		case err := <-r.diskDone:
			if err := r.endDiskWork(err); err != nil {
				return err
			}
		case <-t.C:
			r.protocol.Tick(r.now())
			if err := r.runRound(nil); err != nil {
				return err
			}
		case e := <-r.inbox:
			if err := r.runRound(&e); err != nil {
				return err
			}
		}
	}
}

// runRound handles first, if any, and the queued events, and carries out what follows from them.
func (r *Replica) runRound(first *event) error {
	r.processInbox(first)
	if err := r.processEffects(); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

// processInbox handles first, if any, and up to roundLimit queued events; their proposals go to the protocol together.
func (r *Replica) processInbox(first *event) {
	now := r.now()
	var proposals []event
	if first != nil {
		proposals = r.handle(now, *first, proposals)
	}
	for range roundLimit {
		select {
		case e := <-r.inbox:
			proposals = r.handle(now, e, proposals)
			continue
		default:
		}
		break
	}
	r.propose(now, proposals)
	r.startRead(now)
}

func (r *Replica) handle(now time.Time, e event, proposals []event) []event {
	switch {
	case e.message != nil:
		r.protocol.Step(now, *e.message)
	case e.read:
		r.nextReads = append(r.nextReads, e.answer)
	case e.change != nil:
		m := e.change(r.protocol.Status().Members)
		first, term, err := r.protocol.Propose(now, agreement.MembersChange, [][]byte{agreement.EncodeMembers(m)})
		r.addWaiter(first, term, err, e)
	default:
		return append(proposals, e)
	}
	return proposals
}

func (r *Replica) addWaiter(index, term uint64, err error, e event) {
	if err != nil {
		e.answer <- reply{err: err}
		return
	}
	r.waiting[index] = waiter{term: term, answer: e.answer}
}

// propose passes the proposals to the protocol; it rejects the last ones beyond waitingLimit.
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
	first, term, err := r.protocol.Propose(now, agreement.Command, data)
	for i, e := range proposals {
		r.addWaiter(first+uint64(i), term, err, e)
	}
}

// startRead starts one confirmation round for all queued reads. While a round is in flight, queued reads wait for the next round.
func (r *Replica) startRead(now time.Time) {
	if r.readInFlight || len(r.nextReads) == 0 {
		return
	}
	r.readContext++
	r.currentReads, r.nextReads = r.nextReads, nil
	if err := r.protocol.Read(now, r.readContext); err != nil {
		r.finishRead(reply{err: err})
		return
	}
	r.readInFlight = true
}

func (r *Replica) finishRead(a reply) {
	for _, c := range r.currentReads {
		c <- a
	}
	r.currentReads, r.readInFlight = nil, false
}

// processEffects carries out the effects of the protocol until none are left or some must be saved first; only what is urgent does not
// wait for the disk.
func (r *Replica) processEffects() error {
	for {
		r.sendAll(r.protocol.Urgent())
		if r.onDisk != nil {
			return nil
		}
		if err := r.compact(); err != nil || r.onDisk != nil {
			return err
		}
		e, at := r.protocol.Effects(), r.protocol.ConfirmedAt()
		switch {
		case e.Empty():
			r.confirmedAt = at
			r.failStaleProposals()
			return nil
		case e.Saves():
			l := r.log
			r.beginDiskWork(func() error { return l.Save(e) }, func(err error) error { return r.afterSave(e, at, err) })
			return nil
		}
		if err := r.carryOut(e, at); err != nil {
			return err
		}
	}
}

func (r *Replica) afterSave(e agreement.Effects, confirmedAt time.Time, err error) error {
	if err == nil {
		err = r.carryOut(e, confirmedAt)
		r.failStaleProposals() // here too, since one save may follow another
	}
	return err
}

// carryOut does what follows from saved effects, which hold all that was committed at the confirmation.
func (r *Replica) carryOut(e agreement.Effects, confirmedAt time.Time) error {
	r.sendAll(e.Messages)
	if n := len(e.Entries); n > 0 {
		r.protocol.Persisted(e.Entries[n-1].Index, e.Entries[n-1].Term)
	}
	if err := r.applyEffects(e); err != nil {
		return err
	}
	r.confirmedAt = confirmedAt
	r.completeReads(e)
	return nil
}

func (r *Replica) sendAll(messages []agreement.Message) {
	for _, m := range messages {
		if m.Kind == agreement.InstallSnapshot {
			if m.Snapshot.Index != r.snapshot.Index {
				continue // the data is no longer available, so nothing may be installed; the protocol sends a snapshot again
			}
			s := r.snapshot
			m.Snapshot = &s
		}
		r.send(m)
	}
}

func (r *Replica) applyEffects(e agreement.Effects) error {
	if s := e.Snapshot; s != nil {
		if len(s.Data) > 0 {
			if err := r.restore(s.Data); err != nil {
				return &StateError{Index: s.Index, Step: "restore", Err: err}
			}
			r.stamper.observe(r.now(), r.stateTime())
		}
		r.snapshot, r.lastApplied = *s, s.Index
		r.appliedEntries, r.appliedBytes, r.applyTime = 0, 0, 0
	}
	ownTerm := uint64(0) // term in which this replica leads; 0 if it does not lead
	if len(e.Committed) > 0 {
		if s := r.protocol.Status(); s.Role == agreement.Leader {
			ownTerm = s.Term
		}
	}
	if len(r.waiting) > 0 && len(e.Committed) > 0 {
		r.publishStatus() // before the replies, so that a caller that got a reply finds its change in the status
	}
	begin := r.now()
	for _, n := range e.Committed {
		if err := r.applyEntry(n, ownTerm); err != nil {
			return err
		}
	}
	r.applyTime += r.now().Sub(begin)
	if e.Snapshot != nil || len(e.Committed) > 0 {
		r.onApplied(r.version())
	}
	return nil
}

func (r *Replica) applyEntry(e agreement.Entry, ownTerm uint64) error {
	var result *wire.Result
	if e.Kind == agreement.Command {
		c, skipped, err := decodeCommand(e.Data)
		if err != nil {
			return &StateError{Index: e.Index, Step: "decode", Err: err}
		}
		if skipped > 0 {
			r.onSkipped(e.Index, skipped)
		}
		result = r.apply(e.Index, c)
		if e.Term != ownTerm {
			r.stamper.observe(r.now(), time.UnixMilli(c.GetTime()))
		}
	}
	r.lastApplied = e.Index
	r.appliedEntries++
	r.appliedBytes += len(e.Data)
	joint := isJoint(e)
	if e.Kind == agreement.MembersChange && !joint {
		r.answerReplacement(e.Term)
	}
	w, ok := r.waiting[e.Index]
	if !ok {
		return nil
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.answer <- reply{err: &UnknownOutcomeError{Err: &agreement.NotLeaderError{Leader: r.protocol.Status().Leader}}}
		return nil
	}
	if joint {
		r.replacement = &w // answered once the set without the outgoing voters is committed too
		return nil
	}
	w.answer <- reply{result: result}
	return nil
}

// isJoint reports whether an entry holds the member set of a replacement in progress.
func isJoint(e agreement.Entry) bool {
	if e.Kind != agreement.MembersChange {
		return false
	}
	m, err := agreement.DecodeMembers(e.Data)
	return err == nil && m.Joint()
}

// answerReplacement replies to the caller of a replacement whose final member set is committed by an entry of the given term. With the
// joint set alone, the group would not bear the loss that it bears afterwards: it still needs a majority of the outgoing voters.
func (r *Replica) answerReplacement(term uint64) {
	w := r.replacement
	r.replacement = nil
	switch {
	case w == nil:
	case w.term != term:
		w.answer <- reply{err: &UnknownOutcomeError{Err: &agreement.NotLeaderError{Leader: r.protocol.Status().Leader}}}
	default:
		w.answer <- reply{}
	}
}

// completeReads replies to the reads of the round in flight once that round is confirmed or failed, and starts the next round if
// none is in flight. Every entry that a confirmed read must see is already applied, since its index was committed before.
func (r *Replica) completeReads(e agreement.Effects) {
	for _, d := range e.Reads {
		if d.Context == r.readContext && r.readInFlight {
			r.finishRead(reply{version: r.version()})
		}
	}
	for _, c := range e.FailedReads {
		if c == r.readContext && r.readInFlight {
			r.finishRead(reply{err: &agreement.NotLeaderError{Leader: r.protocol.Status().Leader}})
		}
	}
	r.startRead(r.now())
}

// failStaleProposals replies with an unknown outcome to the proposals of a term that this replica no longer leads.
func (r *Replica) failStaleProposals() {
	if len(r.waiting) == 0 && r.replacement == nil {
		return
	}
	s := r.protocol.Status()
	isStale := func(w waiter) bool { return s.Role != agreement.Leader || w.term != s.Term }
	for i, w := range r.waiting {
		if isStale(w) {
			w.answer <- reply{err: &UnknownOutcomeError{Err: &agreement.NotLeaderError{Leader: s.Leader}}}
			delete(r.waiting, i)
		}
	}
	if w := r.replacement; w != nil && isStale(*w) {
		r.answerReplacement(0) // no entry has the term 0, so the outcome is unknown
	}
}

// compact replaces the applied log by a snapshot if the entries, bytes or apply time since the last one have reached their limits. A
// snapshot for which the disk has no room is tried again later: the log may still have room for entries, and a replica that paused
// would find the same snapshot due as soon as it resumes.
func (r *Replica) compact() error {
	due := r.appliedEntries >= r.maxEntries || r.appliedBytes >= r.maxBytes || r.applyTime >= r.maxApplyTime
	if !due || r.now().Before(r.compactAt) {
		return nil
	}
	s, ok := r.protocol.SnapshotAt(r.lastApplied)
	if !ok {
		return nil
	}
	data, err := r.marshal()
	if err != nil {
		return &StateError{Index: r.lastApplied, Step: "marshal", Err: err}
	}
	s.Data = data
	l := r.log
	r.beginDiskWork(func() error { return l.Compact(s) }, func(err error) error { return r.afterCompact(s, err) })
	return nil
}

func (r *Replica) afterCompact(s agreement.Snapshot, err error) error {
	if isFull(err) {
		r.compactAt = r.now().Add(compactRetry)
		r.onSnapshotFailed(err)
		return nil
	}
	if err != nil {
		return err
	}
	r.protocol.Compact(s.Index)
	r.snapshot = s
	r.appliedEntries, r.appliedBytes, r.applyTime = 0, 0, 0
	return nil
}

// publishStatus publishes the protocol's status, with the last confirmation that the state machine has caught up with.
func (r *Replica) publishStatus() {
	s := r.protocol.Status()
	s.ConfirmedAt = r.confirmedAt
	r.status.Store(&s)
}

// failPending replies with an error to all proposals and reads that the loop accepted and did not finish.
func (r *Replica) failPending() {
	err := &ClosedError{Err: r.err}
	for _, w := range r.waiting {
		w.answer <- reply{err: &UnknownOutcomeError{Err: err}}
	}
	if r.replacement != nil {
		r.replacement.answer <- reply{err: &UnknownOutcomeError{Err: err}}
	}
	for _, c := range append(r.currentReads, r.nextReads...) {
		c <- reply{err: err}
	}
}

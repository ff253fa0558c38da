package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
)

// reply is the loop's answer to a proposal or a read.
type reply struct {
	result  *wire.Result
	version uint64
	err     error
}

// event is one input of the loop; exactly one of the first four fields is set.
type event struct {
	message *agreement.Message                          // message of another replica
	data    []byte                                      // marshalled command to propose
	change  func(m agreement.Members) agreement.Members // returns the member set to propose
	read    bool                                        // a read to confirm
	answer  chan reply                                  // gets the one reply and is buffered for it; nil for a message
}

// Replica runs one control replica; its methods are safe for concurrent use.
type Replica struct {
	settings
	protocol  *agreement.Replica
	log       *disk.Log
	id        string
	inbox     chan event
	stop      chan struct{}           // closed by Close
	done      chan struct{}           // closed when the replica has stopped
	startWork func(work func() error) // starts work for the disk, of which at most one runs
	diskDone  chan error              // gets the result of that work
	closeOnce sync.Once
	status    atomic.Pointer[agreement.Status]
	err       error // failure that stopped the replica; set before done is closed
	stamper   stamper

	// The fields below are used only by the loop, and by New before the loop starts.
	snapshot                     agreement.Snapshot // latest snapshot, with Data
	lastApplied                  uint64             // highest applied index
	appliedEntries, appliedBytes int                // applied entries and their bytes since the last snapshot
	applyTime                    time.Duration      // time spent applying entries since the last snapshot
	compactAt                    time.Time          // no snapshot is taken before this time
	waiting                      map[uint64]waiter  // by log index
	replacement                  *waiter            // of a replacement whose joint set is committed; nil for none
	currentReads                 []chan reply       // reads in the confirmation round in flight
	nextReads                    []chan reply       // reads for the next confirmation round
	readContext                  uint64             // context of the last confirmation round
	readInFlight                 bool               // whether a confirmation round is in flight
	onDisk                       *diskWork          // nil for none
	confirmedAt                  time.Time          // last confirmation by a quorum; all that was committed before it is applied
}

// waiter is a caller that waits for an entry. If an entry of another term is committed at that index, the outcome is unknown.
type waiter struct {
	term   uint64
	answer chan reply
}

// New opens the data folder and starts the replica; it fails with *OptionError, *agreement.OptionError, *StateError
// or an error of package disk.
func New(opts ...Option) (*Replica, error) {
	r, err := open(opts...)
	if err != nil {
		return nil, err
	}
	queue := make(chan func() error, 1)
	r.startWork = func(work func() error) { queue <- work }
	go func() {
		for work := range queue {
			r.diskDone <- work()
		}
	}()
	go func() {
		defer close(r.done)
		r.err = r.runThroughPauses()
		close(queue)
		r.failPending()
		_ = r.log.Close()
	}()
	return r, nil
}

// open opens the data folder and loads its state; it starts no goroutine.
func open(opts ...Option) (*Replica, error) {
	r := &Replica{
		settings: defaults(), inbox: make(chan event, inboxLimit), stop: make(chan struct{}), done: make(chan struct{}),
		diskDone: make(chan error, 1), waiting: map[uint64]waiter{},
	}
	for _, o := range opts {
		o(&r.settings)
	}
	if r.version == nil {
		r.version = func() uint64 { return r.lastApplied }
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	l, err := disk.Open(r.folder, append([]disk.Option{disk.WithName(r.name)}, r.disk...)...)
	if err != nil {
		return nil, err
	}
	r.log = l
	if err := r.load(); err != nil {
		_ = l.Close()
		return nil, err
	}
	r.publishStatus()
	return r, nil
}

func (r *Replica) load() error {
	d, err := r.log.Load()
	if err != nil {
		return err
	}
	if r.id == "" {
		r.id = d.Identity // other goroutines read it from now on, so a later load must not write it
	}
	if d.Identity != r.id {
		return &StateError{Step: "identity", Err: &IdentityError{Got: d.Identity, Want: r.id}}
	}
	r.snapshot, r.lastApplied, r.confirmedAt = d.Snapshot, d.Snapshot.Index, time.Time{}
	if len(d.Snapshot.Data) > 0 {
		if err := r.restore(d.Snapshot.Data); err != nil {
			return &StateError{Index: r.lastApplied, Step: "restore", Err: err}
		}
		r.stamper.observe(r.now(), r.stateTime())
	}
	options := []agreement.Option{
		agreement.WithID(r.id), agreement.WithFounders(r.names...), agreement.WithElectionTimeout(r.election),
		agreement.WithHeartbeatInterval(r.heartbeat), agreement.WithRandom(r.random), agreement.WithLog(d.State, d.Snapshot, d.Entries),
	}
	if r.protocol != nil {
		options = append(options, agreement.WithResumed())
	}
	r.protocol, err = agreement.New(options...)
	return err
}

// ID returns the replica's identity, NAME/INCARNATION.
func (r *Replica) ID() string { return r.id }

// Done returns a channel that is closed when the replica has stopped, after Close or a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica; nil while it runs and after Close.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Close stops the replica, waits until it has stopped and returns the failure that stopped it earlier, if any.
func (r *Replica) Close() error {
	r.closeOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.err
}

// Step queues a message of another replica without blocking; it drops the message if the queue is full.
func (r *Replica) Step(m agreement.Message) {
	select {
	case r.inbox <- event{message: &m}:
	default:
	}
}

// Status returns the status that the loop published last, without waiting for the loop.
func (r *Replica) Status() agreement.Status { return *r.status.Load() }

// Leader returns the leader's identity, empty when unknown.
func (r *Replica) Leader() string { return r.status.Load().Leader }

// Confirmed returns the age of the last quorum confirmation known to this replica, negative when there was none.
// On a follower the age does not include the time that the leader's heartbeat took to arrive.
func (r *Replica) Confirmed() time.Duration {
	at := r.status.Load().ConfirmedAt
	if at.IsZero() {
		return -1
	}
	return max(0, r.now().Sub(at))
}

// Propose commits and applies a command and returns the result of applying it. The command is stamped with this replica's clock,
// within the bounds that type stamper describes. Propose fails without effect with *agreement.NotLeaderError, *BusyError,
// *ClosedError or *StateError, or with an unknown outcome with *UnknownOutcomeError.
func (r *Replica) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	clock := r.wallClock()
	at := r.stamper.stamp(r.now(), clock, r.majorityTime(clock))
	stamped := &wire.Command{Time: at.UnixMilli(), Body: c.GetBody()}
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, &StateError{Step: "marshal", Err: err}
	}
	a, err := r.submit(ctx, event{data: data})
	return a.result, err
}

// Read returns the state machine's version after a quorum confirmed that this replica leads and all earlier commits are applied.
// It fails with *agreement.NotLeaderError, *BusyError, *ReadAbandonedError or *ClosedError.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	a, err := r.submit(ctx, event{read: true})
	return a.version, err
}

// AddLearner adds a learner in place of an earlier learner of the same name; it does not change the set if id is a member already.
// The methods that change members fail as Propose does, or with *agreement.MembersError.
func (r *Replica) AddLearner(ctx context.Context, id string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members { return m.Join(id) })
}

// Promote makes a learner a voter; if a voter has the same name, whose disk is lost, the learner replaces it. It returns once the
// group no longer needs the replaced voter, and fails with *agreement.LagError while the learner lags behind.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members {
		for _, v := range m.Voters {
			if v != id && agreement.Name(v) == agreement.Name(id) {
				return m.Replace(v, id)
			}
		}
		return m.With(id, false)
	})
}

// Replace makes a learner a voter in place of another one, in one joint change. It returns and fails as Promote does.
func (r *Replica) Replace(ctx context.Context, out, in string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members { return m.Replace(out, in) })
}

// Remove removes a voter or learner.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members { return m.Without(id) })
}

func (r *Replica) change(ctx context.Context, f func(m agreement.Members) agreement.Members) error {
	_, err := r.submit(ctx, event{change: f})
	return err
}

// submit passes an event to the loop and waits for its reply.
func (r *Replica) submit(ctx context.Context, e event) (reply, error) {
	e.answer = make(chan reply, 1)
	select {
	case <-r.done:
		return reply{}, &ClosedError{Err: r.err}
	case <-ctx.Done():
		return reply{}, &BusyError{Err: ctx.Err()}
	case r.inbox <- e:
	}
	select {
	case a := <-e.answer:
		return a, a.err
	case <-ctx.Done():
		return reply{}, e.unanswered(ctx.Err())
	case <-r.done:
	}
	select {
	case a := <-e.answer:
		return a, a.err
	default:
		return reply{}, e.unanswered(&ClosedError{Err: r.err})
	}
}

// unanswered returns the error for an event that the loop may have handled but did not answer.
func (e *event) unanswered(err error) error {
	if e.read {
		return &ReadAbandonedError{Err: err}
	}
	return &UnknownOutcomeError{Err: err}
}

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

// What a waiting caller gets.
type reply struct {
	result  *wire.Result
	version uint64
	err     error
}

// One event for the loop; exactly one of the first four fields is set.
type event struct {
	message *agreement.Message
	data    []byte
	change  func(m agreement.Members) agreement.Members
	read    bool
	answer  chan reply // buffered, one reply
}

// Replica runs one control replica.
type Replica struct {
	settings
	core   *agreement.Replica
	log    *disk.Log
	id     string
	inbox  chan event
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once
	status atomic.Pointer[agreement.Status]
	err    error // set before done is closed
	time   stamper

	// Owned by the loop.
	snapshot     agreement.Snapshot
	index        uint64        // last applied
	count, size  int           // applied since the last snapshot
	spent        time.Duration // on applying them
	waiting      map[uint64]waiter
	reading      []chan reply // in the round that is being confirmed
	queued       []chan reply // for the next round
	readContext  uint64
	readInFlight bool
}

// A caller that waits for the entry at an index.
type waiter struct {
	term   uint64
	answer chan reply
}

// New opens the data folder and starts the replica; it fails with *OptionError, *StateError or an error of package disk.
func New(opts ...Option) (*Replica, error) {
	r := &Replica{
		settings: defaults(), inbox: make(chan event, inboxLimit), stop: make(chan struct{}), done: make(chan struct{}),
		waiting: map[uint64]waiter{},
	}
	for _, o := range opts {
		o(&r.settings)
	}
	if r.version == nil {
		r.version = func() uint64 { return r.index }
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
	r.publish()
	go func() {
		defer close(r.done)
		r.err = r.persist()
		r.abandon()
		_ = r.log.Close()
	}()
	return r, nil
}

func (r *Replica) load() error {
	d, err := r.log.Load()
	if err != nil {
		return err
	}
	if r.id == "" {
		r.id = d.Identity // read by others from now on, so a later load must not write it
	}
	if d.Identity != r.id {
		return &StateError{Step: "identity", Err: &IdentityError{Got: d.Identity, Want: r.id}}
	}
	r.snapshot, r.index = d.Snapshot, d.Snapshot.Index
	if len(d.Snapshot.Data) > 0 {
		if err := r.restore(d.Snapshot.Data); err != nil {
			return &StateError{Index: r.index, Step: "restore", Err: err}
		}
		r.time.note(r.now(), r.stateTime())
	}
	r.core, err = agreement.New(agreement.WithID(r.id), agreement.WithFounders(r.names...),
		agreement.WithElection(r.election), agreement.WithHeartbeat(r.heartbeat), agreement.WithRandom(r.random),
		agreement.WithLog(d.State, d.Snapshot, d.Entries))
	return err
}

// ID returns the replica's identity, NAME/INCARNATION.
func (r *Replica) ID() string { return r.id }

// Done is closed when the replica has stopped, after Close or a failure.
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

// Close stops the replica and waits for its loop.
func (r *Replica) Close() error {
	r.once.Do(func() { close(r.stop) })
	<-r.done
	return r.err
}

// Step takes in a message of another replica; a message that does not fit in the queue is lost.
func (r *Replica) Step(m agreement.Message) {
	select {
	case r.inbox <- event{message: &m}:
	default:
	}
}

// Status describes the replica after the last round of its loop.
func (r *Replica) Status() agreement.Status { return *r.status.Load() }

// Leader returns the leader's identity, empty when unknown.
func (r *Replica) Leader() string { return r.status.Load().Leader }

// Confirmed returns the age of the last quorum confirmation that this replica knows of; negative when there was none.
// On a follower the age does not include the time that the leader's heartbeat took to arrive.
func (r *Replica) Confirmed() time.Duration {
	at := r.status.Load().Confirmed
	if at.IsZero() {
		return -1
	}
	return max(0, r.now().Sub(at))
}

// Propose returns the result of a command after commit and apply, stamped with this replica's clock within the bounds of
// stamper. It fails with
// *agreement.NotLeaderError, *BusyError or *ClosedError (no effect), or *DoubtError.
func (r *Replica) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	clock := r.wall()
	at := r.time.stamp(r.now(), clock, r.agreedTime(clock))
	stamped := &wire.Command{Time: at.UnixMilli(), Body: c.GetBody()}
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, &StateError{Step: "marshal", Err: err}
	}
	a, err := r.ask(ctx, event{data: data})
	return a.result, err
}

// Read returns the state machine's version after a quorum confirmed that this replica leads and all that was committed
// before is applied. It fails with *agreement.NotLeaderError, *BusyError, *WaitError or *ClosedError.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	a, err := r.ask(ctx, event{read: true})
	return a.version, err
}

// AddLearner adds a learner and removes any other identity of the same name.
func (r *Replica) AddLearner(ctx context.Context, id string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members {
		if m.Has(id) {
			return m
		}
		for _, l := range [][]string{m.Voters, m.Learners} {
			for _, o := range l {
				if agreement.Name(o) == agreement.Name(id) && o != id {
					m = m.Without(o)
				}
			}
		}
		return m.With(id, true)
	})
}

// Promote makes a learner a voter; it fails with *agreement.LagError while the learner lags.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members { return m.With(id, false) })
}

// Remove removes a voter or learner.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return r.change(ctx, func(m agreement.Members) agreement.Members { return m.Without(id) })
}

func (r *Replica) change(ctx context.Context, f func(m agreement.Members) agreement.Members) error {
	_, err := r.ask(ctx, event{change: f})
	return err
}

// Hands an event to the loop and waits for its reply.
func (r *Replica) ask(ctx context.Context, e event) (reply, error) {
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

func (e *event) unanswered(err error) error {
	if e.read {
		return &WaitError{Err: err}
	}
	return &DoubtError{Err: err}
}

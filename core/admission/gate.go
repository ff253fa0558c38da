package admission

import (
	"sync"
	"time"

	"godwitspindle/core/outcome"
)

// Action is what happens to a call.
type Action uint8

// Actions.
const (
	Admit  Action = iota + 1 // runs now and holds a slot until Done
	Queue                    // waits; a later Decision of this call admits or refuses it
	Refuse                   // does not run
)

// Request is a call that asks for a slot.
type Request struct {
	Call       string // call id, unique among the calls of this gate
	Caller     string // who sent it, for fairness
	Kind       string // requests of one kind take similar times
	Priority   int    // 0 (shed first) to 9 (shed last)
	Deadline   time.Time
	Objective  time.Time // an answer after it has little worth; zero for none
	Again      bool      // its caller was refused before and comes again
	Final      bool      // its caller does not come again when it is refused
	Inner      bool      // made for a request that runs, whose work is lost with a refusal
	Idempotent bool
	Late       bool // a late answer is tolerated, so it gives way first
	Remote     bool // its answer leaves the host
	Suspect    bool // may crash the backend server; at most one such call runs at a time
}

// Decision is what happens to one call.
type Decision struct {
	Call      string
	Action    Action
	Failure   *outcome.Failure // set when refused; its kind is notrun
	Wait      time.Duration    // estimated wait when queued, waited time when admitted from the queue
	Displaced *Decision        // refusal of a queued call that gave way to this one
}

// Stats are the figures of a gate at one time.
type Stats struct {
	Slots    int
	Limit    int // slots in use at most; below Slots after a slowdown
	Running  int
	Queued   int
	Open     int // open connections
	Service  time.Duration
	Baseline time.Duration
	Paused   time.Time // nothing starts before this time
	Draining bool

	Admitted, Refused, Displaced, Expired, Canceled uint64
}

// Gate holds the slots and the queue of one endpoint; it is safe for concurrent use by one short mutex.
type Gate struct {
	slots       int
	depth       int  // longest queue
	derived     bool // depth follows slots
	connections int
	alike       bool // callers are not told apart
	shared      bool // while slots are short, each priority gets a share of them

	mutex    sync.Mutex
	running  map[string]run
	queue    []waiting      // in order of start
	callers  map[string]use // callers with a running or queued call
	open     int
	suspects int // running suspects, 0 or 1
	sequence uint64
	limit    adaptive
	delays   delays
	shares   shares
	link     *Link // of the host; nil when it is not watched
	paused   time.Time
	draining bool
	stats    Stats
}

type run struct {
	caller  string
	kind    string
	suspect bool
	bytes   float64 // reserved at the link
}

type use struct{ running, queued int }

type waiting struct {
	Request
	arrived  time.Time
	sequence uint64
	estimate time.Duration // of the wait, by the queue at its arrival
	overdue  bool          // the objective is already missed, so it starts after those that can meet theirs
}

// Option sets up a Gate.
type Option func(*Gate)

// WithSlots sets the number of calls that run at a time, at least 1.
func WithSlots(n int) Option { return func(g *Gate) { g.slots = max(n, 1) } }

// WithQueue sets the number of calls that wait at most; the default is twice the slots.
func WithQueue(n int) Option { return func(g *Gate) { g.depth = max(n, 0) } }

// WithConnections sets the number of open connections at most; the default is no bound. Running calls never exceed it.
func WithConnections(n int) Option { return func(g *Gate) { g.connections = max(n, 0) } }

// WithFixed keeps the limit at the stated slots, for a backend server whose slots do not slow each other down: with fewer
// calls it would only serve fewer.
func WithFixed() Option { return func(g *Gate) { g.limit.fixed = true } }

// WithAlike treats all callers as one, where their names say nothing about who they are.
func WithAlike() Option { return func(g *Gate) { g.alike = true } }

// WithShares gives each priority a share of the slots while they are short: higher priorities are served more often than lower
// ones, but none goes without, and calls of running requests are served first. The default is strict priority.
func WithShares() Option { return func(g *Gate) { g.shared = true } }

// New returns a Gate.
func New(opts ...Option) *Gate {
	g := &Gate{slots: 1, depth: -1, running: map[string]run{}, callers: map[string]use{}}
	for _, o := range opts {
		o(g)
	}
	if g.connections > 0 {
		g.slots = min(g.slots, g.connections)
	}
	if g.derived = g.depth < 0; g.derived {
		g.depth = 2 * g.slots
	}
	g.limit.reset(g.slots)
	g.queue = make([]waiting, 0, g.depth)
	return g
}

// Decide admits, queues or refuses a call; a queued call may displace another one (Decision.Displaced).
func (g *Gate) Decide(now time.Time, r Request) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.alike {
		r.Caller = ""
	}
	if g.draining {
		return g.refuse(r.Call, outcome.Draining, 0)
	}
	if _, ok := g.running[r.Call]; ok || g.find(r.Call) >= 0 {
		return g.refuse(r.Call, outcome.Refused, 0)
	}
	g.shares.ask(now, r.rank())
	service := g.limit.service(r.Kind)
	if !r.Deadline.IsZero() && now.Add(service).After(r.Deadline) {
		return g.refuse(r.Call, outcome.Late, 0)
	}
	transit := g.transit(now, &r, service)
	if transit > 0 && r.misses(now.Add(service+transit)) {
		return g.refuse(r.Call, outcome.Busy, transit)
	}
	free := len(g.running) < g.limit.value() && !now.Before(g.paused)
	if free && (!r.Suspect || g.suspects == 0) && !g.blocked(r) {
		return g.admit(r, 0)
	}
	w := waiting{Request: r, arrived: now, sequence: g.sequence}
	g.sequence++
	wait := g.expected(now, &w)
	w.overdue = !r.Final && !r.Objective.IsZero() && now.Add(wait+service).After(r.Objective)
	if w.overdue {
		wait = g.expected(now, &w)
	}
	if excess := w.excess(now, wait, service); excess > 0 {
		return g.refuse(r.Call, outcome.Busy, w.back(now, excess, service))
	}
	if !r.Deadline.IsZero() && now.Add(wait+service).After(r.Deadline) {
		return g.refuse(r.Call, outcome.Late, wait)
	}
	if g.crowded(r.Caller) {
		return g.refuse(r.Call, outcome.Overload, wait)
	}
	var displaced *Decision
	if len(g.queue) >= g.depth {
		i := g.victim(&w)
		if i < 0 && !r.Objective.IsZero() {
			return g.refuse(r.Call, outcome.Busy, wait)
		}
		if i < 0 {
			return g.refuse(r.Call, outcome.Overload, wait)
		}
		d := g.refuse(g.take(i).Call, outcome.Overload, wait)
		g.stats.Displaced++
		displaced = &d
	}
	g.insert(w)
	return Decision{Call: r.Call, Action: Queue, Wait: wait, Displaced: displaced}
}

// misses reports whether an answer at a time is too late for a call that could still go elsewhere or come again.
func (r *Request) misses(at time.Time) bool {
	if r.Final {
		return false
	}
	if r.Again && !r.Deadline.IsZero() {
		return at.After(r.Deadline)
	}
	return at.After(r.Objective)
}

// Done frees the slot of a call that ran for the given time and returns the decisions on queued calls.
// ok is false for an answer that says nothing about the speed of the backend server.
func (g *Gate) Done(now time.Time, call string, took time.Duration, ok bool) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r, known := g.running[call]
	if !known || !g.release(call) {
		return nil
	}
	if ok {
		g.limit.observe(r.kind, took, len(g.running)+1)
	}
	return g.start(now)
}

// Cancel removes a call whose caller has gone: a queued call never starts, a running one frees its slot. The node must
// call it for a running call only when the backend server has stopped working on it.
func (g *Gate) Cancel(now time.Time, call string) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if i := g.find(call); i >= 0 {
		g.take(i)
		g.stats.Canceled++
		return nil
	}
	if !g.release(call) {
		return nil
	}
	g.stats.Canceled++
	return g.start(now)
}

// Tick refuses queued calls that can no longer make their deadline and starts calls after a pause; see Next.
func (g *Gate) Tick(now time.Time) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.start(now)
}

// Next returns when Tick is due: at the end of a pause or at the first deadline of a queued call; zero when nothing waits.
func (g *Gate) Next() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var next time.Time
	for i := range g.queue {
		if d := g.queue[i].Deadline; !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	if len(g.queue) > 0 && !g.paused.IsZero() && (next.IsZero() || g.paused.Before(next)) {
		next = g.paused
	}
	return next
}

// Shed honours a 503 of the backend server: nothing starts for the given time (at most 30 s), and the limit falls.
func (g *Gate) Shed(now time.Time, after time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.lower()
	if until := now.Add(min(max(after, 0), longestPause)); until.After(g.paused) {
		g.paused = until
	}
}

// Drain refuses new calls from now on and returns the refusals of the queued ones; running calls end by themselves.
func (g *Gate) Drain(_ time.Time) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	var out []Decision
	for len(g.queue) > 0 {
		out = append(out, g.refuse(g.take(0).Call, outcome.Draining, 0))
	}
	return out
}

// Resume ends a drain, when the backend server announces itself again.
func (g *Gate) Resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = false
}

// Resize sets the slots, connections and queue after a change of the configuration; running calls above them end by themselves.
func (g *Gate) Resize(now time.Time, slots, connections int) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.connections = max(connections, 0)
	g.slots = max(slots, 1)
	if g.connections > 0 {
		g.slots = min(g.slots, g.connections)
	}
	if g.derived {
		g.depth = 2 * g.slots // a longer queue shrinks as its calls start
	}
	g.limit.resize(g.slots)
	return g.start(now)
}

// Idle reports whether no call runs or waits.
func (g *Gate) Idle() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.running) == 0 && len(g.queue) == 0
}

// Open takes one connection and reports whether the bound allowed it.
func (g *Gate) Open() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.connections > 0 && g.open >= g.connections {
		return false
	}
	g.open++
	return true
}

// Close gives one connection back.
func (g *Gate) Close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open = max(g.open-1, 0)
}

// Stats returns the figures of the gate.
func (g *Gate) Stats() Stats {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.stats
	s.Slots, s.Limit, s.Running, s.Queued, s.Open = g.slots, g.limit.value(), len(g.running), len(g.queue), g.open
	s.Service, s.Baseline = g.limit.average(), g.limit.lowest()
	s.Paused, s.Draining = g.paused, g.draining
	return s
}

package admission

import (
	"sync"
	"time"

	"godwitspindle/core/outcome"
)

// Action says whether a call runs, waits or is refused.
type Action uint8

// The possible actions.
const (
	Admit  Action = iota + 1 // runs now and holds a slot until Done or Cancel
	Queue                    // waits; a later Decision for the same call admits or refuses it
	Refuse                   // does not run; Failure says why
)

// Request describes a call that asks for a slot.
type Request struct {
	Call         string // call id, unique among the running and queued calls of this gate
	Caller       string // sender, for fairness between callers
	Kind         string // requests of one kind have similar service times
	Priority     int    // 0 (shed first) to 9 (shed last)
	Deadline     time.Time
	Objective    time.Time // a response after this time is of little use; zero for none
	Resent       bool      // sent again after a refusal
	LastAttempt  bool      // the caller does not retry after a refusal
	Nested       bool      // made on behalf of a running request, whose work is lost if this call is refused
	Idempotent   bool
	LateTolerant bool // tolerates a late response, so it is displaced first
	Remote       bool // the response leaves the host
	Suspect      bool // may crash the backend server; at most one such call runs at a time
}

// Decision is the action for one call.
type Decision struct {
	Call      string
	Action    Action
	Failure   *outcome.Failure // set when refused; its kind is always notrun
	Wait      time.Duration    // estimated wait when queued, actual wait when admitted from the queue
	Displaced *Decision        // refusal of the queued call that this one replaced
}

// Stats is a snapshot of the state and counters of a gate.
type Stats struct {
	Slots    int
	Limit    int // maximum running calls; below Slots after a slowdown
	Running  int
	Queued   int
	Open     int           // open connections
	Service  time.Duration // mean service time
	Baseline time.Duration // lowest baseline of any kind
	Paused   time.Time     // no call starts before this time
	Draining bool

	Admitted, Refused, Displaced, Expired, Canceled uint64
}

// Gate controls the slots and the queue of one endpoint; it is safe for concurrent use and holds its mutex only briefly.
type Gate struct {
	slots             int
	maxQueue          int  // maximum queued calls
	queueFollowsSlots bool // maxQueue is twice the slots
	maxConnections    int
	ignoreCallers     bool // treat all callers as one
	sharesByPriority  bool // each priority gets a share of the slots under contention

	mutex           sync.Mutex
	running         map[string]runningCall
	queue           []queuedCall           // sorted by before
	callers         map[string]callerUsage // callers with a running or queued call
	openConnections int
	suspects        int // running suspects, 0 or 1
	sequence        uint64
	limit           adaptiveLimit
	waitFactors     waitFactors
	shares          shares
	link            *Link // network link of the host; nil if its load is not tracked
	paused          time.Time
	draining        bool
	stats           Stats
}

type runningCall struct {
	caller  string
	kind    string
	suspect bool
	bytes   float64 // reserved on the link
}

type callerUsage struct{ running, queued int }

type queuedCall struct {
	Request
	arrived  time.Time
	sequence uint64
	estimate time.Duration // estimated wait from the queue at its arrival
	overdue  bool          // expected to miss its objective, so it starts after calls that can meet theirs
}

// Option configures a Gate.
type Option func(*Gate)

// WithSlots sets the maximum number of running calls, at least 1.
func WithSlots(n int) Option { return func(g *Gate) { g.slots = max(n, 1) } }

// WithQueue sets the maximum number of queued calls; the default is twice the slots.
func WithQueue(n int) Option { return func(g *Gate) { g.maxQueue = max(n, 0) } }

// WithConnections sets the maximum number of open connections; the default is no limit. It also bounds the slots.
func WithConnections(n int) Option { return func(g *Gate) { g.maxConnections = max(n, 0) } }

// WithFixedLimit disables the adaptive limit, for a backend server whose concurrent calls do not slow each other down: a lower
// limit would only reduce its throughput.
func WithFixedLimit() Option { return func(g *Gate) { g.limit.fixed = true } }

// WithSingleCaller treats all callers as one, for services where caller names do not identify the callers.
func WithSingleCaller() Option { return func(g *Gate) { g.ignoreCallers = true } }

// WithShares gives each priority a share of the slots under contention: higher priorities are served more often, but none
// starves, and calls made for running requests are served first. The default is strict priority.
func WithShares() Option { return func(g *Gate) { g.sharesByPriority = true } }

// New returns a Gate with one slot unless options say otherwise.
func New(opts ...Option) *Gate {
	g := &Gate{slots: 1, maxQueue: -1, running: map[string]runningCall{}, callers: map[string]callerUsage{}}
	for _, o := range opts {
		o(g)
	}
	if g.maxConnections > 0 {
		g.slots = min(g.slots, g.maxConnections)
	}
	if g.queueFollowsSlots = g.maxQueue < 0; g.queueFollowsSlots {
		g.maxQueue = 2 * g.slots
	}
	g.limit.reset(g.slots)
	g.queue = make([]queuedCall, 0, g.maxQueue)
	return g
}

// Decide admits, queues or refuses a call; a queued call may displace another one (see Decision.Displaced).
func (g *Gate) Decide(now time.Time, r Request) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.ignoreCallers {
		r.Caller = ""
	}
	if g.draining {
		return g.refuse(r.Call, outcome.Draining, 0)
	}
	if _, ok := g.running[r.Call]; ok || g.queueIndex(r.Call) >= 0 {
		return g.refuse(r.Call, outcome.Refused, 0)
	}
	g.shares.countRequest(now, r.rank())
	service := g.limit.serviceTime(r.Kind)
	if !r.Deadline.IsZero() && now.Add(service).After(r.Deadline) {
		return g.refuse(r.Call, outcome.DeadlineExceeded, 0)
	}
	linkWait := g.linkWait(now, &r, service)
	if linkWait > 0 && r.tooLate(now.Add(service+linkWait)) {
		return g.refuse(r.Call, outcome.Busy, linkWait)
	}
	free := len(g.running) < g.limit.value() && !now.Before(g.paused)
	if free && (!r.Suspect || g.suspects == 0) && !g.yieldsToQueue(r) {
		return g.admit(r, 0)
	}
	w := queuedCall{Request: r, arrived: now, sequence: g.sequence}
	g.sequence++
	wait := g.expectedWait(now, &w)
	w.overdue = !r.LastAttempt && !r.Objective.IsZero() && now.Add(wait+service).After(r.Objective)
	if w.overdue {
		wait = g.expectedWait(now, &w)
	}
	if lateness := w.lateness(now, wait, service); lateness > 0 {
		return g.refuse(r.Call, outcome.Busy, w.retryAfter(now, lateness, service))
	}
	if !r.Deadline.IsZero() && now.Add(wait+service).After(r.Deadline) {
		return g.refuse(r.Call, outcome.DeadlineExceeded, wait)
	}
	if g.exceedsCallerShare(r.Caller) {
		return g.refuse(r.Call, outcome.Overload, wait)
	}
	var displaced *Decision
	if len(g.queue) >= g.maxQueue {
		i := g.victim(&w)
		if i < 0 && !r.Objective.IsZero() {
			return g.refuse(r.Call, outcome.Busy, wait)
		}
		if i < 0 {
			return g.refuse(r.Call, outcome.Overload, wait)
		}
		d := g.refuse(g.dequeue(i).Call, outcome.Overload, wait)
		g.stats.Displaced++
		displaced = &d
	}
	g.enqueue(w)
	return Decision{Call: r.Call, Action: Queue, Wait: wait, Displaced: displaced}
}

// tooLate reports whether a response at the given time is too late for a call that could still be retried or sent elsewhere.
func (r *Request) tooLate(at time.Time) bool {
	if r.LastAttempt {
		return false
	}
	if r.Resent && !r.Deadline.IsZero() {
		return at.After(r.Deadline)
	}
	return at.After(r.Objective)
}

// Done frees the slot of a call that ran for the duration took, and returns decisions for queued calls. ok is false if the
// response says nothing about the speed of the backend server; took is then ignored.
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
	return g.startQueued(now)
}

// Cancel removes a call whose caller has gone: it dequeues a queued call, or frees the slot of a running one. The node must
// call it for a running call only after the backend server has stopped working on it.
func (g *Gate) Cancel(now time.Time, call string) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if i := g.queueIndex(call); i >= 0 {
		g.dequeue(i)
		g.stats.Canceled++
		return nil
	}
	if !g.release(call) {
		return nil
	}
	g.stats.Canceled++
	return g.startQueued(now)
}

// Tick refuses queued calls that can no longer meet their deadline and starts calls after a pause; Next says when it is due.
func (g *Gate) Tick(now time.Time) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.startQueued(now)
}

// Next returns when Tick is due: the end of a pause or the earliest deadline in the queue; zero if neither applies.
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

// Shed handles a 503 of the backend server: no call starts for the given duration (at most 30 s), and the limit decreases.
func (g *Gate) Shed(now time.Time, after time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.shed()
	if until := now.Add(min(max(after, 0), maxPause)); until.After(g.paused) {
		g.paused = until
	}
}

// Drain refuses new calls from now on and returns refusals for all queued calls; running calls continue.
func (g *Gate) Drain(_ time.Time) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	var out []Decision
	for len(g.queue) > 0 {
		out = append(out, g.refuse(g.dequeue(0).Call, outcome.Draining, 0))
	}
	return out
}

// Resume ends a drain, for example when the backend server announces itself again.
func (g *Gate) Resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = false
}

// Resize sets the slots and connections after a configuration change, and returns decisions for queued calls; running calls
// above the new slots continue.
func (g *Gate) Resize(now time.Time, slots, connections int) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.maxConnections = max(connections, 0)
	g.slots = max(slots, 1)
	if g.maxConnections > 0 {
		g.slots = min(g.slots, g.maxConnections)
	}
	if g.queueFollowsSlots {
		g.maxQueue = 2 * g.slots // a queue above the new maximum shrinks as its calls start
	}
	g.limit.resize(g.slots)
	return g.startQueued(now)
}

// Idle reports whether no call is running or queued.
func (g *Gate) Idle() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.running) == 0 && len(g.queue) == 0
}

// OpenConnection counts a new connection and reports whether the maximum allows it.
func (g *Gate) OpenConnection() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.maxConnections > 0 && g.openConnections >= g.maxConnections {
		return false
	}
	g.openConnections++
	return true
}

// CloseConnection releases a connection that Open counted.
func (g *Gate) CloseConnection() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.openConnections = max(g.openConnections-1, 0)
}

// Stats returns the current state and counters of the gate.
func (g *Gate) Stats() Stats {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.stats
	s.Slots, s.Limit, s.Running, s.Queued, s.Open = g.slots, g.limit.value(), len(g.running), len(g.queue), g.openConnections
	s.Service, s.Baseline = g.limit.meanServiceTime(), g.limit.minBaseline()
	s.Paused, s.Draining = g.paused, g.draining
	return s
}

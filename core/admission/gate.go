package admission

import (
	"sync"
	"time"

	"godwitspindle/core/capacity"
	"godwitspindle/core/outcome"
)

// Action says whether a call runs, waits or is refused.
type Action uint8

// Decisions on a call.
const (
	Admit  Action = iota + 1 // runs now and holds a slot until Done or Cancel
	Queue                    // waits until a later Decision admits or refuses it, or Cancel removes it
	Refuse                   // does not run; Decision.Failure says why
)

// Request describes a call that asks for a slot.
type Request struct {
	Call         string  // call id, unique among the running and queued calls of this gate
	Caller       string  // name of the caller, for fairness between callers
	Customer     string  // name of the customer, for fairness between customers; empty without one
	Weight       float64 // what the customer may use in relation to others, such as the rate of its quota; 0 if unknown
	Kind         string  // kind of request; requests of one kind should have similar service times
	Priority     int     // 0 (shed first) to 9 (shed last)
	RouteOffset  int     // priority of the route less Priority, for a customer with a priority of its own; orders calls within a priority
	Deadline     time.Time
	Objective    time.Time // a response after this time is of little use; zero for none
	Resent       bool      // the request was sent again, after a refusal or a lost response
	LastAttempt  bool      // the caller does not retry after a refusal
	Nested       bool      // made for a running request, whose work is lost if this call is refused
	Idempotent   bool
	LateTolerant bool // tolerates a late response, so it is displaced first
	Movable      bool // is tried at another endpoint at once after a busy refusal, so it leaves the queue while time for that is left
	Remote       bool // the response leaves the host
	Suspect      bool // the request may crash the backend server; at most one suspect runs at a time
}

// Decision is the action for one call.
type Decision struct {
	Call      string
	Action    Action
	Failure   *outcome.Failure // reason of a refusal, always of kind notrun; nil otherwise
	Wait      time.Duration    // estimated wait of a queued call, actual wait of an admitted one
	Displaced *Decision        // refusal of the queued call that this one displaced; nil if there is none
}

// Stats is a snapshot of the state and counters of a gate.
type Stats struct {
	Slots    int
	Limit    int // maximum running calls; below Slots after a slowdown or after the backend server has shed load
	Running  int
	Queued   int
	Open     int           // open connections
	Rate     float64       // calls per second that may start; 0 without a limit
	Capacity float64       // calls that can run at once, by the slots and the rate
	Service  time.Duration // mean service time
	Baseline time.Duration // lowest recent mean service time of any request kind
	Paused   time.Time     // time before which no call starts; zero if there was no pause
	Draining bool

	Admitted, Refused, Displaced, Expired, Canceled uint64
}

// Gate controls the slots and the queue of one endpoint; it is safe for concurrent use and holds its mutex only briefly.
type Gate struct {
	slots             int
	maxQueue          int  // maximum queued calls
	queueFollowsSlots bool // keeps maxQueue at twice the slots
	maxConnections    int
	ignoreCallers     bool // treats all callers as one
	sharesByPriority  bool // gives each priority a share of the slots under contention

	mutex           sync.Mutex
	running         map[string]runningCall // by call id
	queue           []queuedCall           // in the order that the function before defines
	callers         map[string]callerUsage // usage of the callers with a running or queued call
	openConnections int
	suspects        int // number of running suspects, 0 or 1
	sequence        uint64
	limit           adaptiveLimit
	rate            rateLimit
	waitFactors     waitFactors
	shares          shares
	customers       customers
	link            *Link // network link of the host; nil if its load is not tracked
	paused          time.Time
	draining        bool
	stats           Stats
}

type runningCall struct {
	caller  string
	kind    string
	suspect bool
	bytes   float64 // response bytes reserved on the link
	start   capacity.Start
}

type callerUsage struct{ running, queued int }

type queuedCall struct {
	Request
	arrived  time.Time
	sequence uint64
	estimate time.Duration // wait estimated from the queue when the call arrived, without the learned factor
	overdue  bool          // the call was expected on arrival to miss its objective, so it starts after calls that can meet theirs
}

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
		return g.refuse(now, r.Call, outcome.Draining, 0)
	}
	if _, ok := g.running[r.Call]; ok || g.queueIndex(r.Call) >= 0 {
		return g.refuse(now, r.Call, outcome.Refused, 0)
	}
	g.shares.countRequest(now, r.rank())
	g.customers.ask(now, &r)
	g.limit.advance(now, len(g.running))
	service := g.limit.serviceTime(r.Kind)
	if !r.Deadline.IsZero() && now.Add(service).After(r.Deadline) {
		return g.refuse(now, r.Call, r.missedDeadline(), 0)
	}
	if d, refused := g.refuseLate(now, &r, service); refused {
		return d
	}
	if g.mayStart(now) && (!r.Suspect || g.suspects == 0) && !g.yieldsToQueue(r) {
		return g.admit(now, r, 0)
	}
	return g.decideQueue(now, r, service)
}

// refuseLate returns the refusal of a call whose response would be late even if the call started now.
func (g *Gate) refuseLate(now time.Time, r *Request, service time.Duration) (Decision, bool) {
	if linkWait := g.linkWait(now, r, service); linkWait > 0 && r.tooLate(now.Add(service+linkWait)) {
		return g.refuse(now, r.Call, outcome.Busy, linkWait), true
	}
	return g.refuseSlow(now, r, service)
}

// decideQueue queues a call that finds no free slot, unless the expected wait is too long or there is no place for it.
func (g *Gate) decideQueue(now time.Time, r Request, service time.Duration) Decision {
	w := queuedCall{Request: r, arrived: now, sequence: g.sequence}
	g.sequence++
	wait := g.expectedWait(now, &w)
	w.overdue = !r.LastAttempt && !r.Objective.IsZero() && now.Add(wait+service).After(r.Objective)
	if w.overdue {
		wait = g.expectedWait(now, &w)
	}
	if lateness := w.lateness(now, wait, service); lateness > 0 {
		return g.refuse(now, r.Call, g.busyCode(now, &w), w.retryAfter(now, lateness, service))
	}
	if w.moves(now.Add(wait), service) {
		return g.refuse(now, r.Call, outcome.Busy, wait)
	}
	if !r.Deadline.IsZero() && now.Add(wait+service).After(r.Deadline) {
		return g.refuse(now, r.Call, outcome.DeadlineExceeded, wait)
	}
	if g.exceedsCallerShare(r.Caller) {
		return g.refuse(now, r.Call, outcome.Overload, wait)
	}
	var displaced *Decision
	if len(g.queue) >= g.maxQueue {
		i := g.victim(now, &w)
		if i < 0 && !r.Objective.IsZero() {
			return g.refuse(now, r.Call, g.busyCode(now, &w), wait)
		}
		if i < 0 {
			return g.refuse(now, r.Call, outcome.Overload, wait)
		}
		d := g.refuse(now, g.dequeue(i).Call, outcome.Overload, wait)
		g.stats.Displaced++
		displaced = &d
	}
	g.enqueue(w)
	return Decision{Call: r.Call, Action: Queue, Wait: wait, Displaced: displaced}
}

// tooLate reports whether a response at the given time would come after the call's objective or, for a call sent again with a
// deadline, after that deadline. It is false for a last attempt, which the caller does not retry after a refusal.
func (r *Request) tooLate(responseAt time.Time) bool {
	if r.LastAttempt {
		return false
	}
	if r.Resent && !r.Deadline.IsZero() {
		return responseAt.After(r.Deadline)
	}
	return responseAt.After(r.Objective)
}

// Done frees the slot of a call and returns decisions for queued calls. ok is false if the response says nothing about the
// speed of the backend server; serviceTime is then ignored.
func (g *Gate) Done(now time.Time, call string, serviceTime time.Duration, ok bool) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r, known := g.running[call]
	if !known || !g.release(call) {
		return nil
	}
	if ok {
		g.limit.observe(r.kind, serviceTime, len(g.running)+1)
		g.limit.observeEstimate(now, r, serviceTime, len(g.running)+1)
	}
	return g.startQueued(now)
}

// Cancel removes a call whose caller has disconnected, from the queue or from its slot, and returns decisions for queued calls.
// For a running call, the node must not call Cancel before the backend server has stopped working on that call.
func (g *Gate) Cancel(now time.Time, call string) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if i := g.queueIndex(call); i >= 0 {
		w := g.dequeue(i)
		g.customers.leave(&w)
		g.stats.Canceled++
		return nil
	}
	if !g.release(call) {
		return nil
	}
	g.stats.Canceled++
	return g.startQueued(now)
}

// Withdraw refuses a call that is still queued and reports whether there was one. A call that runs, or that the gate does not know, is
// not changed.
func (g *Gate) Withdraw(now time.Time, call string) (Decision, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i := g.queueIndex(call)
	if i < 0 {
		return Decision{}, false
	}
	d := g.refuse(now, g.dequeue(i).Call, outcome.Draining, 0)
	d.Failure.Detail = "The node that sent the call is stopping and withdrew it from the queue."
	return d, true
}

// Tick refuses queued calls that can no longer meet their deadline and starts others while slots are free, for example after a
// pause. Next says when it is due.
func (g *Gate) Tick(now time.Time) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.startQueued(now)
}

// Next returns the time at which Tick is due: the earliest of the first deadline in the queue, the end of the last pause, which
// may have passed, and the time at which the rate lets a call start. The time is zero if no call is queued, or if none of these
// exists.
func (g *Gate) Next(now time.Time) time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var next time.Time
	for i := range g.queue {
		if d := g.queue[i].Deadline; !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
		if d := g.queue[i].moveAt(g.limit.serviceTime(g.queue[i].Kind)); !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	if len(g.queue) > 0 && !g.paused.IsZero() && (next.IsZero() || g.paused.Before(next)) {
		next = g.paused
	}
	if len(g.queue) == 0 || g.rate.bucket == nil || len(g.running) >= g.limit.value() {
		return next
	}
	if at := now.Add(g.rate.wait(now, 1)); next.IsZero() || at.Before(next) {
		next = at
	}
	return next
}

// Shed handles a 503 of the backend server: no call starts during the pause (at most 30 s), and the limit decreases unless it is
// fixed.
func (g *Gate) Shed(now time.Time, pause time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.shed()
	if until := now.Add(min(max(pause, 0), maxPause)); until.After(g.paused) {
		g.paused = until
	}
}

// Drain refuses new calls from now on and returns refusals for all queued calls; running calls continue.
func (g *Gate) Drain(now time.Time) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	var out []Decision
	for len(g.queue) > 0 {
		out = append(out, g.refuse(now, g.dequeue(0).Call, outcome.Draining, 0))
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

// OpenConnection counts a new connection and reports true, unless the maximum is reached.
func (g *Gate) OpenConnection() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.maxConnections > 0 && g.openConnections >= g.maxConnections {
		return false
	}
	g.openConnections++
	return true
}

// CloseConnection releases a connection that OpenConnection counted.
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
	s.Rate, s.Capacity = g.rate.perSecond(), g.capacity()
	return s
}

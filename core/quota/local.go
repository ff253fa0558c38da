package quota

import (
	"slices"
	"sync"
	"time"
)

const (
	// horizon is how much of its recent demand a node holds as tokens while there are enough of them. It bridges most of the time without
	// a coordinator after the loss of a leader.
	horizon = time.Second
	// demandTime and spendTime are the time constants of the averages of arrivals, and of granted and spent tokens.
	demandTime = 500 * time.Millisecond
	spendTime  = time.Second
	// idleAfter is the time without requests of a customer after which a node returns its tokens.
	idleAfter = 2 * time.Second
	// askSpacing is the shortest time between two requests of a node to the coordinator.
	askSpacing = 10 * time.Millisecond
	// failedSpacing is the time after a failed request to the coordinator until the next.
	failedSpacing = 50 * time.Millisecond
	// minimumShare is the part of the rate at which all nodes together spend after the promises have ended. Half of the nodes then use
	// less than what heldShare leaves of the allowance.
	minimumShare = 0.05
	// fallbackBurst is the depth of the bucket of a node without a coordinator, in seconds of its rate.
	fallbackBurst = 200 * time.Millisecond
	// giveBackTime is the longest time from its admission after which a refused request gives its token back. Requests that wait longer at
	// a full endpoint may run all at once when it has room; with the tokens of those refused meanwhile spent again, they would exceed the
	// window's bound.
	giveBackTime = 50 * time.Millisecond
	// lateRetryAfter is the shortest wait suggested to a late request, which gets no token while others of the customer wait for them. Up to
	// as much again is added at random.
	lateRetryAfter = time.Second
	maxWaiting     = 256 // requests of one customer that wait for tokens at a node
	minRetryAfter  = 50 * time.Millisecond
	maxRetryAfter  = 5 * time.Second
)

// Local spends the tokens granted to one node. It is safe for concurrent use.
type Local struct {
	node        string
	incarnation uint64
	nodes       func() int     // number of agreed nodes
	random      func() float64 // in [0, 1)

	mutex    sync.Mutex
	accounts map[string]*account
	waiting  int // requests that wait, over all customers
	term     uint64
	number   uint64 // of the last request to the coordinator
	seen     uint64 // number of the last response
	interval time.Duration
	inFlight bool
	sent     time.Time // last request to the coordinator
	answered time.Time // last request that was answered
	failing  time.Time // first request after it that failed; zero if none has
	notAsked time.Time // no request is sent before
	told     string    // coordinator that answered last
	greet    bool      // a request is due although no customer is active
	totals   Totals
}

// Verdict is the decision on one request.
type Verdict struct {
	Granted    bool
	Fallback   bool          // granted without a token, as no coordinator answers
	RetryAfter time.Duration // of a refused request
	State      State         // for logs
}

// State describes a customer at a node when a request was refused.
type State struct {
	Limit  Limit
	Tokens int
	Demand float64       // requests per second
	Age    time.Duration // since tokens were last granted; negative if none were
	Term   uint64
}

// Totals counts the decisions of a Local.
type Totals struct {
	Granted, Spent, Refused, Asks uint64
	Fallback                      uint64    // requests that ran without a token, as no coordinator answered
	Answered                      time.Time // last answered request; zero if there was none
	Alone                         bool      // no coordinator answers
}

// Waiter is a request that waits for a token. Decided gets its verdict.
type Waiter struct {
	Decided  chan Verdict
	customer string
}

// LocalOption replaces a default of the Local that NewLocal returns.
type LocalOption func(*Local)

// WithNodes sets the function that returns the number of agreed nodes.
func WithNodes(f func() int) LocalOption { return func(l *Local) { l.nodes = f } }

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(f func() float64) LocalOption { return func(l *Local) { l.random = f } }

// NewLocal returns a Local without tokens for one process of a node.
func NewLocal(node string, incarnation uint64, opts ...LocalOption) *Local {
	l := &Local{
		node: node, incarnation: incarnation, nodes: func() int { return 1 }, random: func() float64 { return 0.5 },
		accounts: map[string]*account{}, interval: DefaultInterval,
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Take decides on a request of a customer with a quota. If it returns a Waiter, the verdict comes later: at the next Answer, or from
// Leave.
func (l *Local) Take(now time.Time, customer string, limit Limit) (Verdict, *Waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.take(now, customer, l.account(now, customer, limit))
}

// TakeLate is Take for a request that can hardly be answered within its objective any more, mostly since it was refused before. While
// the customer is short of tokens it does not wait for one, so that those that come go to requests that can be answered in time.
func (l *Local) TakeLate(now time.Time, customer string, limit Limit) (Verdict, *Waiter) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.account(now, customer, limit)
	if short := a.scarce && !a.room || now.Before(a.hold); !short || a.tokens > 0 && now.Before(a.expires) {
		return l.take(now, customer, a)
	}
	a.arrived++
	a.lastArrival = now
	v := l.refuse(now, a)
	v.RetryAfter = max(v.RetryAfter, lateRetryAfter+time.Duration(l.random()*float64(lateRetryAfter)))
	return v, nil
}

func (l *Local) take(now time.Time, customer string, a *account) (Verdict, *Waiter) {
	a.arrived++
	a.lastArrival = now
	if a.spend(now) {
		l.totals.Spent++
		return Verdict{Granted: true}, nil
	}
	if l.alone(now) {
		if l.spendSpare(now, a) {
			l.totals.Fallback++
			return Verdict{Granted: true, Fallback: true}, nil
		}
		return l.refuse(now, a), nil
	}
	if now.Before(a.hold) || len(a.waiting) >= maxWaiting {
		return l.refuse(now, a), nil
	}
	w := &Waiter{Decided: make(chan Verdict, 1), customer: customer}
	a.waiting = append(a.waiting, w)
	l.waiting++
	return Verdict{}, w
}

// Leave ends the wait of a request and returns its verdict, which may have been decided before.
func (l *Local) Leave(now time.Time, w *Waiter) Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case v := <-w.Decided:
		return v
	default:
	}
	a := l.accounts[w.customer]
	if a == nil {
		return Verdict{RetryAfter: minRetryAfter}
	}
	if i := slices.Index(a.waiting, w); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
		l.waiting--
	}
	return l.refuse(now, a)
}

// GiveBack returns the token of a request that was admitted at the given time and then refused soon without running.
func (l *Local) GiveBack(now, admitted time.Time, customer string, v Verdict) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[customer]
	if a == nil || now.Sub(admitted) > giveBackTime {
		return
	}
	if v.Fallback {
		a.spare++
		l.totals.Fallback--
		return
	}
	a.tokens++
	a.spent--
	l.totals.Spent--
	l.serve(now, a)
}

// account returns the account of a customer with the limit in force.
func (l *Local) account(now time.Time, customer string, limit Limit) *account {
	a := l.accounts[customer]
	if a == nil {
		a = &account{limit: limit, measured: now}
		l.accounts[customer] = a
	}
	if a.limit == limit {
		return a
	}
	if limit.Rate < a.limit.Rate {
		part := limit.Rate / a.limit.Rate
		a.tokens = int(float64(a.tokens) * part)
		a.promised *= part
	}
	a.limit = limit
	return a
}

// alone reports whether no coordinator answers this node.
func (l *Local) alone(now time.Time) bool {
	return !l.failing.IsZero() && now.After(l.aloneSince())
}

func (l *Local) aloneSince() time.Time {
	since := l.answered.Add(fallbackAfter(l.interval))
	// A node that was quiet may find the coordinator at the second try, while its requests wait.
	if tried := l.failing.Add(2 * MaxWait); tried.After(since) {
		return tried
	}
	return since
}

// minimum returns the rate of this node after its promise has ended.
func (l *Local) minimum(a *account) float64 {
	return a.limit.Rate * minimumShare / float64(max(l.nodes(), 1))
}

// spendSpare runs a request without a token if the promised rate, or later the minimum, allows it.
func (l *Local) spendSpare(now time.Time, a *account) bool {
	since, minimum := l.aloneSince(), l.minimum(a)
	if a.spareAt.Before(since) {
		// With a random part of a token at the start, nodes with less than a request per second together spend what was promised to them;
		// without it, less.
		a.spare, a.spareAt = l.random(), since
	}
	until := a.promiseEnds
	if until.After(now) {
		until = now
	}
	if until.After(a.spareAt) {
		a.spare += a.promised * until.Sub(a.spareAt).Seconds()
		a.spareAt = until
	}
	a.spare += minimum * now.Sub(a.spareAt).Seconds()
	a.spareAt = now
	a.spare = min(a.spare, max(a.promised*fallbackBurst.Seconds(), 1))
	if a.spare < 1 {
		return false
	}
	a.spare--
	return true
}

// serve gives tokens to requests that wait.
func (l *Local) serve(now time.Time, a *account) {
	for len(a.waiting) > 0 && a.spend(now) {
		l.totals.Spent++
		l.decide(a, Verdict{Granted: true})
	}
}

// decide ends the wait of the first waiting request.
func (l *Local) decide(a *account, v Verdict) {
	w := a.waiting[0]
	a.waiting = a.waiting[1:]
	l.waiting--
	w.Decided <- v
}

// Greet makes a request due at once, since a new coordinator needs to hear from every node.
func (l *Local) Greet() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.greet = true
}

// Due returns the time of the next request to the coordinator, and false if none is due before a request waits.
func (l *Local) Due() (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inFlight || len(l.accounts) == 0 && !l.greet {
		return time.Time{}, false
	}
	at := l.sent.Add(l.interval)
	if l.waiting > 0 || l.greet {
		at = l.sent.Add(askSpacing)
	}
	if l.notAsked.After(at) {
		at = l.notAsked
	}
	return at, true
}

// Ask returns the request to send to a coordinator now. Answer or Failed must follow.
func (l *Local) Ask(now time.Time, coordinator string) Request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.number++
	l.totals.Asks++
	l.inFlight, l.sent, l.greet = true, now, false
	r := Request{Node: l.node, Incarnation: l.incarnation, Number: l.number, Seen: l.seen}
	changed := coordinator != l.told || !l.failing.IsZero()
	for customer, a := range l.accounts {
		a.measure(now, l.failing.IsZero())
		ask := a.ask(now, l.interval)
		ask.Customer = customer
		if changed && now.Before(a.promiseEnds) {
			ask.Promised, ask.Total = a.promised, a.total
		}
		r.Asks = append(r.Asks, ask)
		if a.done(now) {
			delete(l.accounts, customer)
		}
	}
	return r
}

// Answer applies the response to the request in flight. It reports false if the replica grants nothing or in an earlier term.
func (l *Local) Answer(now time.Time, coordinator string, p Response) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if p.Term == 0 || p.Term < l.term {
		l.fail(now)
		return false
	}
	l.inFlight = false
	l.term, l.seen, l.told = p.Term, p.Number, coordinator
	l.answered, l.failing = l.sent, time.Time{}
	if p.Interval > 0 {
		l.interval = min(p.Interval, maxInterval)
	}
	for _, g := range p.Grants {
		if a := l.accounts[g.Customer]; a != nil {
			l.apply(now, a, g)
		}
	}
	return true
}

// apply adds the tokens of a grant and decides on the requests that wait.
func (l *Local) apply(now time.Time, a *account, g Grant) {
	a.tokens += g.Tokens
	a.granted += g.Tokens
	l.totals.Granted += uint64(g.Tokens)
	a.expires = l.sent.Add(tokenLife)
	if g.Tokens > 0 {
		a.grantedAt = now
	}
	a.promised, a.total, a.promiseEnds = g.Promised, g.Total, l.sent.Add(promiseLife)
	a.scarce, a.room, a.sharing = g.Scarce, g.Room, g.Sharing
	l.serve(now, a)
	if g.Wait == 0 {
		a.hold = time.Time{}
		return
	}
	// The random part keeps nodes from asking in a fixed order, in which the same node would find no tokens each time.
	a.spacing = min(g.Wait, maxSpacing)
	a.hold = now.Add(time.Duration(float64(a.spacing) * (0.85 + 0.3*l.random())))
	for len(a.waiting) > 0 {
		l.decide(a, l.refuse(now, a))
	}
}

// Moved records that the request in flight was answered by a replica that does not lead. The leader can be asked at once.
func (l *Local) Moved() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight = false
}

// Failed records that the request in flight was not answered.
func (l *Local) Failed(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fail(now)
}

func (l *Local) fail(now time.Time) {
	l.inFlight = false
	if l.failing.IsZero() {
		l.failing = l.sent
	}
	l.notAsked = now.Add(failedSpacing + time.Duration(l.random()*float64(failedSpacing)))
}

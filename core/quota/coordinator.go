package quota

import (
	"sync"
	"time"
)

// Standing is what a replica knows about its own leadership.
type Standing struct {
	Leads     bool
	Term      uint64
	Leader    string        // name of the leader, if known
	Confirmed time.Duration // age of the last confirmation by a majority; negative if there was none
	Nodes     int           // number of agreed nodes
}

// Coordinator grants tokens to nodes while its replica leads. It is safe for concurrent use.
type Coordinator struct {
	bounds Bounds
	limit  func(customer string) (Limit, bool)

	mutex   sync.Mutex
	term    uint64
	began   time.Time // first request of the term
	nodes   map[string]*node
	buckets map[string]*bucket
	agreed  int // number of agreed nodes
	swept   time.Time
	load    load
}

// node is what the coordinator knows about one process of a node.
type node struct {
	incarnation  uint64
	number       uint64 // of its last request
	responses    uint64
	at           time.Time         // of its last request
	acknowledged time.Time         // last time at which the node had all responses
	shares       map[string]*share // by customer
}

// CoordinatorOption replaces a default of the Coordinator that NewCoordinator returns.
type CoordinatorOption func(*Coordinator)

// WithBounds sets how far the requests of a customer may exceed its quota.
func WithBounds(b Bounds) CoordinatorOption { return func(c *Coordinator) { c.bounds = b } }

// NewCoordinator returns a Coordinator; limit returns the quota of a customer in the version in force, and false for a customer that this
// does not have.
func NewCoordinator(limit func(customer string) (Limit, bool), opts ...CoordinatorOption) *Coordinator {
	c := &Coordinator{bounds: DefaultBounds(), limit: limit}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Decide answers the request of a node.
func (c *Coordinator) Decide(now time.Time, s Standing, r Request) Response {
	if !s.Leads || s.Confirmed < 0 || s.Confirmed > MaxConfirmationAge {
		return Response{Leader: s.Leader}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s.Term < c.term {
		return Response{Leader: s.Leader}
	}
	if s.Term > c.term {
		c.term, c.began, c.swept = s.Term, now, now
		c.nodes, c.buckets = map[string]*node{}, map[string]*bucket{}
	}
	c.agreed = s.Nodes
	c.load.count(now)
	n, missed, ok := c.observe(now, r)
	if !ok {
		return Response{Leader: s.Leader} // a later request of the node has overtaken this one
	}
	c.sweep(now)
	c.settle(now, r.Node, n, missed, r.Asks)
	n.responses++
	p := Response{Term: c.term, Leader: s.Leader, Number: n.responses, Interval: c.interval()}
	for _, a := range r.Asks {
		if n.responses > 1 {
			a.Promised, a.Total = 0, 0 // promises of this term are known
		}
		p.Grants = append(p.Grants, c.grant(now, r.Node, a))
	}
	if !missed {
		n.acknowledged = now
	}
	return p
}

// observe records the request of a node, and reports whether the node has missed the last response. It returns false for a request that
// was overtaken by a later one.
func (c *Coordinator) observe(now time.Time, r Request) (n *node, missed, ok bool) {
	n = c.nodes[r.Node]
	if n != nil && n.incarnation == r.Incarnation && r.Number <= n.number {
		return nil, false, false
	}
	if n == nil || n.incarnation != r.Incarnation {
		c.forget(now, r.Node) // the tokens of an earlier process ended with it
		n = &node{incarnation: r.Incarnation, acknowledged: now, shares: map[string]*share{}}
		c.nodes[r.Node] = n
	}
	n.number, n.at = r.Number, now
	return n, n.responses > 0 && r.Seen != n.responses, true
}

// settle updates the shares of a node by what it knows of the last response: tokens of a response that it missed are free again, and a
// customer that it does not name holds nothing there.
func (c *Coordinator) settle(now time.Time, name string, n *node, missed bool, asks []Ask) {
	for _, a := range asks {
		if s := n.shares[a.Customer]; s != nil {
			s.named = true
		}
	}
	for customer, s := range n.shares {
		b := c.buckets[customer]
		c.refill(now, b)
		if !missed && !s.named {
			c.remove(customer, name)
			continue
		}
		b.exclude(s)
		if missed && now.Before(s.expires) {
			lost := min(s.granted, s.held)
			s.held -= lost
			b.level += float64(lost)
		}
		if !missed {
			s.before = s.promised
		}
		s.granted, s.named = 0, false
		b.include(s)
		c.clamp(now, b)
	}
}

// remove removes the share of a node.
func (c *Coordinator) remove(customer, name string) {
	b, n := c.buckets[customer], c.nodes[name]
	b.exclude(b.shares[name])
	delete(b.shares, name)
	delete(n.shares, customer)
}

// drop removes a bucket.
func (c *Coordinator) drop(customer string) {
	if b := c.buckets[customer]; b != nil {
		for name := range b.shares {
			delete(c.nodes[name].shares, customer)
		}
		delete(c.buckets, customer)
	}
}

// grant answers one ask of a node.
func (c *Coordinator) grant(now time.Time, name string, a Ask) Grant {
	limit, known := c.limit(a.Customer)
	if limit.Rate <= 0 {
		c.drop(a.Customer)
		if !known { // it was withdrawn, or this replica does not have the node's version yet
			return Grant{Customer: a.Customer, Wait: minSpacing}
		}
		return Grant{Customer: a.Customer, Tokens: min(a.Want, maxGrant)}
	}
	b := c.bucketOf(now, a, limit)
	c.refill(now, b)
	s := b.shares[name]
	if s == nil {
		s = &share{}
		b.shares[name], c.nodes[name].shares[a.Customer] = s, s
		b.heard += a.Promised
		b.total = max(b.total, a.Total)
	}
	b.exclude(s)
	if now.Before(s.expires) { // expired tokens have accrued again
		b.level += float64(min(max(a.Returned, 0), s.held))
	}
	s.held, s.rate, s.expires = max(a.Held, 0), max(a.Rate, 0), now.Add(tokenLife)
	b.include(s)
	c.clamp(now, b)
	g := c.tokens(now, b, a)
	b.exclude(s)
	s.held, s.granted = s.held+g.Tokens, g.Tokens
	g.Promised, g.Total = b.promise(s)
	s.promised = g.Promised
	b.include(s)
	if a.Want == 0 && s.held == 0 && s.rate == 0 {
		c.remove(a.Customer, name) // the node has nothing to do with the customer any more
	}
	return g
}

// tokens takes the tokens for an ask out of the bucket.
func (c *Coordinator) tokens(now time.Time, b *bucket, a Ask) Grant {
	n := min(max(a.Need, 0), max(int(min(b.level, maxGrant)), 0))
	if n < a.Need {
		b.scarce = now.Add(scarceTime)
	}
	if n < a.Waiting {
		b.shortage(now)
	}
	over := n < a.Need && now.Before(b.over)
	n += max(min(a.Want-n, c.spare(now, b, n)), 0)
	b.level -= float64(n)
	g := Grant{Customer: a.Customer, Tokens: n, Scarce: now.Before(b.scarce), Sharing: len(b.shares)}
	g.Room = b.level >= c.bounds.depth(b.limit)/2
	if over {
		g.Wait = c.wait(b)
	}
	return g
}

// bucketOf returns the bucket of a customer, with the limit in force. A new bucket has what accrued since the term began.
func (c *Coordinator) bucketOf(now time.Time, a Ask, limit Limit) *bucket {
	b := c.buckets[a.Customer]
	if b == nil {
		b = &bucket{limit: limit, updated: c.began, scanned: c.began, shares: map[string]*share{}, total: a.Total}
		c.buckets[a.Customer] = b
	}
	if b.limit != limit {
		c.refill(now, b)
		b.limit = limit
	}
	return b
}

// interval returns the time between two regular requests of a node.
func (c *Coordinator) interval() time.Duration {
	return min(max(DefaultInterval, time.Duration(len(c.nodes))*time.Second/asksPerSecond), maxInterval)
}

// sweep forgets nodes and customers, about once a second.
func (c *Coordinator) sweep(now time.Time) {
	if now.Sub(c.swept) < time.Second {
		return
	}
	c.swept = now
	for name, n := range c.nodes {
		if now.Sub(n.at) > promiseLife+tokenLife && now.Sub(c.began) > promiseLife {
			c.forget(now, name)
		}
	}
	for customer, b := range c.buckets {
		c.refill(now, b)
		// A bucket that is not full must stay, since a new one starts with what accrued since the term began.
		limit, _ := c.limit(customer)
		if len(b.shares) == 0 && (b.level >= c.bounds.depth(b.limit) || limit.Rate <= 0) {
			delete(c.buckets, customer)
		}
	}
}

// forget removes a node and its shares.
func (c *Coordinator) forget(now time.Time, name string) {
	n := c.nodes[name]
	if n == nil {
		return
	}
	for customer := range n.shares {
		c.refill(now, c.buckets[customer])
		c.remove(customer, name)
	}
	delete(c.nodes, name)
}

// load measures the requests per second.
type load struct {
	perSecond float64
	began     time.Time
	requests  int
}

func (l *load) count(now time.Time) {
	if age := now.Sub(l.began); age >= time.Second {
		l.perSecond = float64(l.requests) / age.Seconds()
		l.began, l.requests = now, 0
	}
	l.requests++
}

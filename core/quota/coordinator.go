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

// share is a node's part of a customer's quota.
type share struct {
	held             int
	expires          time.Time // time at which the held tokens have expired at the node
	granted          int       // by the last response
	rate             float64   // spent per second, as the node reports
	promised, before float64   // promises of the last response and of the last acknowledged one
	named            bool      // by the request that is being handled
}

// bucket is the state of one customer.
type bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	scanned time.Time         // last time at which all shares were read
	shares  map[string]*share // by node
	// Sums over the shares: tokens held, rates spent, promised rates.
	held            int
	rates, promised float64
	scarce          time.Time // time until which the customer counts as short of tokens
	over            time.Time // time until which it counts as over its quota, as a request got no token
	short           int       // asks with such requests since it last was within its quota
	total           float64   // largest sum of promises of the term before that a node reported
	heard           float64   // promises of the term before whose nodes have asked in this term
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

// exclude takes a share out of the sums of the bucket before it changes; include adds it again.
func (b *bucket) exclude(s *share) {
	b.held, b.rates, b.promised = b.held-s.held, b.rates-s.rate, b.promised-s.reserved()
}

func (b *bucket) include(s *share) {
	b.held, b.rates, b.promised = b.held+s.held, b.rates+s.rate, b.promised+s.reserved()
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

// refill adds what has accrued to a bucket.
func (c *Coordinator) refill(now time.Time, b *bucket) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += b.limit.Rate * elapsed.Seconds()
		b.updated = now
	}
	if now.Sub(b.scanned) >= scanInterval {
		c.scan(now, b)
	}
	c.clamp(now, b)
}

// scan deducts the rates reserved for nodes that may spend without asking, and forgets expired tokens.
func (c *Coordinator) scan(now time.Time, b *bucket) {
	reserved := c.unheard(b) * overlap(b.scanned, now, c.began, c.began.Add(promiseLife))
	silent := silentAfter(c.interval())
	b.held, b.rates, b.promised = 0, 0, 0
	for name, s := range b.shares {
		at := c.nodes[name].acknowledged
		reserved += s.reserved() * overlap(b.scanned, now, at.Add(silent), at.Add(promiseLife))
		if !now.Before(s.expires) {
			s.held = 0
		}
		b.include(s)
	}
	b.level -= min(reserved, b.limit.Rate*now.Sub(b.scanned).Seconds())
	b.scanned = now
}

// unheard returns the rate at which nodes may spend by promises of the term before that have not asked in this term.
func (c *Coordinator) unheard(b *bucket) float64 {
	if b.total > 0 {
		return max(b.total-b.heard, 0)
	}
	// No node has told the sum of the promises. The customer may have been active only on nodes that are out of reach, the likelier
	// the more there are.
	missing := float64(c.agreed-len(c.nodes)) / float64(max(c.agreed, 1))
	return b.limit.Rate * min(max(unheardFactor*missing, 0), maxUnheard)
}

const (
	unheardFactor = 4
	// maxUnheard keeps a little for the nodes in contact, within the part of the allowance that is not held as tokens.
	maxUnheard = 0.95
)

// overlap returns the seconds that the spans a to b and c to d have in common.
func overlap(a, b, c, d time.Time) float64 {
	if c.After(a) {
		a = c
	}
	if d.Before(b) {
		b = d
	}
	return max(b.Sub(a).Seconds(), 0)
}

// clamp keeps the level within the depth of the bucket and the sum of level and held tokens within the total.
func (c *Coordinator) clamp(now time.Time, b *bucket) {
	b.level = min(b.level, c.bounds.depth(b.limit), max(c.room(now, b), 0))
}

// room returns how many tokens the nodes and the bucket may have in addition to those that nodes hold.
func (c *Coordinator) room(now time.Time, b *bucket) float64 {
	part := heldShare
	if now.Sub(c.began) < tokenLife {
		part = newTermShare
	}
	return c.bounds.total(b.limit, part) - float64(b.held)
}

// spare returns how many tokens may be granted for demand that may not come, besides the tokens needed: half of the bucket stays for
// other nodes, and what the nodes hold must leave room for a full bucket.
func (c *Coordinator) spare(now time.Time, b *bucket, needed int) int {
	depth := c.bounds.depth(b.limit)
	return int(min(b.level-float64(needed)-depth/2, c.room(now, b)-float64(needed)-depth, maxGrant))
}

// promise returns the rate that a node may spend without a coordinator, and the sum for all nodes, which does not exceed the limit. The
// share is excluded from the sums.
func (b *bucket) promise(s *share) (rate, total float64) {
	rate = min(s.rate, s.rate*b.limit.Rate/max(b.rates+s.rate, b.limit.Rate))
	rate = max(min(rate, b.limit.Rate-b.promised), 0)
	return rate, min((b.promised+rate)*promiseMargin, b.limit.Rate)
}

// promiseMargin covers promises that grow between two requests of a node, whose last response then tells too small a sum.
const promiseMargin = 1.25

// reserved returns the rate at which the node may spend without asking. It may not have got the last response.
func (s *share) reserved() float64 { return max(s.promised, s.before) }

// shortage records that a request got no token.
func (b *bucket) shortage(now time.Time) {
	if !now.Before(b.over) {
		b.short = 0
	}
	b.short++
	b.over = now.Add(scarceTime)
}

// wait returns the time after which a node that lacks tokens should ask again. Nodes that ask for the same customer take turns within
// what the coordinator can handle.
func (c *Coordinator) wait(b *bucket) time.Duration {
	spacing := max(time.Duration(len(b.shares))*time.Second/overAsksPerSecond, minSpacing)
	spacing = time.Duration(float64(spacing) * max(c.load.perSecond/overAsksPerSecond, 1))
	// A short lack of tokens should not keep a node from asking for the time that a lasting one requires.
	spacing = time.Duration(float64(spacing) * min(float64(b.short)/float64(len(b.shares)), 1))
	next := (1 - b.level) / b.limit.Rate
	return min(max(spacing, time.Duration(next*float64(time.Second))), maxSpacing)
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

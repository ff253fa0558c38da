package quota

import "time"

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

// exclude takes a share out of the sums of the bucket before it changes; include adds it again.
func (b *bucket) exclude(s *share) {
	b.held, b.rates, b.promised = b.held-s.held, b.rates-s.rate, b.promised-s.reserved()
}

func (b *bucket) include(s *share) {
	b.held, b.rates, b.promised = b.held+s.held, b.rates+s.rate, b.promised+s.reserved()
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

package admission

import (
	"math"
	"time"
)

const (
	customerHalfLife = 4 * time.Second // time after which a call counts half
	customerPrior    = 1.0             // added to asked and granted calls, so that the first ones change a share little
	usePrior         = 2.0             // added to the use of a customer, so that the first calls change its level little
	minActive        = 0.3             // a customer with fewer recent calls and none in the queue is not one of those that others are compared with
	maxCustomers     = 256             // tracked pairs of customer and rank; the one with the fewest recent calls makes room for a new one
	minAsked         = 0.01            // a customer with fewer recent calls is forgotten
	maxDoublings     = 20              // half-lives after which the counts are scaled down, to stay within the precision of a float64

	// starvedShare is the fraction of the rank's granted share below which a customer comes first. No customer may be served less than a
	// quarter as often as all; the margin is for the error of counts over a few seconds.
	starvedShare = 0.3
	maxLevel     = 3    // highest level; it has no upper bound of use
	levelMargin  = 1.25 // level 0 ends at this multiple of the mean use of the others; each further level ends at twice the one before
)

// starvedLevel is the level of a customer below starvedShare; its calls start before those of all other customers of the rank.
const starvedLevel = -1

// customers counts the recent calls of customers at the endpoint, with exponential decay. While there are calls of customers, it orders
// the queued calls of a rank by level: how much the customer used and has queued before the call, in relation to the mean of the
// rank's other customers. Nested calls are neither counted nor ordered: the requests that they are made for were, and a nested call that
// is late loses their work. Levels instead of an exact order let calls of customers with similar use start in the order of their deadlines.
type customers struct {
	origin time.Time // time at which a call counts 1; later calls count more, which takes the place of decaying all counts
	index  map[customerRank]int
	uses   []customerUse
	levels []int // of the queued calls; reused between decisions
}

type customerRank struct {
	customer string
	rank     int
}

// customerUse is the recent use of one customer in one rank.
type customerUse struct {
	customerRank
	weight  float64 // Request.Weight of its newest call
	asked   float64 // calls that asked for a slot, without those whose caller left the queue
	granted float64
	queued  int // calls in the queue; valid only within the method level

	active bool    // counts in the mean of its rank; set by the method sum
	total  float64 // the use with all queued calls; set by the method sum
}

// rankUse sums the use of all customers of a rank.
type rankUse struct {
	active, weighted int     // active customers, and customers with a weight
	weight           float64 // mean of the weights
	asked, granted   float64
	total            float64 // use of all active customers
}

// unit returns what a call at the given time counts.
func (c *customers) unit(at time.Time) float64 {
	return math.Exp2(float64(at.Sub(c.origin)) / float64(customerHalfLife))
}

// ask counts a call that asks for a slot. Calls without a customer count as those of one customer, once the endpoint has had calls of
// another. A call that was sent again does not count as asked, or a customer that returns at once would seem to be served least.
func (c *customers) ask(now time.Time, r *Request) {
	if r.Nested || r.Customer == "" && len(c.uses) == 0 {
		return
	}
	c.rescale(now)
	u := c.of(r)
	u.weight = r.Weight
	if !r.Resent {
		u.asked += c.unit(now)
	}
}

// grant counts a call that got a slot.
func (c *customers) grant(now time.Time, r *Request) {
	if !r.Nested && len(c.uses) > 0 {
		c.of(r).granted += c.unit(now)
	}
}

// leave takes back what ask counted for a call whose caller left the queue, or a customer whose callers leave early would seem to be
// served least.
func (c *customers) leave(w *queuedCall) {
	i, ok := c.index[customerRank{w.Customer, w.rank()}]
	if ok && !w.Resent {
		c.uses[i].asked = max(c.uses[i].asked-c.unit(w.arrived), 0)
	}
}

// of returns the use of the request's customer in its rank and creates it on first use.
func (c *customers) of(r *Request) *customerUse {
	k := customerRank{r.Customer, r.rank()}
	if i, ok := c.index[k]; ok {
		return &c.uses[i]
	}
	if c.index == nil {
		c.index = make(map[customerRank]int)
	}
	i := len(c.uses)
	if i < maxCustomers {
		c.uses = append(c.uses, customerUse{})
	} else {
		i = c.least()
		delete(c.index, c.uses[i].customerRank)
	}
	c.uses[i], c.index[k] = customerUse{customerRank: k}, i
	return &c.uses[i]
}

// least returns the index of the use with the fewest recent calls.
func (c *customers) least() int {
	best := 0
	for i := range c.uses {
		if c.uses[i].asked < c.uses[best].asked {
			best = i
		}
	}
	return best
}

// rescale makes a call at the given time count 1 again when the unit has grown large, and forgets customers without recent calls.
func (c *customers) rescale(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	if now.Sub(c.origin) < maxDoublings*customerHalfLife {
		return
	}
	unit, kept := c.unit(now), c.uses[:0]
	clear(c.index)
	for _, u := range c.uses {
		u.asked, u.granted = u.asked/unit, u.granted/unit
		if u.asked+u.granted >= minAsked {
			c.index[u.customerRank] = len(kept)
			kept = append(kept, u)
		}
	}
	c.uses, c.origin = kept, now
}

// level returns the level of each queued call and of a new call r, which may be nil; lower levels start first. The levels are nil
// without customers.
func (c *customers) level(now time.Time, queue []queuedCall, r *Request) (queued []int, own int) {
	if len(c.uses) == 0 {
		return nil, 0
	}
	for i := range c.uses {
		c.uses[i].queued = 0
	}
	for i := range queue {
		if k, ok := c.index[customerRank{queue[i].Customer, queue[i].rank()}]; ok {
			c.uses[k].queued++
		}
	}
	all := c.sum(now)
	if r != nil {
		own = c.levelOf(now, r, &all)
	}
	for i := range c.uses {
		c.uses[i].queued = 0 // now counts the calls ahead of each queued call
	}
	c.levels = c.levels[:0]
	for i := range queue {
		w := &queue[i]
		c.levels = append(c.levels, c.levelOf(now, &w.Request, &all))
		if k, ok := c.index[customerRank{w.Customer, w.rank()}]; ok {
			c.uses[k].queued++
		}
	}
	return c.levels, own
}

// sum returns the use of all customers by rank.
func (c *customers) sum(now time.Time) [ranks]rankUse {
	var all [ranks]rankUse
	unit := c.unit(now)
	for i := range c.uses {
		u, s := &c.uses[i], &all[c.uses[i].rank]
		if u.active = u.asked/unit >= minActive || u.queued > 0; u.active {
			s.active++
		}
		s.asked += u.asked / unit
		s.granted += u.granted / unit
		if u.weight > 0 {
			s.weighted++
			s.weight += u.weight
		}
	}
	for i := range all {
		all[i].weight /= float64(max(all[i].weighted, 1))
	}
	for i := range c.uses {
		u, s := &c.uses[i], &all[c.uses[i].rank]
		u.total = u.relative(s, unit)
		if u.active {
			s.total += u.total
		}
	}
	return all
}

// relative returns what the customer used and has queued, as calls of a customer with the mean weight.
func (u *customerUse) relative(s *rankUse, unit float64) float64 {
	used := u.granted/unit + float64(u.queued)
	if u.weight > 0 && s.weight > 0 {
		used *= s.weight / u.weight
	}
	return used
}

// levelOf returns the level of the next call of a customer, by what it used and has queued.
func (c *customers) levelOf(now time.Time, r *Request, all *[ranks]rankUse) int {
	i, ok := c.index[customerRank{r.Customer, r.rank()}]
	if !ok {
		return 0
	}
	u, s, unit := &c.uses[i], &all[r.rank()], c.unit(now)
	served := (u.granted/unit + float64(u.queued) + customerPrior) / (u.asked/unit + customerPrior)
	if served < starvedShare*(s.granted+customerPrior)/(s.asked+customerPrior) {
		return starvedLevel
	}
	others, rest := s.active, s.total
	if u.active {
		others, rest = others-1, rest-u.total
	}
	if others == 0 {
		return 0
	}
	ratio := (u.relative(s, unit) + usePrior) / (rest/float64(others) + usePrior)
	level := 0
	for limit := levelMargin; ratio > limit && level < maxLevel; limit *= 2 {
		level++
	}
	return level
}

// startsBefore reports whether the queued call a of a level starts before b, another call of the rank.
func startsBefore(a, b *queuedCall, levelOfA, levelOfB int) bool {
	if a.overdue != b.overdue {
		return b.overdue
	}
	if levelOfA != levelOfB {
		return levelOfA < levelOfB
	}
	return before(a, b)
}

// nextByCustomer returns the index of the queued call to start under strict priority, or -1: of the highest waiting priority, the
// first call of the lowest level whose caller runs less than half of the limit, else the first of the lowest level.
func (g *Gate) nextByCustomer(levels []int) int {
	best, bestBusy := -1, false
	half := max(1, g.limit.value()/2)
	for i := range g.queue {
		w := &g.queue[i]
		if w.Suspect && g.suspects > 0 {
			continue
		}
		if best >= 0 && w.Priority < g.queue[best].Priority {
			break
		}
		busy := g.callers[w.Caller].running >= half
		if best < 0 || bestBusy && !busy || bestBusy == busy && startsBefore(w, &g.queue[best], levels[i], levels[best]) {
			best, bestBusy = i, busy
		}
	}
	return best
}

// aheadByCustomer estimates how many queued calls start before w under strict priority.
func (g *Gate) aheadByCustomer(w *queuedCall, levels []int, level int) int {
	n := 0
	for i := range g.queue {
		q := &g.queue[i]
		if q.Priority > w.Priority || q.Priority == w.Priority && startsBefore(q, w, levels[i], level) {
			n++
		}
	}
	return n
}

// victimByCustomer returns the index of the queued call that gives way to a new one of the same rank, or -1: the last of the highest
// level, if that is above the level of the new call.
func (g *Gate) victimByCustomer(r *queuedCall, levels []int, level int) int {
	best := -1
	for i := range levels {
		w := &g.queue[i]
		if w.rank() != r.rank() || r.overdue && !w.overdue || w.LastAttempt && !r.LastAttempt {
			continue
		}
		if levels[i] > level {
			best, level = i, levels[i]
		} else if best >= 0 && levels[i] == level {
			best = i
		}
	}
	return best
}

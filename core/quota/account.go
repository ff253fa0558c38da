package quota

import (
	"math"
	"time"
)

// account is the state of one customer at a node.
type account struct {
	limit   Limit
	tokens  int
	expires time.Time
	waiting []*Waiter
	hold    time.Time // until then the coordinator has no tokens for this node
	spacing time.Duration
	scarce  bool
	room    bool // there are tokens for late requests although scarce is set
	sharing int  // nodes at which the customer is active

	arrived, spent, granted int // since measured
	measured                time.Time
	lastArrival             time.Time
	demand, rate, gain      float64 // per second: requests, granted tokens spent, granted tokens
	grantedAt               time.Time

	promised, total float64
	promiseEnds     time.Time
	spare           float64 // tokens of the fallback
	spareAt         time.Time
	returnAt        time.Time // time at which the last refused request was told to return
}

// spend uses a token if there is a valid one.
func (a *account) spend(now time.Time) bool {
	if a.tokens <= 0 || !now.Before(a.expires) {
		return false
	}
	a.tokens--
	a.spent++
	return true
}

// measure updates the averages. Without a coordinator the rate of spent tokens stays as it was.
func (a *account) measure(now time.Time, connected bool) {
	elapsed := now.Sub(a.measured)
	if elapsed < askSpacing {
		return
	}
	a.demand = average(a.demand, a.arrived, elapsed, demandTime)
	a.arrived = 0
	if connected {
		a.rate = max(average(a.rate, a.spent, elapsed, spendTime), 0)
		a.gain = average(a.gain, a.granted, elapsed, spendTime)
	}
	a.spent, a.granted, a.measured = 0, 0, now
}

// average returns an exponential average of events per second after a count in the elapsed time.
func average(old float64, count int, elapsed, constant time.Duration) float64 {
	weight := math.Exp(-elapsed.Seconds() / constant.Seconds())
	return old*weight + float64(count)/elapsed.Seconds()*(1-weight)
}

// ask returns what to ask for, and takes the tokens that the node returns out of the account.
func (a *account) ask(now time.Time, interval time.Duration) Ask {
	if !now.Before(a.expires) {
		a.tokens = 0
	}
	soon, most := a.demand*interval.Seconds(), a.demand*horizon.Seconds()
	if a.scarce {
		soon, most = a.demand*max(a.spacing, minSpacing).Seconds(), a.demand*interval.Seconds()
	}
	want, keep := int(math.Ceil(most)), int(math.Ceil(most))+1
	if a.scarce {
		want, keep = int(soon), int(most) // a token that may not be needed is left to other nodes
	}
	if now.Sub(a.lastArrival) > idleAfter {
		soon, want, keep = 0, 0, 0
		a.demand = 0
	}
	n := Ask{Rate: a.rate, Returned: max(a.tokens-keep, 0)}
	if a.rate < minimumRate {
		n.Rate = 0
	}
	a.tokens -= n.Returned
	n.Held = a.tokens
	n.Waiting = len(a.waiting)
	n.Need = n.Waiting + max(int(soon)-a.tokens, 0)
	n.Want = max(n.Waiting+want-a.tokens, n.Need)
	return n
}

// minimumRate is the rate of spent tokens below which a node needs no promise.
const minimumRate = 0.05

// done reports whether the customer is no longer active at this node.
func (a *account) done(now time.Time) bool {
	return a.tokens == 0 && len(a.waiting) == 0 && a.rate < minimumRate && now.Sub(a.lastArrival) > idleAfter
}

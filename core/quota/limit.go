package quota

import "time"

// Limit is a customer's quota over all nodes together; a Rate of 0 means none.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64
}

// Bounds says how far the requests of a customer may exceed its quota: in any sliding window of length Window at most
// (Rate x Window + Burst) x (1 + Overage) + Slack of them run.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultBounds returns the bounds that apply without other settings.
func DefaultBounds() Bounds { return Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20} }

const (
	// heldShare is the part of the allowance that tokens at nodes may use. The rest covers the minimum rate of nodes without a
	// coordinator (a quarter of the allowance of overage if half of the nodes have none) and requests that run some time after they
	// were admitted.
	heldShare = 0.7
	// newTermShare replaces heldShare while nodes may hold tokens of the term before that the coordinator does not know.
	newTermShare = 0.3
	// minBurst is the smallest depth of a bucket in seconds of the rate, since tokens accrue while no node asks.
	minBurst = 0.1
	// minDepth is the smallest depth of a bucket in tokens. With one, a customer of less than a request per second loses what accrues
	// between the return of its token and its next request.
	minDepth = 2
)

// allowance returns the requests that may run in a window above Rate x Window + Burst.
func (b Bounds) allowance(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// total returns the most tokens that a customer's bucket and the nodes may hold together.
func (b Bounds) total(l Limit, share float64) float64 { return max(l.Burst+share*b.allowance(l), 1) }

// depth returns the most tokens that a customer's bucket may hold.
func (b Bounds) depth(l Limit) float64 {
	return min(max(l.Burst, l.Rate*minBurst, minDepth), b.total(l, heldShare))
}

// Times of the protocol. A promise must end no later at the node than at the coordinator; the node counts from the time at which it sent
// the request, which is before the coordinator handled it.
const (
	// DefaultInterval is the time between two regular requests of a node.
	DefaultInterval = 500 * time.Millisecond
	// maxInterval must be well below tokenLife, since each answered request renews the tokens that the node holds.
	maxInterval = time.Second
	tokenLife   = 2 * time.Second
	promiseLife = 3 * time.Second
	// MaxConfirmationAge is the age of the last confirmation by a majority above which a coordinator grants nothing. It is not longer than
	// an election timeout, so that no other replica leads yet.
	MaxConfirmationAge = 600 * time.Millisecond
	// MaxWait is how long a request may wait for a token. A process with a small part of a core may be stalled for most of a scheduling
	// period of 100 ms.
	MaxWait = 150 * time.Millisecond
	// asksPerSecond is the load of regular requests that the coordinator aims to stay below. It is somewhat higher while a customer is
	// over its quota, since spent tokens that a node has not reported yet still count as held.
	asksPerSecond     = 200
	overAsksPerSecond = 250
	// maxGrant keeps the tokens of one grant within what a message can state.
	maxGrant = 1 << 30
	// minSpacing and usualSpacing bound the time between two requests of a node for a customer whose tokens are used up, if few nodes
	// share it. Longer ones would save little, and let callers wait for tokens that are there.
	minSpacing   = 50 * time.Millisecond
	usualSpacing = 200 * time.Millisecond
	// maxSpacing bounds the time after which a node asks again for a customer whose tokens are used up.
	maxSpacing = time.Second
	// scanInterval is the time between two passes over all nodes of a customer, which find silent nodes and expired tokens. In it, a node
	// that falls silent spends little.
	scanInterval = 20 * time.Millisecond
	// scarceTime is how long a customer counts as short of tokens after a node did not get what it needed.
	scarceTime = time.Second
)

// silentAfter returns how long after its last request the coordinator reserves a node's promised rate. It is shorter than fallbackAfter,
// so that a node never spends at a rate that is not reserved yet.
func silentAfter(interval time.Duration) time.Duration { return interval * 6 / 5 }

// fallbackAfter returns how long after its last answered request a node starts to spend at its promised rate.
func fallbackAfter(interval time.Duration) time.Duration { return interval * 3 / 2 }

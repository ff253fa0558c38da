package admission

import (
	"sync"
	"time"
)

const (
	responseOverhead = 300 // bytes of a response besides its body
	sizeWeight       = 0.1 // weight of a new size in the moving average of its kind
)

// Link estimates how long responses wait for the network link of their host, which all endpoints on the host share; it is
// safe for concurrent use.
type Link struct {
	rate float64 // bytes per second

	mutex    sync.Mutex
	backlog  float64 // bytes handed to the link and not sent yet
	reserved float64 // expected response bytes of running calls
	updated  time.Time
	sizes    map[string]float64 // moving average of response bytes by request kind
}

// NewLink returns a Link with the given rate in bytes per second.
func NewLink(rate float64) *Link { return &Link{rate: max(rate, 1), sizes: map[string]float64{}} }

// Sent records a response whose body of the given size was handed to the link.
func (l *Link) Sent(now time.Time, kind string, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	n := float64(max(bytes, 0) + responseOverhead)
	l.backlog += n
	if len(l.sizes) >= maxKinds {
		clear(l.sizes) // bounds memory when routes change; sizes are relearned quickly
	}
	if average, ok := l.sizes[kind]; ok {
		n = average + (n-average)*sizeWeight
	}
	l.sizes[kind] = n
}

// Wait estimates how long the response to a request of the given kind, which is ready after the given duration, waits for the
// link until it is sent.
func (l *Link) Wait(now time.Time, kind string, ready time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance(now)
	ahead := l.backlog + l.reserved + l.sizes[kind]
	return max(time.Duration(ahead/l.rate*float64(time.Second))-ready, 0)
}

// reserve reserves the expected response bytes of a starting call and returns their number, which release takes back.
func (l *Link) reserve(kind string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := l.sizes[kind]
	l.reserved += n
	return n
}

func (l *Link) release(bytes float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reserved = max(l.reserved-bytes, 0)
}

// advance reduces the backlog by what the link has sent since the last update.
func (l *Link) advance(now time.Time) {
	if passed := now.Sub(l.updated); passed > 0 && !l.updated.IsZero() {
		l.backlog = max(l.backlog-l.rate*passed.Seconds(), 0)
	}
	if now.After(l.updated) {
		l.updated = now
	}
}

// WithLink refuses calls from other hosts whose response would wait for the link beyond their objective (beyond their deadline
// if they were sent again), except last attempts and calls without an objective.
func WithLink(l *Link) Option { return func(g *Gate) { g.link = l } }

// linkWait estimates how long the response waits for the link if the call runs now; 0 for a gate without a link, a response that
// stays on the host, and a call without an objective.
func (g *Gate) linkWait(now time.Time, r *Request, service time.Duration) time.Duration {
	if g.link == nil || !r.Remote || r.Objective.IsZero() {
		return 0
	}
	return g.link.Wait(now, r.Kind, service)
}

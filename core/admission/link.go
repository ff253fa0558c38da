package admission

import (
	"sync"
	"time"
)

const (
	answerOverhead = 300 // bytes of an answer besides its body
	sizeWeight     = 0.1 // of a new size in the average of its kind
)

// Link estimates how long answers wait for the link of their host, which all endpoints on the host share; it is safe for
// concurrent use.
type Link struct {
	rate float64 // bytes per second

	mutex    sync.Mutex
	backlog  float64 // bytes handed to the link that have not left yet
	reserved float64 // bytes of the answers of running calls
	at       time.Time
	sizes    map[string]float64 // by kind of request
}

// NewLink returns a Link of a rate in bytes per second.
func NewLink(rate float64) *Link { return &Link{rate: max(rate, 1), sizes: map[string]float64{}} }

// Sent notes an answer that is handed to the link.
func (l *Link) Sent(now time.Time, kind string, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drain(now)
	n := float64(max(bytes, 0) + answerOverhead)
	l.backlog += n
	if len(l.sizes) >= maxKinds {
		clear(l.sizes) // routes come and go; the sizes are soon known again
	}
	if held, ok := l.sizes[kind]; ok {
		n = held + (n-held)*sizeWeight
	}
	l.sizes[kind] = n
}

// Wait estimates how long an answer of a kind that is ready after a time waits for the link.
func (l *Link) Wait(now time.Time, kind string, ready time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drain(now)
	ahead := l.backlog + l.reserved + l.sizes[kind]
	return max(time.Duration(ahead/l.rate*float64(time.Second))-ready, 0)
}

// reserve notes the expected answer of a call that starts and returns its bytes.
func (l *Link) reserve(kind string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := l.sizes[kind]
	l.reserved += n
	return n
}

// release takes a reservation back.
func (l *Link) release(bytes float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reserved = max(l.reserved-bytes, 0)
}

func (l *Link) drain(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 && !l.at.IsZero() {
		l.backlog = max(l.backlog-l.rate*passed.Seconds(), 0)
	}
	if now.After(l.at) {
		l.at = now
	}
}

// WithLink makes calls from other hosts wait no longer for the link than their objective allows; they are refused while
// another endpoint may still answer in time.
func WithLink(l *Link) Option { return func(g *Gate) { g.link = l } }

// transit estimates how long the answer of a call waits for the link when it runs now.
func (g *Gate) transit(now time.Time, r *Request, service time.Duration) time.Duration {
	if g.link == nil || !r.Remote || r.Objective.IsZero() {
		return 0
	}
	return g.link.Wait(now, r.Kind, service)
}

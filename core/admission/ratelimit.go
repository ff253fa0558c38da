package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstLength bounds how many calls may start at once after a pause: what the rate allows in this time, at least one.
	burstLength = time.Second

	countLength  = 4 * time.Second // time over which started calls are counted, for logs
	countBuckets = 16
)

// rateLimit spaces the starts of calls by the rate that an endpoint takes, with a token bucket. The zero value sets no limit.
type rateLimit struct {
	bucket *rate.Limiter // nil without a limit
	starts [countBuckets]int
	latest int64 // index of the newest bucket in starts, counted from the Unix epoch
}

// set changes the rate in calls per second; 0 removes the limit. A new limit starts without tokens, since the calls that started
// before it may have used it up.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		l.bucket = nil
		return
	}
	burst := max(int(perSecond*burstLength.Seconds()), 1)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(now, burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
}

// perSecond returns the rate, 0 without a limit.
func (l *rateLimit) perSecond() float64 {
	if l.bucket == nil {
		return 0
	}
	return float64(l.bucket.Limit())
}

// allows reports whether a call may start now.
func (l *rateLimit) allows(now time.Time) bool { return l.bucket == nil || l.bucket.TokensAt(now) >= 1 }

// start counts a call that starts.
func (l *rateLimit) start(now time.Time) {
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
	l.advance(now)
	l.starts[l.latest%countBuckets]++
}

// wait returns the time until n calls may have started.
func (l *rateLimit) wait(now time.Time, n int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(n) - l.bucket.TokensAt(now)
	return max(time.Duration(missing/float64(l.bucket.Limit())*float64(time.Second)), 0)
}

// recent returns the calls per second that started in the last countLength.
func (l *rateLimit) recent(now time.Time) float64 {
	l.advance(now)
	sum := 0
	for _, n := range l.starts {
		sum += n
	}
	return float64(sum) / countLength.Seconds()
}

// advance clears the buckets that began since the last call.
func (l *rateLimit) advance(now time.Time) {
	current := now.UnixNano() / int64(countLength/countBuckets)
	for i := max(l.latest+1, current-countBuckets+1); i <= current; i++ {
		l.starts[i%countBuckets] = 0
	}
	l.latest = max(l.latest, current)
}

// SetRate sets the number of calls that may start per second, 0 for no limit, and returns decisions for queued calls.
func (g *Gate) SetRate(now time.Time, perSecond float64) []Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.rate.set(now, perSecond)
	return g.startQueued(now)
}

// Started returns the calls per second that started in the last 4 s.
func (g *Gate) Started(now time.Time) float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.rate.recent(now)
}

// capacity returns how many calls can run at once: the limit, or fewer if the rate with the mean service time keeps them below.
func (g *Gate) capacity() float64 {
	slots := float64(g.limit.value())
	if g.rate.bucket == nil {
		return slots
	}
	service := max(g.limit.meanServiceTime(), time.Millisecond)
	return min(slots, g.rate.perSecond()*service.Seconds())
}

package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	windowSeconds  = 10 // length of the sliding window
	defaultPercent = 10 // maximum number of retries per 100 calls in the window
	minPerSecond   = 3  // number of retries allowed in each second regardless of calls
)

// Budget limits the retries of a node to a percentage of the calls in the last 10 s, by default 10%, but always allows a minimum,
// by default 3 per second. It is safe for concurrent use; counting a call usually takes one atomic addition and no lock.
type Budget struct {
	percent      int64
	minPerWindow func() int64 // number of retries allowed in the window regardless of calls; nil for minPerSecond
	mutex        sync.Mutex   // held by Take, and by Count while it resets a bucket
	buckets      [windowSeconds]bucket
}

// bucket counts the calls and retries of one second.
type bucket struct {
	second  atomic.Int64 // Unix time
	calls   atomic.Int64
	retries int64
}

// BudgetOption changes a default of NewBudget: 10% of the calls, and at least 3 retries per second.
type BudgetOption func(*Budget)

// WithPercent sets the maximum number of retries per 100 calls in the last 10 s.
func WithPercent(n int) BudgetOption { return func(b *Budget) { b.percent = int64(n) } }

// WithMinimum sets a function that returns the number of retries allowed in 10 s regardless of calls, in place of 3 per second.
func WithMinimum(f func() int64) BudgetOption { return func(b *Budget) { b.minPerWindow = f } }

// NewBudget returns a Budget that has counted no calls.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{percent: defaultPercent}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Count counts the first attempt of a call; retries are not counted as calls.
func (b *Budget) Count(now time.Time) {
	s := now.Unix()
	current := &b.buckets[bucketIndex(s)]
	if current.second.Load() != s {
		b.mutex.Lock()
		b.resetBucket(current, s)
		b.mutex.Unlock()
	}
	current.calls.Add(1)
}

// Take takes one retry from the budget if the budget allows it, and reports whether it did.
func (b *Budget) Take(now time.Time) bool {
	s := now.Unix()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	k := &b.buckets[bucketIndex(s)]
	b.resetBucket(k, s)
	var calls, retries int64
	for i := range b.buckets {
		c := &b.buckets[i]
		if at := c.second.Load(); at > s-windowSeconds && at <= s {
			calls += c.calls.Load()
			retries += c.retries
		}
	}
	if !b.allows(calls, retries, k.retries) {
		return false
	}
	k.retries++
	return true
}

// allows reports whether the budget allows one more retry, given the calls and retries of the window and the retries of this
// second.
func (b *Budget) allows(calls, retries, current int64) bool {
	if (retries+1)*100 <= calls*b.percent {
		return true
	}
	if b.minPerWindow != nil {
		return retries < b.minPerWindow()
	}
	return current < minPerSecond
}

// resetBucket clears a bucket of a second before s. If the clock has stepped back, the bucket keeps its later second.
func (b *Budget) resetBucket(k *bucket, s int64) {
	if k.second.Load() >= s {
		return
	}
	k.calls.Store(0)
	k.retries = 0
	k.second.Store(s)
}

func bucketIndex(s int64) int64 { return (s%windowSeconds + windowSeconds) % windowSeconds }

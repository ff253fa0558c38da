package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	windowSeconds  = 10 // length of the sliding window
	defaultPercent = 10 // retries per 100 calls in the window
	minPerSecond   = 3  // retries allowed per second regardless of calls
)

// Budget limits the retries of a node to a percentage of the calls in the last 10 s, by default 10% and at least 3 per second.
// It is safe for concurrent use; counting a call takes one atomic addition.
type Budget struct {
	percent      int64
	minPerWindow func() int64 // retries allowed in the window regardless of calls; nil for minPerSecond
	mutex        sync.Mutex   // held by Take, and by Count for the first call of a second
	buckets      [windowSeconds]bucket
}

type bucket struct {
	second  atomic.Int64
	calls   atomic.Int64
	retries int64
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithPercent sets the retries allowed per 100 calls in the last 10 s.
func WithPercent(n int) BudgetOption { return func(b *Budget) { b.percent = int64(n) } }

// WithMinimum sets the retries that are allowed in 10 s regardless of the number of calls, in place of 3 per second.
func WithMinimum(f func() int64) BudgetOption { return func(b *Budget) { b.minPerWindow = f } }

// NewBudget returns a budget without calls.
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
	k := &b.buckets[bucketIndex(s)]
	if k.second.Load() != s {
		b.mutex.Lock()
		b.resetBucket(k, s)
		b.mutex.Unlock()
	}
	k.calls.Add(1)
}

// Take uses one retry of the budget and reports whether the budget allowed it.
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

// allows reports whether one more retry fits, given the calls and retries of the window and the retries of this second.
func (b *Budget) allows(calls, retries, current int64) bool {
	if (retries+1)*100 <= calls*b.percent {
		return true
	}
	if b.minPerWindow != nil {
		return retries < b.minPerWindow()
	}
	return current < minPerSecond
}

// resetBucket clears a bucket of an earlier second. If the clock steps back, calls count in the newer second.
func (b *Budget) resetBucket(k *bucket, s int64) {
	if k.second.Load() >= s {
		return
	}
	k.calls.Store(0)
	k.retries = 0
	k.second.Store(s)
}

func bucketIndex(s int64) int64 { return (s%windowSeconds + windowSeconds) % windowSeconds }

package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	window  = 10 // seconds over which recent calls are counted
	percent = 10 // retries for each 100 recent calls
	least   = 3  // retries that are always allowed in one second
)

// Budget limits the retries of a node to a share of the calls of the last 10 s, by default 10% with at least 3 a second; it
// is safe for concurrent use, and counting a call takes one atomic addition.
type Budget struct {
	percent int64
	least   func() int64 // retries allowed in the last 10 s whatever the calls; nil for the default of each second
	mutex   sync.Mutex   // held by Take and on the first call of a second
	buckets [window]bucket
}

type bucket struct {
	second  atomic.Int64
	calls   atomic.Int64
	retries int64
}

// BudgetOption sets up a Budget.
type BudgetOption func(*Budget)

// WithPercent sets the retries for each 100 recent calls.
func WithPercent(n int) BudgetOption { return func(b *Budget) { b.percent = int64(n) } }

// WithLeast sets how many retries are allowed in 10 s whatever the calls.
func WithLeast(f func() int64) BudgetOption { return func(b *Budget) { b.least = f } }

// NewBudget returns an empty budget.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{percent: percent}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Count counts one first attempt of a call.
func (b *Budget) Count(now time.Time) {
	s := now.Unix()
	k := &b.buckets[index(s)]
	if k.second.Load() != s {
		b.mutex.Lock()
		b.turn(k, s)
		b.mutex.Unlock()
	}
	k.calls.Add(1)
}

// Take takes one retry and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time) bool {
	s := now.Unix()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	k := &b.buckets[index(s)]
	b.turn(k, s)
	var calls, retries int64
	for i := range b.buckets {
		c := &b.buckets[i]
		if at := c.second.Load(); at > s-window && at <= s {
			calls += c.calls.Load()
			retries += c.retries
		}
	}
	if !b.granted(calls, retries, k.retries) {
		return false
	}
	k.retries++
	return true
}

// granted decides on one more retry by the calls and retries of the window and the retries of this second.
func (b *Budget) granted(calls, retries, current int64) bool {
	if (retries+1)*100 <= calls*b.percent {
		return true
	}
	if b.least != nil {
		return retries < b.least()
	}
	return current < least
}

// turn empties a bucket that belongs to an earlier second; a clock that steps back adds to the newer one.
func (b *Budget) turn(k *bucket, s int64) {
	if k.second.Load() >= s {
		return
	}
	k.calls.Store(0)
	k.retries = 0
	k.second.Store(s)
}

func index(s int64) int64 { return (s%window + window) % window }

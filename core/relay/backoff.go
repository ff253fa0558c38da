package relay

import (
	"cmp"
	"sync"
	"time"
)

const (
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 10 * time.Second
)

// Backoff is a capped exponential backoff with full jitter (Brooker, 2015): each wait is drawn evenly from 0 to a bound
// that doubles from 100 ms to 10 s.
type Backoff struct {
	Random   func(n int64) int64 // in [0, n)
	Most     time.Duration       // largest bound; 0 for 10 s
	attempts int
}

// Next returns the wait before the next attempt; after is what the server asked for, 0 for none, and is waited in full.
func (b *Backoff) Next(after time.Duration) time.Duration {
	bound := min(backoffLeast<<min(b.attempts, 16), cmp.Or(b.Most, backoffMost))
	b.attempts++
	return max(after, 0) + time.Duration(b.Random(int64(bound)+1))
}

// Reset starts again after a success.
func (b *Backoff) Reset() { b.attempts = 0 }

const firstTransfer = 200 * time.Millisecond // assumed length of a transfer before one was seen

// Budget limits the concurrent whole-snapshot transfers of a server; it is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	limit  int
	busy   int
	mean   time.Duration
	booked time.Time // when the refused clients so far will have been served
}

// NewBudget returns a budget of n concurrent transfers.
func NewBudget(n int) *Budget { return &Budget{limit: max(n, 1), mean: firstTransfer} }

// Take starts a transfer, or returns after how long to ask again. Each refused client is told a later time than the one
// before, by the rate at which transfers end, so that a storm comes back spread out; times wrap at 10 s.
func (b *Budget) Take(now time.Time) (after time.Duration, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.busy < b.limit {
		b.busy++
		return 0, true
	}
	if earliest := now.Add(b.mean / 2); b.booked.Before(earliest) {
		b.booked = earliest
	}
	b.booked = b.booked.Add(b.mean / time.Duration(b.limit))
	after = b.booked.Sub(now)
	if after > backoffMost {
		b.booked = now.Add(b.mean / 2)
	}
	return min(after, backoffMost), false
}

// Done ends a transfer that took the given time.
func (b *Budget) Done(took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.busy = max(b.busy-1, 0)
	b.mean += (max(took, time.Millisecond) - b.mean) / 8
}

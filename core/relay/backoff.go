package relay

import (
	"cmp"
	"sync"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Backoff is a capped exponential backoff with full jitter (Brooker, 2015): each wait is uniform between 0 and a bound that
// doubles from 100 ms up to MaxWait.
type Backoff struct {
	Random   func(n int64) int64 // returns a uniform number in [0, n)
	MaxWait  time.Duration       // largest bound; 0 means 10 s
	attempts int
}

// Next returns the wait before the next attempt: the minimum that the server asked for (0 for none) plus a random wait.
func (b *Backoff) Next(minimum time.Duration) time.Duration {
	bound := min(minBackoff<<min(b.attempts, 16), cmp.Or(b.MaxWait, maxBackoff))
	b.attempts++
	return max(minimum, 0) + time.Duration(b.Random(int64(bound)+1))
}

// Reset restores the smallest bound; call it after a success.
func (b *Backoff) Reset() { b.attempts = 0 }

const initialTransferTime = 200 * time.Millisecond // estimate of the mean transfer time before the first transfer has ended

// Budget limits the concurrent whole-snapshot transfers of a server; it is safe for concurrent use.
type Budget struct {
	mutex     sync.Mutex
	limit     int
	active    int
	meanTime  time.Duration
	nextRetry time.Time // retry time of the last refused client; transfers of clients refused earlier should have ended by then
}

// NewBudget returns a Budget of n concurrent transfers, at least one.
func NewBudget(n int) *Budget { return &Budget{limit: max(n, 1), meanTime: initialTransferTime} }

// Take starts a transfer if the limit allows it, or else returns the wait after which the client should retry. Each refused
// client gets a later retry time, spaced at the rate at which transfers end, so that retries arrive spread out. A wait is at
// most 10 s; once one would be longer, the retry times start over.
func (b *Budget) Take(now time.Time) (wait time.Duration, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.active < b.limit {
		b.active++
		return 0, true
	}
	if earliest := now.Add(b.meanTime / 2); b.nextRetry.Before(earliest) {
		b.nextRetry = earliest
	}
	b.nextRetry = b.nextRetry.Add(b.meanTime / time.Duration(b.limit))
	wait = b.nextRetry.Sub(now)
	if wait > maxBackoff {
		b.nextRetry = now.Add(b.meanTime / 2)
	}
	return min(wait, maxBackoff), false
}

// Done ends a transfer that Take started; its duration updates the mean from which retry times are computed.
func (b *Budget) Done(duration time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.active = max(b.active-1, 0)
	b.meanTime += (max(duration, time.Millisecond) - b.meanTime) / 8
}

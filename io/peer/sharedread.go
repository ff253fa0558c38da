package peer

import (
	"context"
	"sync"
)

// SharedRead shares one execution of a read among all callers that arrived before it started. A caller never joins a round
// that is already running, since the round may miss a commit that the caller must see.
type SharedRead struct {
	read    func(ctx context.Context) (uint64, error)
	mu      sync.Mutex
	running bool
	next    *round // round that has not started; nil when no caller waits for one
}

type round struct {
	done  chan struct{}
	value uint64
	err   error
}

// NewSharedRead returns a SharedRead that executes read, one round at a time.
func NewSharedRead(read func(ctx context.Context) (uint64, error)) *SharedRead {
	return &SharedRead{read: read}
}

// Do returns the result of a round that starts after the call of Do, or the error of ctx if ctx ends first.
func (r *SharedRead) Do(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	mine := r.next
	if !r.running {
		r.running = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
		return mine.value, mine.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run executes rounds until no caller waits for another one.
func (r *SharedRead) run() {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		if current == nil {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		current.value, current.err = r.read(ctx)
		cancel()
		close(current.done)
	}
}

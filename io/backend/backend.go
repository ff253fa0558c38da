package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Times of the announce API.
const (
	renewPeriod  = 2 * time.Second
	missedRenews = 3 // an endpoint that misses this many leaves
)

// notRenewed is the reason of a leave after which the same process may announce itself again.
const notRenewed = "not renewed"

// Backend knows the endpoints beside the node and forwards calls to them.
type Backend struct {
	announced func(Announcement)
	left      func(string, string)
	hint      func(string, float64, time.Time)
	shed      func(string, time.Duration)
	admit     func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure)
	guard     func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure)
	crashed   func(Crash)
	context   func(hop.Meta, time.Time) string
	headers   func(http.Header, hop.Meta, time.Time)
	foreign   func(*http.Request, *http.Response) bool
	judge     func(*http.Response) *outcome.Failure
	named     func(http.Header) string // nil when requests are not named
	whole     int64
	renew     time.Duration
	now       func() time.Time
	log       logr.Logger

	mu        sync.Mutex
	endpoints map[string]*endpoint
	contexts  map[string]string // of running requests, by their id
	gone      map[string]order  // of endpoints that left, by key
	draining  bool
	running   int           // calls in flight
	idle      chan struct{} // closed when the last call in flight ends; nil when nobody waits
	stop      context.CancelFunc
	done      sync.WaitGroup
}

// New returns a Backend and starts watching for endpoints that stop renewing; Close ends that.
func New(opts ...Option) *Backend {
	pass := func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure) { return func(Result) {}, nil }
	b := &Backend{
		announced: func(Announcement) {},
		left:      func(string, string) {},
		hint:      func(string, float64, time.Time) {},
		shed:      func(string, time.Duration) {},
		admit:     pass,
		guard:     pass,
		crashed:   func(Crash) {},
		context:   func(hop.Meta, time.Time) string { return "" },
		renew:     renewPeriod,
		now:       time.Now,
		log:       logr.Discard(),
		foreign:   func(*http.Request, *http.Response) bool { return false },
		judge:     func(*http.Response) *outcome.Failure { return nil },
		endpoints: map[string]*endpoint{},
		gone:      map[string]order{},
		contexts:  map[string]string{},
	}
	b.headers = b.meshHeaders
	for _, o := range opts {
		o(b)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.done.Go(func() { b.watch(ctx) })
	return b
}

// Drain refuses new calls to all endpoints from now on.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Wait returns when no call is in flight, or with the context's error.
func (b *Backend) Wait(ctx context.Context) error {
	b.mu.Lock()
	if b.running == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return &outcome.Failure{
			Code: outcome.Draining, Kind: outcome.Unknown, Status: http.StatusServiceUnavailable,
			Detail: "calls are still in flight", Err: ctx.Err(),
		}
	}
}

// Endpoints returns what is announced and not leaving.
func (b *Backend) Endpoints() []Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Announcement
	for _, e := range b.endpoints {
		if !e.leaving {
			all = append(all, e.ann)
		}
	}
	return all
}

// Close ends the watch and idle connections to backend servers.
func (b *Backend) Close() error {
	b.stop()
	b.done.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.endpoints {
		e.pool.sweep(b.now(), true)
	}
	return nil
}

// watch lets endpoints leave that stopped renewing.
func (b *Backend) watch(ctx context.Context) {
	t := time.NewTicker(b.renew / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, k := range b.expired() {
			b.leave(k, notRenewed)
		}
	}
}

func (b *Backend) expired() []string {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []string
	for k, e := range b.endpoints {
		e.pool.sweep(now, false)
		if !e.leaving && now.Sub(e.renewed) > missedRenews*b.renew {
			keys = append(keys, k)
		}
	}
	return keys
}

// leave refuses new work for an endpoint and forgets it; calls in flight end by themselves.
func (b *Backend) leave(key, reason string) bool {
	b.mu.Lock()
	e := b.endpoints[key]
	if e == nil || e.leaving {
		b.mu.Unlock()
		return false
	}
	e.leaving = true
	if reason != notRenewed {
		b.retire(key, e.ann)
	}
	p := e.pool
	b.mu.Unlock()
	p.sweep(b.now(), true)
	b.log.Info("endpoint left", "endpoint", key, "reason", reason)
	b.left(key, reason)
	return true
}

package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/capacity"
	"godwitspindle/core/notice"
	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Lease times of the announce API.
const (
	defaultRenewInterval = 2 * time.Second
	maxMissedRenewals    = 3 // an endpoint leaves after this many intervals without renewal
)

// Reasons for removing an endpoint. The process of an endpoint whose lease has expired may announce it again.
const (
	reasonNotRenewed = "not renewed"
	reasonAnnounced  = "announced"
	reasonStated     = "stated in an answer"
	reasonReplaced   = "another process has its address"
	reasonAgreed     = "its process is known to have left"
)

// Backend keeps the endpoints on this host and forwards calls to them.
type Backend struct {
	onAnnounced     func(Announcement)
	onLeft          func(string, string)
	onDeparted      func(string, uint64)
	onLoad          func(string, float64, time.Time)
	onShed          func(string, time.Duration)
	onNotice        func(Announcement, notice.Notice, time.Time)
	readNotice      func(http.Header) notice.Notice
	readReport      func(http.Header) (capacity.Report, bool)
	onReport        func(Announcement, capacity.Report)
	admit           func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure)
	checkQuarantine func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure)
	onCrash         func(Crash)
	context         func(hop.Meta, time.Time) string
	setHeaders      func(http.Header, hop.Meta, time.Time)
	isForeign       func(*http.Request, *http.Response) bool
	checkAnswer     func(*http.Response) *outcome.Failure
	namesRequest    func(*http.Request, *http.Response) bool
	requestID       func(http.Header) string // nil when backend servers do not name requests
	stopRule        func(context.Context, time.Time, shutdown.Work) shutdown.Decision
	endToEnd        []string
	bufferLimit     int64
	renewInterval   time.Duration
	now             func() time.Time
	log             logr.Logger

	mu        sync.Mutex
	endpoints map[string]*endpoint
	contexts  map[string]string // Mesh-Context of running requests, by request id
	departed  departures
	// connecting holds the calls that wait for a connection to their backend server.
	connecting map[hop.Withdrawn]context.CancelCauseFunc
	draining   bool
	running    int           // calls in flight
	idle       chan struct{} // created by Wait, closed when the last call in flight ends
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// New returns a Backend and starts to remove endpoints whose lease expires, until Close.
func New(opts ...Option) *Backend {
	pass := func(context.Context, string, hop.Meta) (func(Result), *outcome.Failure) { return func(Result) {}, nil }
	b := &Backend{
		onAnnounced:     func(Announcement) {},
		onLeft:          func(string, string) {},
		onDeparted:      func(string, uint64) {},
		onLoad:          func(string, float64, time.Time) {},
		onShed:          func(string, time.Duration) {},
		onNotice:        func(Announcement, notice.Notice, time.Time) {},
		readNotice:      meshNotice,
		readReport:      meshReport,
		onReport:        func(Announcement, capacity.Report) {},
		admit:           pass,
		checkQuarantine: pass,
		onCrash:         func(Crash) {},
		context:         func(hop.Meta, time.Time) string { return "" },
		stopRule: func(context.Context, time.Time, shutdown.Work) shutdown.Decision {
			return shutdown.Decision{Allowed: true}
		},
		renewInterval: defaultRenewInterval,
		now:           time.Now,
		log:           logr.Discard(),
		isForeign:     func(*http.Request, *http.Response) bool { return false },
		checkAnswer:   func(*http.Response) *outcome.Failure { return nil },
		namesRequest:  func(*http.Request, *http.Response) bool { return true },
		endpoints:     map[string]*endpoint{},
		departed:      departures{processes: map[string]departure{}},
		contexts:      map[string]string{},
		connecting:    map[hop.Withdrawn]context.CancelCauseFunc{},
	}
	b.setHeaders = b.meshHeaders
	for _, o := range opts {
		o(b)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.done.Go(func() { b.watchLeases(ctx) })
	return b
}

// Drain makes the Backend refuse new calls and announcements.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Wait returns nil once no call is in flight, or an *outcome.Failure when ctx ends first.
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
			Detail: "the drain time ended while calls were still in flight", Err: ctx.Err(),
		}
	}
}

// Endpoints returns the announcements of all endpoints that are not leaving.
func (b *Backend) Endpoints() []Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Announcement
	for _, e := range b.endpoints {
		if !e.leaving {
			all = append(all, e.announcement)
		}
	}
	return all
}

// Close stops the background work, waits until it has ended, and closes idle connections to backend servers.
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

// watchLeases removes endpoints whose lease has expired.
func (b *Backend) watchLeases(ctx context.Context) {
	t := time.NewTicker(b.renewInterval / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, k := range b.expired() {
			b.leave(k, reasonNotRenewed)
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
		if !e.leaving && now.Sub(e.renewed) > maxMissedRenewals*b.renewInterval {
			keys = append(keys, k)
		}
	}
	return keys
}

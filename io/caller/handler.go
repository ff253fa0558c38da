package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Limits on parts of a request; WithMaxBody replaces defaultBodyBytes.
const (
	defaultBodyBytes = 16 << 20
	maxKeyBytes      = 256
	maxHostBytes     = 255
)

// Handler is the http.Handler of the caller listener or of the local listener.
type Handler struct {
	local          bool
	maxBody        int64
	bufferLimit    int64 // answers up to this size are read to their end first; 0 for none
	match          func(host, path, method string) (Match, *outcome.Failure)
	pick           func(PickRequest) (config.Endpoint, string, error)
	attemptStarted func(string, time.Time)
	attemptDone    func(string, Observation)
	requestDone    func(Finished)
	send           func(context.Context, config.Endpoint, hop.Meta, *http.Request) (*http.Response, error)
	decideRetry    func(Attempt) Verdict
	claim          func(context.Context, Claim) (ClaimAnswer, error)
	finish         func(context.Context, Claim, *Answer) error
	release        func(context.Context, Claim) error
	takeQuota      func(context.Context, string, bool) (func(), *outcome.Failure)

	newCallID   func(r *http.Request) string
	nested      func(r *http.Request) bool
	callerWaits *retry.CallerWaits
	draining    func() bool
	stop        func(time.Time, shutdown.Work) shutdown.Decision
	waits       waits
	now         func() time.Time
	log         logr.Logger
	logSuccess  func() bool
	inFlight    *InFlight

	stores       context.Context // context of the work on claims; ended by Shutdown
	cancelStores context.CancelFunc

	mu      sync.Mutex
	closed  bool
	pending sync.WaitGroup
	working int // number of functions that pending waits for
}

// New returns a Handler. WithMatch, WithPick and WithSend are required; without WithClaim, keyed requests that are not
// idempotent are refused.
func New(opts ...Option) *Handler {
	h := &Handler{
		maxBody:        defaultBodyBytes,
		attemptStarted: func(string, time.Time) {},
		attemptDone:    func(string, Observation) {},
		requestDone:    func(Finished) {},
		decideRetry:    func(Attempt) Verdict { return Verdict{} },
		takeQuota:      func(context.Context, string, bool) (func(), *outcome.Failure) { return nil, nil },
		newCallID:      callIDs(),
		nested:         func(*http.Request) bool { return false },
		callerWaits:    retry.NewCallerWaits(),
		draining:       func() bool { return false },
		stop:           func(time.Time, shutdown.Work) shutdown.Decision { return shutdown.Decision{Allowed: true} },
		now:            time.Now,
		log:            logr.Discard(),
		logSuccess:     func() bool { return false },
		inFlight:       &InFlight{},
	}
	for _, o := range opts {
		o(h)
	}
	h.waits = waits{decide: h.stop, all: map[*wait]struct{}{}}
	h.stores, h.cancelStores = context.WithCancel(context.Background())
	return h
}

// ServeHTTP answers a request with one endpoint's answer, with the stored answer of a keyed request or with one failure. If an
// answer breaks off after its start was passed on, ServeHTTP aborts the connection.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining() {
		w.Header().Set("Connection", "close")
	}
	c := &call{handler: h, w: w, r: r, id: h.newCallID(r), began: h.now()}
	h.inFlight.Add(&c.tracked, Progress{Call: c.id, Began: c.began})
	defer c.tracked.Remove()
	defer func() { c.cancel() }()
	defer c.endBodyWait()
	c.cancel = func() {}
	if f := c.prepare(); f != nil {
		c.refuse(f)
		return
	}
	if c.key == "" {
		c.serveUnkeyed()
		return
	}
	c.serveKeyed()
}

// Close waits for the background work on claims: until each outcome is stored and each failed claim released, or the attempts
// to do so have failed. Call Close after all requests have ended.
func (h *Handler) Close() error { return h.Shutdown(context.Background()) }

// Shutdown is Close with a limit: when ctx ends, it ends the work that is left and returns a *ClaimsCutError.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.pending.Wait()
	}()
	defer h.cancelStores()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	h.mu.Lock()
	claims := h.working
	h.mu.Unlock()
	h.cancelStores()
	<-done
	if claims == 0 {
		return nil
	}
	return &ClaimsCutError{Claims: claims, Err: ctx.Err()}
}

// ClaimsCutError reports that outcomes of keyed requests were not stored, or claims not released, before the end of a stop.
type ClaimsCutError struct {
	Claims int // number of claims
	Err    error
}

// Error describes what was cut.
func (e *ClaimsCutError) Error() string {
	return fmt.Sprintf("the work on %d claims was cut: %v", e.Claims, e.Err)
}

// Unwrap returns the cause.
func (e *ClaimsCutError) Unwrap() error { return e.Err }

// background runs f in a goroutine that Close waits for; after Close it runs f synchronously.
func (h *Handler) background(f func()) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		f()
		return
	}
	h.pending.Add(1)
	h.working++
	h.mu.Unlock()
	go func() {
		defer h.pending.Done()
		f()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.working--
	}()
}

// callIDs returns a function that makes call ids from a random prefix for the process and a counter.
func callIDs() func(*http.Request) string {
	var prefix [8]byte
	_, _ = rand.Read(prefix[:]) // never fails, by its documentation
	start := hex.EncodeToString(prefix[:]) + "-"
	var n atomic.Uint64
	return func(*http.Request) string { return start + strconv.FormatUint(n.Add(1), 36) }
}

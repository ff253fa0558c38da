package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/hop"

	"github.com/go-logr/logr"
)

// Bounds of a handler.
const (
	defaultBodyBytes = 16 << 20
	maxKeyBytes      = 256
	maxHostBytes     = 255
)

// Handler is the http.Handler of the caller listener or of the local listener.
type Handler struct {
	local    bool
	maxBody  int64
	match    func(host, path, method string) (Match, *outcome.Failure)
	pick     func(Pick) (config.Endpoint, string, error)
	start    func(string, time.Time)
	done     func(string, Observation)
	finished func(Finished)
	send     func(context.Context, config.Endpoint, hop.Meta, *http.Request) (*http.Response, error)
	decide   func(Attempt) Verdict
	claim    func(context.Context, Claim) (ClaimAnswer, error)
	finish   func(context.Context, Claim, *Answer) error
	release  func(context.Context, Claim) error

	identify func(r *http.Request) string
	patience *retry.Patience
	leaving  func() bool
	now      func() time.Time
	log      logr.Logger
	sample   func() bool

	mu      sync.Mutex
	closed  bool
	pending sync.WaitGroup
}

// New returns a handler. Match, pick and send must be set; without a claim function no keyed request runs.
func New(opts ...Option) *Handler {
	h := &Handler{
		maxBody:  defaultBodyBytes,
		start:    func(string, time.Time) {},
		done:     func(string, Observation) {},
		finished: func(Finished) {},
		decide:   func(Attempt) Verdict { return Verdict{} },
		identify: identifier(),
		patience: retry.NewPatience(),
		leaving:  func() bool { return false },
		now:      time.Now,
		log:      logr.Discard(),
		sample:   func() bool { return false },
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// ServeHTTP answers one request: with one endpoint's whole answer, with one failure, or with a broken connection when an
// answer broke off.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.leaving() {
		w.Header().Set("Connection", "close")
	}
	c := &call{handler: h, w: w, r: r, id: h.identify(r), began: h.now()}
	defer func() { c.cancel() }()
	c.cancel = func() {}
	if f := c.prepare(); f != nil {
		c.refuse(f)
		return
	}
	if c.key == "" {
		c.run()
		return
	}
	c.runOnce()
}

// Close waits for outcomes of claims that are still being stored. Requests must have ended before.
func (h *Handler) Close() error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.pending.Wait()
	return nil
}

// background runs f beside the request; after Close it runs f at once.
func (h *Handler) background(f func()) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		f()
		return
	}
	h.pending.Add(1)
	h.mu.Unlock()
	go func() {
		defer h.pending.Done()
		f()
	}()
}

// identifier returns a source of ids: a random prefix for the process and a counter.
func identifier() func(*http.Request) string {
	var prefix [8]byte
	_, _ = rand.Read(prefix[:]) // never fails, by its documentation
	start := hex.EncodeToString(prefix[:]) + "-"
	var n atomic.Uint64
	return func(*http.Request) string { return start + strconv.FormatUint(n.Add(1), 36) }
}

package retry

import (
	"sync"
	"time"
)

const (
	maxRoutes = 4096 // maximum number of tracked routes
	// A request whose remaining wait is below this fraction of the longest wait of its route counts as sent again.
	resendThreshold = 0.97
	// Callers of a route count as not returning if at least minRefused requests were refused and fewer than one in
	// refusalsPerReturn was sent again.
	minRefused        = 20
	refusalsPerReturn = 5
	maxRefused        = 200 // number of refusals above which the refused and returned counts are halved, to weigh newer ones more
)

// CallerWaits learns the longest wait of the callers of each route. A request whose remaining wait is clearly shorter was first
// sent some time ago: the caller was refused or lost a response, and has sent the request again. CallerWaits also learns whether
// refused requests are sent again at all; calls that backend servers make for a request are not. CallerWaits is safe for
// concurrent use.
type CallerWaits struct {
	mutex  sync.Mutex
	routes map[string]*callerStats
}

// callerStats describes the callers of one route.
type callerStats struct {
	longestWait time.Duration // longest wait of any request
	refused     int           // requests that were refused
	returned    int           // requests that were sent again
}

// NewCallerWaits returns a CallerWaits that has learned nothing yet.
func NewCallerWaits() *CallerWaits { return &CallerWaits{routes: map[string]*callerStats{}} }

func (w *CallerWaits) statsOf(route string) *callerStats {
	h := w.routes[route]
	if h == nil {
		if len(w.routes) >= maxRoutes {
			clear(w.routes) // bounds memory when routes change; the waits are soon learned again
		}
		h = &callerStats{}
		w.routes[route] = h
	}
	return h
}

// Elapsed returns the time since the caller sent the request first, which is the longest wait of the route less the remaining
// wait, and whether the request was sent again.
func (w *CallerWaits) Elapsed(route string, remaining time.Duration) (elapsed time.Duration, resent bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h := w.statsOf(route)
	if remaining > h.longestWait {
		h.longestWait = remaining
		return 0, false
	}
	resent = float64(remaining) < resendThreshold*float64(h.longestWait)
	if resent {
		h.returned++
	}
	return h.longestWait - remaining, resent
}

// Refused counts a refused request of a route.
func (w *CallerWaits) Refused(route string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h := w.statsOf(route)
	h.refused++
	if h.refused > maxRefused {
		h.refused, h.returned = h.refused/2, h.returned/2
	}
}

// CallersReturn reports whether callers of a route send a request again after a refusal; true until enough requests were refused.
func (w *CallerWaits) CallersReturn(route string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h := w.statsOf(route)
	return h.refused < minRefused || h.returned*refusalsPerReturn >= h.refused
}

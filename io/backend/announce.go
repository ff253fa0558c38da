package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
)

// Limits of the announce API.
const (
	maxAnnounceBytes = 4 << 10
	maxNameBytes     = 63
	maxSlots         = 100_000
	maxConnections   = 100_000
	maxLoad          = 1000
	// MaxCounter is the largest sequence, and the largest incarnation that is ordered by sequences: the largest whole number that JSON
	// writers agree on (RFC 7493). A larger one comes from a damaged announcement. If it were taken, all announcements that
	// follow would count as late.
	MaxCounter = 1<<53 - 1
	// maxEndpoints limits the memory that backend servers on this host can use.
	maxEndpoints = 256
)

// AnnounceError reports which field of an announcement is invalid.
type AnnounceError struct {
	Field string
	Want  string
}

// Error names the field and what is expected.
func (e *AnnounceError) Error() string { return fmt.Sprintf("field %s: want %s", e.Field, e.Want) }

// Lease is the answer to an announcement.
type Lease struct {
	Lease string `json:"lease"` // duration after which the endpoint is removed unless it renews
	Renew string `json:"renew"` // duration between renewals
}

// Departure is the request body of POST /leave.
type Departure struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
}

// Handler returns the http.Handler of the announce API, for the loopback listener.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", b.serveAnnounce)
	mux.HandleFunc("POST /leave", b.serveLeave)
	return mux
}

func (b *Backend) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if f := decodeStrict(w, r, &a); f != nil {
		f.Write(w)
		return
	}
	if err := a.validate(); err != nil {
		badRequest(err).Write(w)
		return
	}
	if f := b.Announce(a); f != nil {
		f.Write(w)
		return
	}
	answer, err := json.Marshal(Lease{Lease: (maxMissedRenewals * b.renewInterval).String(), Renew: b.renewInterval.String()})
	if err != nil {
		badRequest(err).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (b *Backend) serveLeave(w http.ResponseWriter, r *http.Request) {
	var d Departure
	if f := decodeStrict(w, r, &d); f != nil {
		f.Write(w)
		return
	}
	a := Announcement{Service: d.Service, Endpoint: d.Endpoint}
	b.leave(a.Key(), reasonAnnounced)
	w.WriteHeader(http.StatusNoContent) // also if the endpoint has already left, so that a resend succeeds
}

// Announce adds an endpoint or renews its lease; a stale announcement has no effect. Announce fails while the node is draining,
// and for a new endpoint if the node has maxEndpoints and none of them is leaving without calls in flight.
func (b *Backend) Announce(a Announcement) *outcome.Failure {
	key, now := a.Key(), b.now()
	b.mu.Lock()
	if b.draining {
		b.mu.Unlock()
		return &outcome.Failure{Code: outcome.Draining, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Detail: "the node is draining"}
	}
	if b.isStale(key, a) {
		b.mu.Unlock()
		b.log.Info("announcement ignored, a later announcement or leave came first", "endpoint", key,
			"incarnation", a.Incarnation, "sequence", a.Sequence)
		return nil
	}
	e := b.endpoints[key]
	if e == nil && len(b.endpoints) >= maxEndpoints && !b.dropDeparted() {
		b.mu.Unlock()
		return &outcome.Failure{
			Code: outcome.Oversize, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Detail: fmt.Sprintf("the node already has %d endpoints, its limit", maxEndpoints),
		}
	}
	isNew := e == nil || e.leaving || e.announcement.differs(a)
	var crash *Crash
	var old *pool
	switch {
	case e == nil:
		e = &endpoint{key: key, pool: b.newPool(a), running: map[*runningCall]struct{}{}}
		b.endpoints[key] = e
	case e.leaving || e.announcement.Address != a.Address || e.announcement.Connections != a.Connections || e.announcement.Incarnation != a.Incarnation:
		crash = e.crashOnReplacement(a.Incarnation, now)
		old, e.pool = e.pool, b.newPool(a)
	default:
		e.clearBrokenCalls(now)
	}
	e.announcement, e.renewed, e.leaving = a, now, false
	b.departed.remove(key)
	former := b.superseded(a)
	b.mu.Unlock()
	for _, k := range former {
		b.leave(k, reasonReplaced)
	}
	if old != nil {
		old.sweep(now, true)
	}
	b.reportCrash(crash)
	if isNew {
		b.log.Info("endpoint announced", "endpoint", key, "address", a.Address.String(), "incarnation", a.Incarnation)
		b.onAnnounced(a)
	}
	b.onLoad(key, a.Load, now)
	return nil
}

// dropDeparted removes one endpoint that is leaving and has no calls in flight, and reports whether there was one.
func (b *Backend) dropDeparted() bool {
	for k, e := range b.endpoints {
		if e.leaving && len(e.running) == 0 {
			delete(b.endpoints, k)
			return true
		}
	}
	return false
}

func (a *Announcement) validate() error {
	switch {
	case !validName(a.Service):
		return &AnnounceError{Field: "service", Want: "a name of 1 to 63 lower-case letters, digits, dots, dashes or underscores that begins with a letter or digit"}
	case !validName(a.Endpoint):
		return &AnnounceError{Field: "endpoint", Want: "a name of 1 to 63 lower-case letters, digits, dots, dashes or underscores that begins with a letter or digit"}
	case !a.Address.Addr().Unmap().IsLoopback() || a.Address.Port() == 0:
		return &AnnounceError{Field: "address", Want: "a loopback address with port"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &AnnounceError{Field: "slots", Want: fmt.Sprintf("1 to %d", maxSlots)}
	case a.Connections < 1 || a.Connections > maxConnections:
		return &AnnounceError{Field: "connections", Want: fmt.Sprintf("1 to %d", maxConnections)}
	case a.Sequence > MaxCounter:
		return &AnnounceError{Field: "sequence", Want: fmt.Sprintf("0 to %d", uint64(MaxCounter))}
	case a.Sequence > 0 && a.Incarnation > MaxCounter:
		return &AnnounceError{Field: "incarnation", Want: fmt.Sprintf("0 to %d beside a sequence", uint64(MaxCounter))}
	case !(a.Load >= 0 && a.Load <= maxLoad):
		return &AnnounceError{Field: "load", Want: fmt.Sprintf("0 to %d", maxLoad)}
	}
	return nil
}

// differs reports whether any field differs except the load and the sequence, which change with each renewal.
func (a *Announcement) differs(n Announcement) bool {
	n.Load, n.Sequence = a.Load, a.Sequence
	return *a != n
}

// validName reports whether a name may be part of an agreed entry; the agreed set leaves out endpoints with other names.
func validName(s string) bool { return len(s) <= maxNameBytes && config.ValidName(s) }

// decodeStrict decodes the request body as one JSON document without unknown fields; only loopback peers are allowed.
func decodeStrict(w http.ResponseWriter, r *http.Request, to any) *outcome.Failure {
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err != nil || !a.Addr().Unmap().IsLoopback() {
		f := badRequest(&AnnounceError{Field: "peer", Want: "a loopback address"})
		f.Status = http.StatusForbidden
		return f
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return badRequest(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return badRequest(&AnnounceError{Field: "body", Want: "one JSON document"})
	}
	return nil
}

func badRequest(err error) *outcome.Failure {
	return &outcome.Failure{
		Code: outcome.Refused, Kind: outcome.NotRun, Status: http.StatusBadRequest, Detail: err.Error(), Err: err,
	}
}

package routing

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 32 // shards of the endpoint states

	decreaseWeight = 0.2              // weight of an observation that lowers an average
	increaseWeight = 0.5              // weight of an observation that raises an average, so that a slowdown shows within a few calls
	averageHalfAge = 10 * time.Second // age at which an average counts half, so that an endpoint without calls is tried again
	ejectFailures  = 5                // consecutive failures after which an endpoint is ejected
	ejectMinimum   = 5 * time.Second  // length of the first ejection; each further one before a success is twice as long
	ejectMaximum   = time.Minute      // maximum length of an ejection
	ejectDivisor   = 3                // at most one in this many of a service's endpoints that the node uses is ejected
)

// state holds what this node has observed of one endpoint; the atomic fields are read without a lock.
type state struct {
	outstanding         atomic.Int64  // calls of this node in flight
	latency             atomic.Uint64 // average latency in seconds, as float64 bits; 0 if unknown
	errors              atomic.Uint64 // average error rate from 0 to 1, as float64 bits
	observedAt          atomic.Int64  // time of the last observation, Unix nanoseconds
	reportedLoad        atomic.Uint64 // last reported load from 0 to 1, as float64 bits
	loadReportedAt      atomic.Int64  // time of the last load report, Unix nanoseconds; 0 for none
	reportedOccupancy   atomic.Uint64 // last reported number of calls of all nodes as a share of the slots, as float64 bits
	occupancyReportedAt atomic.Int64  // time of the last occupancy report, Unix nanoseconds; 0 for none
	slowness            atomic.Uint64 // last told expected time in relation to the mean of the service, as float64 bits
	usualSlowness       atomic.Uint64 // average of slowness, as float64 bits; 0 before the first
	slownessToldAt      atomic.Int64  // time of the last told expected time, Unix nanoseconds
	refused             atomic.Uint64 // share of recent calls that the backend server refused, as float64 bits
	refusedAt           atomic.Int64  // time of the last change of refused, Unix nanoseconds; 0 for none
	avoidedUntil        atomic.Int64  // end of the avoidance, Unix nanoseconds
	ejectedUntil        atomic.Int64  // end of the ejection, Unix nanoseconds
	slowStartAt         atomic.Int64  // start of the slow start, Unix nanoseconds; 0 for none
	leaving             atomic.Bool   // the process has stated that it leaves, so that it gets no calls any more

	service *serviceLoad // averages of the endpoint's service
	domain  *domainLoad  // averages of its failure domain

	mutex       sync.Mutex // guards the fields below and all writes of latency and errors
	incarnation uint64
	failures    int    // consecutive failures
	ejections   int    // ejections since the last success
	avoidReason string // reason given in the last call of Avoid
}

type shard struct {
	mutex  sync.RWMutex
	states map[string]*state
	_      [32]byte // keeps the locks of neighbouring shards on separate cache lines
}

func (p *Picker) shard(key string) *shard {
	h := uint32(2166136261) // FNV-1a
	for i := 0; i < len(key); i++ {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return &p.shards[h%shardCount]
}

func (p *Picker) lookup(key string) *state {
	s := p.shard(key)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.states[key]
}

// ensureState returns the state of an endpoint and creates it if needed; a new state begins a slow start if cold is set. A new
// incarnation always begins a slow start and inherits only the count of calls in flight from the previous one.
func (p *Picker) ensureState(key string, incarnation uint64, load *serviceLoad, domain string, now int64, cold bool) *state {
	s := p.shard(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.states[key]
	if t == nil {
		t = &state{incarnation: incarnation, service: load, domain: load.domain(domain)}
		t.leaving.Store(p.leaving(key, incarnation))
		if cold {
			t.slowStartAt.Store(now)
		}
		s.states[key] = t
		return t
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.incarnation == incarnation {
		return t
	}
	t.incarnation, t.failures, t.ejections = incarnation, 0, 0
	t.slowStartAt.Store(now)
	t.leaving.Store(p.leaving(key, incarnation))
	t.avoidedUntil.Store(0)
	t.ejectedUntil.Store(0)
	t.latency.Store(0)
	t.errors.Store(0)
	t.loadReportedAt.Store(0)
	t.occupancyReportedAt.Store(0)
	t.usualSlowness.Store(0)
	return t
}

// Unreachable is a reason for Avoid; the endpoint may be reachable again, so it stays eligible as the last resort.
const Unreachable = "unreachable"

// avoidedAsUnreachable reports whether the last call of Avoid gave the reason Unreachable.
func (t *state) avoidedAsUnreachable() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.avoidReason == Unreachable
}

func (t *state) usable(now int64) bool {
	return t.avoidedUntil.Load() <= now && t.ejectedUntil.Load() <= now && !t.leaving.Load()
}

// Start records that a call to the endpoint with the key SERVICE/NAME begins; each Start needs one Done. Start, Done,
// Avoid and the Record methods ignore an endpoint that is not known.
func (p *Picker) Start(endpoint string, now time.Time) {
	p.advanceClock(now)
	if t := p.lookup(endpoint); t != nil {
		t.outstanding.Add(1)
	}
}

// Done records the outcome of a call that Start began.
func (p *Picker) Done(endpoint string, o Observation) {
	t := p.lookup(endpoint)
	if t == nil {
		return
	}
	if t.outstanding.Add(-1) < 0 {
		t.outstanding.Add(1) // the state was dropped and created again between Start and Done
	}
	if o.NotRun && !o.Failed {
		return
	}
	now := p.clock.Load()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.observedAt.Store(now)
	if o.Failed {
		updateAverage(&t.errors, 1)
		t.failures++
		if t.failures >= ejectFailures && t.ejectedUntil.Load() <= now {
			p.ejectLocked(endpoint, t, now)
		}
		return // a fast failure must not lower the average latency
	}
	t.failures = 0
	t.ejections = 0
	updateAverage(&t.errors, 0)
	updateAverage(&t.latency, max(o.Took.Seconds(), 1e-6))
}

// ejectLocked ejects an endpoint unless that would eject more than a third of the service's endpoints that this node uses; the
// caller holds t.mutex.
func (p *Picker) ejectLocked(endpoint string, t *state, now int64) {
	name, _, _ := strings.Cut(endpoint, "/")
	p.ejectMutex.Lock() // two concurrent ejections must not exceed the limit of a third
	defer p.ejectMutex.Unlock()
	known := false
	for _, side := range sides {
		v := (*p.views.Load())[viewKey{name, side}]
		if v == nil || !v.contains(t) {
			continue
		}
		known = true
		if v.ejected(now)+1 > len(v.candidates)/ejectDivisor {
			return
		}
	}
	if !known {
		return
	}
	d := min(ejectMinimum<<min(t.ejections, 8), ejectMaximum)
	t.ejections++
	t.failures = ejectFailures - 1 // after the ejection, one failure ejects the endpoint again
	t.ejectedUntil.Store(now + int64(d))
	t.slowStartAt.Store(now + int64(d)) // the endpoint returns with a slow start
}

func (v *view) contains(t *state) bool {
	return slices.ContainsFunc(v.candidates, func(m candidate) bool { return m.state == t })
}

// ejected returns the number of ejected endpoints.
func (v *view) ejected(now int64) int {
	n := 0
	for i := range v.candidates {
		if v.candidates[i].state.ejectedUntil.Load() > now {
			n++
		}
	}
	return n
}

// RecordLoad records the load that the endpoint itself reports, from 0 (idle) to 1 (full); other values are limited to that range.
func (p *Picker) RecordLoad(endpoint string, load float64, now time.Time) {
	n := p.advanceClock(now)
	t := p.lookup(endpoint)
	if t == nil || math.IsNaN(load) {
		return
	}
	t.reportedLoad.Store(math.Float64bits(min(max(load, 0), 1)))
	t.loadReportedAt.Store(n)
}

// RecordOccupancy records the number of calls of all nodes that run or wait at the endpoint, as a share of its slots; the node on
// the endpoint's host reports it with each answer.
func (p *Picker) RecordOccupancy(endpoint string, share float64, now time.Time) {
	n := p.advanceClock(now)
	t := p.lookup(endpoint)
	if t == nil || math.IsNaN(share) || share < 0 {
		return
	}
	t.domain.record(share, n)
	t.reportedOccupancy.Store(math.Float64bits(share))
	t.occupancyReportedAt.Store(n)
}

// Avoid excludes the endpoint from decisions until the given time, after this node saw a drain, refusal or failed connection. It
// replaces the reason of an earlier avoidance, but does not shorten it. See Unreachable for the last resort.
func (p *Picker) Avoid(endpoint string, until time.Time, reason string) {
	t := p.lookup(endpoint)
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.avoidReason = reason
	if n := until.UnixNano(); n > t.avoidedUntil.Load() {
		t.avoidedUntil.Store(n)
	}
}

// Leave excludes a process of the endpoint from all decisions, after it has stated that it leaves.
func (p *Picker) Leave(endpoint string, incarnation uint64) {
	t := p.lookup(endpoint)
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.incarnation == incarnation {
		t.leaving.Store(true)
	}
}

// Avoided returns the last reason and the end of an endpoint's avoidance; ok is false if it is not avoided.
func (p *Picker) Avoided(endpoint string, now time.Time) (reason string, until time.Time, ok bool) {
	t := p.lookup(endpoint)
	if t == nil || t.avoidedUntil.Load() <= now.UnixNano() {
		return "", time.Time{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.avoidReason, time.Unix(0, t.avoidedUntil.Load()), true
}

// Retain drops the state of endpoints for which keep returns false. The next decision for a service rebuilds its view. If a
// service has a retained endpoint, endpoints that join it later begin with a slow start.
func (p *Picker) Retain(keep func(key string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range p.shards {
		s := &p.shards[i]
		s.mutex.Lock()
		for k := range s.states {
			if !keep(k) {
				delete(s.states, k)
			}
		}
		s.mutex.Unlock()
	}
	next, services := map[viewKey]*view{}, map[string]bool{}
	for k, v := range *p.views.Load() {
		if slices.ContainsFunc(v.candidates, func(m candidate) bool { return keep(m.key) }) {
			next[k], services[k.service] = &view{candidates: v.candidates}, true
		}
	}
	maps.DeleteFunc(p.loads, func(service string, _ *serviceLoad) bool { return !services[service] })
	p.views.Store(&next)
}

func updateAverage(average *atomic.Uint64, value float64) {
	old := math.Float64frombits(average.Load())
	weight := decreaseWeight
	if value > old {
		weight = increaseWeight
	}
	if old == 0 && value < 1 {
		weight = 1 // the first latency, if below 1 s, sets the average; an error has the value 1 and is always smoothed
	}
	average.Store(math.Float64bits(old + (value-old)*weight))
}

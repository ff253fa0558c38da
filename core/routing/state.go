package routing

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shardCount = 32

	smoothing    = 0.2              // weight of a new observation that lowers an average
	peak         = 0.5              // weight of one that raises it, so that a slowdown shows within a few calls
	memory       = 10 * time.Second // age at which an old average counts half, so that an endpoint without calls is tried again
	ejectFails   = 5                // failures in a row that eject an endpoint
	ejectBase    = 5 * time.Second  // first ejection; each further one is twice as long
	ejectLongest = time.Minute
	ejectShare   = 3 // at most one in this many endpoints of a service is ejected
)

// state is what the node has observed of one endpoint; it is read without a lock.
type state struct {
	outstanding atomic.Int64
	latency     atomic.Uint64 // float64 bits, seconds
	errors      atomic.Uint64 // float64 bits, 0 to 1
	seen        atomic.Int64  // last observation, Unix nanoseconds
	hint        atomic.Uint64 // float64 bits, 0 to 1
	hinted      atomic.Int64
	occupied    atomic.Uint64 // float64 bits, calls at the endpoint as a share of its slots
	occupiedAt  atomic.Int64
	avoid       atomic.Int64 // avoided until, Unix nanoseconds
	eject       atomic.Int64 // ejected until, Unix nanoseconds
	since       atomic.Int64 // start of the slow start; 0 when warm

	mutex       sync.Mutex // guards what follows and all writes of averages
	incarnation uint64
	fails       int
	ejections   int
	reason      string
}

type shard struct {
	mutex  sync.RWMutex
	states map[string]*state
	_      [32]byte // keeps neighbouring locks off one cache line
}

func (p *Picker) shard(key string) *shard {
	h := uint32(2166136261) // FNV-1a
	for i := 0; i < len(key); i++ {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return &p.shards[h%shardCount]
}

func (p *Picker) find(key string) *state {
	s := p.shard(key)
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.states[key]
}

// obtain returns the state of an endpoint; a new incarnation starts cold and without marks of the previous one.
func (p *Picker) obtain(key string, incarnation uint64, now int64, cold bool) *state {
	s := p.shard(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.states[key]
	if t == nil {
		t = &state{incarnation: incarnation}
		if cold {
			t.since.Store(now)
		}
		s.states[key] = t
		return t
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.incarnation == incarnation {
		return t
	}
	t.incarnation, t.fails, t.ejections = incarnation, 0, 0
	t.since.Store(now)
	t.avoid.Store(0)
	t.eject.Store(0)
	t.latency.Store(0)
	t.errors.Store(0)
	t.hinted.Store(0)
	t.occupiedAt.Store(0)
	return t
}

// Unreachable is the reason of an avoidance that is a guess: the endpoint may be back.
const Unreachable = "unreachable"

// doubtful reports whether the endpoint is avoided only since it was not reached.
func (t *state) doubtful() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reason == Unreachable
}

func (t *state) usable(now int64) bool { return t.avoid.Load() <= now && t.eject.Load() <= now }

// Start records that a call to the endpoint (key SERVICE/NAME) begins; each Start needs one Done.
func (p *Picker) Start(endpoint string, now time.Time) {
	p.advance(now)
	if t := p.find(endpoint); t != nil {
		t.outstanding.Add(1)
	}
}

// Done records the outcome of a call to the endpoint.
func (p *Picker) Done(endpoint string, o Observation) {
	t := p.find(endpoint)
	if t == nil {
		return
	}
	if t.outstanding.Add(-1) < 0 {
		t.outstanding.Add(1) // the state was dropped and made again between Start and Done
	}
	if o.NotRun && !o.Failed {
		return
	}
	now := p.clock.Load()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seen.Store(now)
	if o.Failed {
		blend(&t.errors, 1)
		t.fails++
		if t.fails >= ejectFails && t.eject.Load() <= now {
			p.ejectLocked(endpoint, t, now)
		}
		return // a fast failure must not look like a fast endpoint
	}
	t.fails = 0
	t.ejections = 0
	blend(&t.errors, 0)
	blend(&t.latency, max(o.Took.Seconds(), 1e-6))
}

// ejectLocked ejects an endpoint unless a third of the service is out already.
func (p *Picker) ejectLocked(endpoint string, t *state, now int64) {
	name, _, _ := strings.Cut(endpoint, "/")
	v := (*p.views.Load())[name]
	if v == nil {
		return
	}
	p.ejecting.Lock() // two endpoints ejected at the same time must not exceed the cap
	defer p.ejecting.Unlock()
	out := 0
	for i := range v.members {
		if v.members[i].state.eject.Load() > now {
			out++
		}
	}
	if out+1 > len(v.members)/ejectShare {
		return
	}
	d := min(ejectBase<<min(t.ejections, 8), ejectLongest)
	t.ejections++
	t.fails = ejectFails - 1 // one more failure after its return ejects it again
	t.eject.Store(now + int64(d))
	t.since.Store(now + int64(d)) // it returns by a slow start
}

// Hint records the load that the endpoint reports, from 0 (idle) to 1 (full).
func (p *Picker) Hint(endpoint string, load float64, now time.Time) {
	n := p.advance(now)
	t := p.find(endpoint)
	if t == nil || math.IsNaN(load) {
		return
	}
	t.hint.Store(math.Float64bits(min(max(load, 0), 1)))
	t.hinted.Store(n)
}

// Occupied records how many calls of all nodes run and wait at the endpoint, as a share of its slots, as the node beside it
// told with an answer.
func (p *Picker) Occupied(endpoint string, share float64, now time.Time) {
	n := p.advance(now)
	t := p.find(endpoint)
	if t == nil || math.IsNaN(share) || share < 0 {
		return
	}
	t.occupied.Store(math.Float64bits(share))
	t.occupiedAt.Store(n)
}

// Avoid takes the endpoint out of choice until the given time, after a drain or refusal seen locally.
func (p *Picker) Avoid(endpoint string, until time.Time, reason string) {
	t := p.find(endpoint)
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reason = reason
	if n := until.UnixNano(); n > t.avoid.Load() {
		t.avoid.Store(n)
	}
}

// Avoided returns why and until when the endpoint is avoided; ok is false when it is not avoided.
func (p *Picker) Avoided(endpoint string, now time.Time) (reason string, until time.Time, ok bool) {
	t := p.find(endpoint)
	if t == nil || t.avoid.Load() <= now.UnixNano() {
		return "", time.Time{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.reason, time.Unix(0, t.avoid.Load()), true
}

// Retain drops the state of endpoints for which keep is false. Views are built again at the next decision, but a service
// with a retained endpoint stays known, so that its new endpoints start cold.
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
	next := map[string]*view{}
	for n, v := range *p.views.Load() {
		if slices.ContainsFunc(v.members, func(m member) bool { return keep(m.key) }) {
			next[n] = &view{members: v.members}
		}
	}
	p.views.Store(&next)
}

func blend(a *atomic.Uint64, x float64) {
	old := math.Float64frombits(a.Load())
	w := smoothing
	if x > old {
		w = peak
	}
	if old == 0 && x < 1 {
		w = 1 // first latency; an error counts 1 and is smoothed from the start
	}
	a.Store(math.Float64bits(old + (x-old)*w))
}

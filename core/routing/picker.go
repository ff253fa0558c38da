package routing

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/config"
)

// Class states whether a request may be retried and may be answered late.
type Class uint8

// Classes of requests.
const (
	Idempotent    Class = iota // idempotent, so a failed attempt may be retried
	LateTolerant               // idempotent, and a late answer is acceptable
	NonIdempotent              // not idempotent; errors of an endpoint weigh more, since a failed attempt cannot be retried
)

// ClassOf returns the class of a route's requests.
func ClassOf(r *config.Route) Class {
	if !r.Idempotent {
		return NonIdempotent
	}
	if r.Late {
		return LateTolerant
	}
	return Idempotent
}

// Call describes one call that needs an endpoint; the caller must not modify Service after its first use.
type Call struct {
	Service *config.Service
	Class   Class
	Domain  string   // failure domain of the caller; defaults to that of the node
	Tried   []string // keys of endpoints that this call was already sent to
	Now     time.Time
}

// Reasons for a choice, for the log.
const (
	ReasonSameHost   = "own"    // on the host of this node
	ReasonOnly       = "only"   // the only usable endpoint
	ReasonScore      = "score"  // lower score of two endpoints
	ReasonLocal      = "local"  // lower score of two endpoints, and in the caller's failure domain
	ReasonSpill      = "spill"  // in another failure domain, although the caller's has a usable endpoint
	ReasonLastResort = "resort" // only ejected or unreachable endpoints are left
)

// Choice is an endpoint with the reason for choosing it.
type Choice struct {
	Endpoint *config.Endpoint
	Reason   string  // one of the Reason constants
	Score    float64 // lower is better; only comparable within one decision
}

// NoEndpointError reports that a service has no endpoint that the call may use.
type NoEndpointError struct {
	Service    string
	Endpoints  int           // endpoints of the service that this node uses
	Avoided    int           // of these, avoided after a refusal or during a drain
	Tried      int           // of these, already tried by the call
	RetryAfter time.Duration // time until the first avoided endpoint is usable again; 0 if none is avoided
}

// Error states how many endpoints exist and why none is usable.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("service %q has no usable endpoint: %d known, %d avoided, %d tried",
		e.Service, e.Endpoints, e.Avoided, e.Tried)
}

// Observation is the outcome of one call to an endpoint.
type Observation struct {
	Took   time.Duration
	Failed bool // unreachable, reset, truncated, or the answer reports a failure of the backend server
	NotRun bool // refused before it ran; without Failed (drain, overload) this does not affect the endpoint's health
}

// Picker chooses endpoints; it is safe for concurrent use.
//
// Decide normally takes no lock: it reads an immutable view of the service and atomic fields of a few endpoints.
// Recording an observation locks the mutex of its endpoint, and looking up an endpoint read-locks one of 32 shards.
type Picker struct {
	random        func(n int) int
	node          string
	domain        string
	region        string
	subset        int
	remotePenalty float64 // score factor of other failure domains in the node's region
	preferNear    bool    // prefers the node's host and the caller's failure domain; see WithNear

	clock  atomic.Int64 // latest time passed in, Unix nanoseconds; used by Done, which takes no time
	seed   atomic.Uint64
	views  atomic.Pointer[map[string]*view]
	shards [shardCount]shard

	mutex      sync.Mutex // guards changes to views; locked before shards and endpoints
	ejectMutex sync.Mutex // serializes ejections; locked after the mutex of an endpoint
}

// Option configures a Picker.
type Option func(*Picker)

// WithRandom sets the function that returns random numbers in [0, n); it must be safe for concurrent use.
func WithRandom(f func(n int) int) Option { return func(p *Picker) { p.random = f } }

// WithDomain sets the failure domain of the node.
func WithDomain(name string) Option { return func(p *Picker) { p.domain = name } }

// WithRegion sets the region of the node; endpoints in other regions get a larger penalty.
func WithRegion(name string) Option { return func(p *Picker) { p.region = name } }

// WithNode sets the name of the node, which determines its subset of a large service; without a name it uses all endpoints.
func WithNode(name string) Option { return func(p *Picker) { p.node = name } }

// WithSubset sets the maximum number of endpoints of a service that the node uses, from 8 to 64; the default is 16.
func WithSubset(n int) Option {
	return func(p *Picker) { p.subset = min(max(n, minSubset), maxSubset) }
}

// WithLocalPreference prefers the endpoint on the host of the node, then those in the caller's failure domain, until they are full or
// much slower, for meshes with little bandwidth between hosts. The factor multiplies the score of other failure domains;
// without this option it is 1.5 and the node's host is not preferred.
func WithLocalPreference(factor float64) Option {
	return func(p *Picker) { p.remotePenalty, p.preferNear = max(factor, 1), true }
}

// New returns a Picker that knows no endpoints yet; Decide adds those of the services it is called with.
func New(opts ...Option) *Picker {
	p := &Picker{subset: defaultSubset, remotePenalty: otherDomainPenalty}
	p.random = p.splitMix
	for i := range p.shards {
		p.shards[i].states = map[string]*state{}
	}
	p.views.Store(&map[string]*view{})
	for _, o := range opts {
		o(p)
	}
	return p
}

// splitMix is the SplitMix64 generator (Steele, Lea and Flood, 2014) with a fixed seed, the default without WithRandom.
func (p *Picker) splitMix(n int) int {
	z := p.seed.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int((z >> 33) % uint64(n))
}

// Decide chooses an endpoint for a call, or returns a *NoEndpointError.
func (p *Picker) Decide(c Call) (Choice, error) {
	now := p.advanceClock(c.Now)
	v := p.view(c.Service, now)
	if len(v.candidates) == 0 {
		return Choice{}, &NoEndpointError{Service: c.Service.Name}
	}
	domain := c.Domain
	if domain == "" {
		domain = p.domain
	}
	local := v.byDomain[domain]
	first := p.randomUsable(v, local, c.Tried, now, nil)
	if first == nil {
		first = p.randomUsable(v, v.all, c.Tried, now, nil)
	}
	if first == nil {
		return p.decideLastResort(v, c, domain, now)
	}
	if p.preferNear && p.prefersOwn(v.own, first, c, now) {
		return Choice{Endpoint: v.own.endpoint, Reason: ReasonSameHost, Score: p.score(v.own, first, c.Class, domain, now)}, nil
	}
	if p.preferNear {
		first = p.lowerScore(first, p.randomUsable(v, local, c.Tried, now, first), c.Class, domain, now)
	}
	second := p.randomUsable(v, v.all, c.Tried, now, first)
	if second == nil {
		return Choice{Endpoint: first.endpoint, Reason: ReasonOnly, Score: p.score(first, nil, c.Class, domain, now)}, nil
	}
	a := p.score(first, second, c.Class, domain, now)
	b := p.score(second, first, c.Class, domain, now)
	best, score := first, a
	if b < a && !p.prefersLocal(first, second, c.Class, domain, now) {
		best, score = second, b
	}
	reason := ReasonScore
	if best.endpoint.Domain == domain {
		reason = ReasonLocal
	} else if first.endpoint.Domain == domain {
		reason = ReasonSpill
	}
	return Choice{Endpoint: best.endpoint, Reason: reason, Score: score}, nil
}

// prefersOwn reports whether a call goes to the endpoint on the host of this node, which saves bandwidth between hosts: the
// endpoint has room and is not much slower or less reliable than the other one.
func (p *Picker) prefersOwn(own, other *candidate, c Call, now int64) bool {
	if own == nil || !own.state.usable(now) || slices.Contains(c.Tried, own.key) || usage(own, now) > maxUsage {
		return false
	}
	return own == other || p.baseScore(own, other, c.Class, now) <= maxSlowdown*p.baseScore(other, own, c.Class, now)
}

// prefersLocal reports whether a call stays in its failure domain although the other endpoint scores better: the local
// endpoint has room and is not much slower or less reliable.
func (p *Picker) prefersLocal(local, other *candidate, class Class, domain string, now int64) bool {
	if !p.preferNear || local.endpoint.Domain != domain || other.endpoint.Domain == domain {
		return false
	}
	return usage(local, now) < maxUsage && p.baseScore(local, other, class, now) <= maxSlowdown*p.baseScore(other, local, class, now)
}

// lowerScore returns the candidate with the lower score; b may be nil.
func (p *Picker) lowerScore(a, b *candidate, class Class, domain string, now int64) *candidate {
	if b == nil || p.score(a, b, class, domain, now) <= p.score(b, a, class, domain, now) {
		return a
	}
	return b
}

// randomUsable returns the first usable, untried candidate from a random position on, except the given one, or nil.
func (p *Picker) randomUsable(v *view, from []int, tried []string, now int64, other *candidate) *candidate {
	if len(from) == 0 {
		return nil
	}
	start := p.random(len(from))
	for i := range from {
		m := &v.candidates[from[(start+i)%len(from)]]
		if m == other || !m.state.usable(now) || slices.Contains(tried, m.key) {
			continue
		}
		return m
	}
	return nil
}

// decideLastResort chooses the best endpoint that is ejected or was recently unreachable, since an attempt that may fail is
// better than a certain refusal.
func (p *Picker) decideLastResort(v *view, c Call, domain string, now int64) (Choice, error) {
	e := &NoEndpointError{Service: c.Service.Name, Endpoints: len(v.candidates)}
	var best *candidate
	var low float64
	for i := range v.candidates {
		m := &v.candidates[i]
		if slices.Contains(c.Tried, m.key) {
			e.Tried++
			continue
		}
		if until := m.state.avoidedUntil.Load(); until > now && !m.state.avoidedAsUnreachable() {
			e.Avoided++
			if d := time.Duration(until - now); e.RetryAfter == 0 || d < e.RetryAfter {
				e.RetryAfter = d
			}
			continue
		}
		if s := p.score(m, nil, c.Class, domain, now); best == nil || s < low {
			best, low = m, s
		}
	}
	if best == nil {
		return Choice{}, e
	}
	return Choice{Endpoint: best.endpoint, Reason: ReasonLastResort, Score: low}, nil
}

// advanceClock moves the clock forward and returns now in Unix nanoseconds. Steps exceed 1 ms, so that writes are rare.
func (p *Picker) advanceClock(now time.Time) int64 {
	n := now.UnixNano()
	if held := p.clock.Load(); n > held+int64(time.Millisecond) {
		p.clock.CompareAndSwap(held, n)
	}
	return n
}

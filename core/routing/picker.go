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
	NonIdempotent              // not idempotent; an endpoint's errors weigh more, since a failed attempt cannot be retried
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
	Domain  string   // failure domain of the caller; empty for that of the node
	Side    Side     // releases that the call may use
	Tried   []string // keys of the endpoints to which this call was already sent; they are not chosen
	Now     time.Time
	Kind    string // kind of request, for expected times

	Objective time.Duration // time within which a response is useful; 0 for none
}

// Reasons for a choice, which appear in the log.
const (
	ReasonSameHost   = "own"    // the endpoint is on the host of this node
	ReasonOnly       = "only"   // no other usable endpoint is untried
	ReasonScore      = "score"  // it has the lower score of two endpoints; none is usable in the caller's failure domain
	ReasonLocal      = "local"  // it is in the caller's failure domain and has the lower score of two endpoints, or is preferred
	ReasonRemote     = "spill"  // it is in another failure domain and has a lower score than a usable endpoint in the caller's
	ReasonProbe      = "probe"  // it was drawn at random, so that an endpoint that looks slow is still observed
	ReasonLastResort = "resort" // it is ejected or unreachable, and no usable endpoint is untried
)

// Choice is an endpoint with the reason for choosing it.
type Choice struct {
	Endpoint *config.Endpoint
	Reason   string  // one of the Reason constants
	Score    float64 // lower is better; scores are comparable only within one decision
}

// NoEndpointError reports that a service has no endpoint that the call may use.
type NoEndpointError struct {
	Service    string
	Endpoints  int           // endpoints of the service that this node uses
	Avoided    int           // untried endpoints that leave, or are avoided after a refusal or during a drain
	Tried      int           // endpoints that the call has already tried
	RetryAfter time.Duration // time until the first avoided endpoint is usable again; 0 if none is avoided
}

// Error states how many endpoints exist and why none is usable.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("service %q has no usable endpoint: %d known, %d avoided, %d tried",
		e.Service, e.Endpoints, e.Avoided, e.Tried)
}

// Observation is the outcome of one call to an endpoint.
type Observation struct {
	Took   time.Duration // latency of the call; used only if neither Failed nor NotRun is set
	Failed bool          // the endpoint was unreachable, or the answer was reset, truncated or reports a failed backend server
	NotRun bool          // the call was refused before it ran; a refusal without Failed (drain, overload) does not affect the health
}

// Picker chooses endpoints; it is safe for concurrent use.
//
// Decide normally takes no lock: it reads an immutable view of the service and atomic fields of a few endpoints.
// Recording an observation locks the mutex of its endpoint, and looking up an endpoint read-locks one of 32 shards.
type Picker struct {
	random        func(n int) int // returns a random number in [0, n)
	node          string          // name of the node; empty if not known
	domain        string          // failure domain of the node
	region        string          // region of the node; empty if not known
	subset        int             // maximum number of endpoints of a service that the node uses
	remotePenalty float64         // score factor of other failure domains in the node's region
	leaving       func(endpoint string, incarnation uint64) bool
	ownLoad       func(endpoint, kind string, now time.Time) (Load, bool)
	preferLocal   bool // prefers the node's host and the caller's failure domain; see WithLocalPreference

	// clock is the latest time passed in, up to 1 ms late, in Unix nanoseconds. Done uses it, since it has no time parameter.
	clock  atomic.Int64
	seed   atomic.Uint64 // state of splitMix
	views  atomic.Pointer[map[viewKey]*view]
	shards [shardCount]shard // states of endpoints, sharded by key

	mutex      sync.Mutex              // guards changes to views, and loads; locked before shards and endpoints
	loads      map[string]*serviceLoad // by service name
	ejectMutex sync.Mutex              // serializes ejections; locked after the mutex of an endpoint
}

// Option is a setting for New; none is required.
type Option func(*Picker)

// WithRandom sets the function that returns random numbers in [0, n); it must be safe for concurrent use.
func WithRandom(f func(n int) int) Option { return func(p *Picker) { p.random = f } }

// WithDomain sets the failure domain of the node.
func WithDomain(name string) Option { return func(p *Picker) { p.domain = name } }

// WithRegion sets the region of the node. Endpoints in other regions get a larger penalty than those in other failure domains of
// the same region; without a region, all get the same.
func WithRegion(name string) Option { return func(p *Picker) { p.region = name } }

// WithNode sets the name of the node, which determines its subset of a large service and the endpoints on its host. Without a name
// the node uses all endpoints.
func WithNode(name string) Option { return func(p *Picker) { p.node = name } }

// WithSubset sets the maximum number of endpoints of a service that the node uses; values are limited to 8 to 64, and the default
// is 16.
func WithSubset(n int) Option {
	return func(p *Picker) { p.subset = min(max(n, minSubset), maxSubset) }
}

// WithLocalPreference prefers the endpoint on the host of the node, then those in the caller's failure domain, until they are full,
// much slower or less reliable, for meshes with little bandwidth between hosts. The factor, at least 1, multiplies the score of
// other failure domains in the node's region; without this option it is 1.5 and the node's host is not preferred.
func WithLocalPreference(factor float64) Option {
	return func(p *Picker) { p.remotePenalty, p.preferLocal = max(factor, 1), true }
}

// WithLeaving sets the function that reports whether a process of an endpoint that this node has not seen yet, or has forgotten, has
// stated that it leaves.
func WithLeaving(f func(endpoint string, incarnation uint64) bool) Option {
	return func(p *Picker) { p.leaving = f }
}

// New returns a Picker that knows no endpoints yet; Decide adds those of the services it is called with.
func New(opts ...Option) *Picker {
	p := &Picker{subset: defaultSubset, remotePenalty: otherDomainPenalty, leaving: func(string, uint64) bool { return false }, loads: map[string]*serviceLoad{}}
	p.ownLoad = func(string, string, time.Time) (Load, bool) { return Load{}, false }
	p.random = p.splitMix
	for i := range p.shards {
		p.shards[i].states = map[string]*state{}
	}
	p.views.Store(&map[viewKey]*view{})
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
	v := p.view(c.Service, c.Side, now)
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
	if v.load.told.Load() {
		return p.decideByCompletion(v, first, c, domain, now), nil
	}
	if p.preferLocal && p.prefersSameHost(v.sameHost, first, c, now) {
		return Choice{
			Endpoint: v.sameHost.endpoint, Reason: ReasonSameHost, Score: p.score(v.sameHost, first, c.Class, domain, now),
		}, nil
	}
	if p.preferLocal {
		first = p.lowerScore(first, p.randomUsable(v, local, c.Tried, now, first), c.Class, domain, now)
	}
	second := p.randomUsable(v, v.all, c.Tried, now, first)
	if second == nil {
		return Choice{Endpoint: first.endpoint, Reason: ReasonOnly, Score: p.score(first, nil, c.Class, domain, now)}, nil
	}
	firstScore := p.score(first, second, c.Class, domain, now)
	secondScore := p.score(second, first, c.Class, domain, now)
	best, score := first, firstScore
	if secondScore < firstScore && !p.prefersLocal(first, second, c.Class, domain, now) {
		best, score = second, secondScore
	}
	reason := ReasonScore
	if best.endpoint.Domain == domain {
		reason = ReasonLocal
	} else if first.endpoint.Domain == domain {
		reason = ReasonRemote
	}
	return Choice{Endpoint: best.endpoint, Reason: reason, Score: score}, nil
}

// prefersSameHost reports whether a call goes to the endpoint on the host of this node, which saves bandwidth between hosts. That
// endpoint must be usable, untried and not full, and not much slower or less reliable than other, which may be the same endpoint.
func (p *Picker) prefersSameHost(sameHost, other *candidate, c Call, now int64) bool {
	if sameHost == nil || !sameHost.state.usable(now) || slices.Contains(c.Tried, sameHost.key) || usage(sameHost, now) > maxUsage {
		return false
	}
	return sameHost == other || p.baseScore(sameHost, other, c.Class, now) <= maxSlowdown*p.baseScore(other, sameHost, c.Class, now)
}

// prefersLocal reports whether a call stays in its failure domain although other, in another one, has a lower score. Local
// endpoints must be preferred, and local must not be full or much slower or less reliable than other.
func (p *Picker) prefersLocal(local, other *candidate, class Class, domain string, now int64) bool {
	if !p.preferLocal || local.endpoint.Domain != domain || other.endpoint.Domain == domain {
		return false
	}
	return usage(local, now) < maxUsage && p.baseScore(local, other, class, now) <= maxSlowdown*p.baseScore(other, local, class, now)
}

// lowerScore returns the candidate with the lower score, or a if the scores are equal or b is nil.
func (p *Picker) lowerScore(a, b *candidate, class Class, domain string, now int64) *candidate {
	if b == nil || p.score(a, b, class, domain, now) <= p.score(b, a, class, domain, now) {
		return a
	}
	return b
}

// randomUsable returns a usable, untried candidate other than excluded, or nil. It searches the given indexes in order from a random
// position on, and then from the beginning.
func (p *Picker) randomUsable(v *view, indexes []int, tried []string, now int64, excluded *candidate) *candidate {
	if len(indexes) == 0 {
		return nil
	}
	start := p.random(len(indexes))
	for i := range indexes {
		m := &v.candidates[indexes[(start+i)%len(indexes)]]
		if m == excluded || !m.state.usable(now) || slices.Contains(tried, m.key) {
			continue
		}
		return m
	}
	return nil
}

// decideLastResort is called when no usable endpoint is untried. It chooses the untried endpoint with the lowest score, except
// those that leave or are avoided for another reason than Unreachable: an attempt that may fail is better than a certain refusal. If
// none remains, it returns a *NoEndpointError.
func (p *Picker) decideLastResort(v *view, c Call, domain string, now int64) (Choice, error) {
	e := &NoEndpointError{Service: c.Service.Name, Endpoints: len(v.candidates)}
	var best *candidate
	var lowest float64
	for i := range v.candidates {
		m := &v.candidates[i]
		if slices.Contains(c.Tried, m.key) {
			e.Tried++
			continue
		}
		if m.state.leaving.Load() {
			e.Avoided++
			continue
		}
		if until := m.state.avoidedUntil.Load(); until > now && !m.state.avoidedAsUnreachable() {
			e.Avoided++
			if d := time.Duration(until - now); e.RetryAfter == 0 || d < e.RetryAfter {
				e.RetryAfter = d
			}
			continue
		}
		if s := p.score(m, nil, c.Class, domain, now); best == nil || s < lowest {
			best, lowest = m, s
		}
	}
	if best == nil {
		return Choice{}, e
	}
	return Choice{Endpoint: best.endpoint, Reason: ReasonLastResort, Score: lowest}, nil
}

// advanceClock returns now in Unix nanoseconds and sets the clock to it if the clock is more than 1 ms behind; smaller steps are
// skipped so that writes are rare.
func (p *Picker) advanceClock(now time.Time) int64 {
	n := now.UnixNano()
	if previous := p.clock.Load(); n > previous+int64(time.Millisecond) {
		p.clock.CompareAndSwap(previous, n)
	}
	return n
}

package routing

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitspindle/core/config"
)

// Class is what routing needs to know about the kind of a request.
type Class uint8

// Classes of requests.
const (
	Read Class = iota // idempotent; a failed attempt may be repeated
	Slow              // idempotent, and a late answer is tolerated
	Once              // not idempotent; errors of an endpoint weigh more, since a failed attempt cannot be repeated
)

// ClassOf returns the class of a route.
func ClassOf(r *config.Route) Class {
	if !r.Idempotent {
		return Once
	}
	if r.Late {
		return Slow
	}
	return Read
}

// Call is one call that needs an endpoint; Service must not change after it was first used.
type Call struct {
	Service *config.Service
	Class   Class
	Domain  string   // failure domain of the caller; empty for that of the node
	Tried   []string // endpoint keys that this call has used already
	Now     time.Time
}

// Reasons of a choice, for the log line.
const (
	ReasonOwn    = "own"    // beside this node
	ReasonOnly   = "only"   // one usable endpoint
	ReasonScore  = "score"  // lower score of two
	ReasonLocal  = "local"  // lower score of two, and in the failure domain of the caller
	ReasonSpill  = "spill"  // in another failure domain, although the caller's own has a usable endpoint
	ReasonResort = "resort" // only ejected endpoints are left
)

// Choice is the chosen endpoint.
type Choice struct {
	Endpoint *config.Endpoint
	Reason   string  // one of the Reason constants
	Score    float64 // lower is better; comparable only within one decision
}

// NoEndpointError says that a service has no endpoint that this call may use.
type NoEndpointError struct {
	Service   string
	Endpoints int           // endpoints of the service that this node uses
	Avoided   int           // of these, avoided after a refusal or drain
	Tried     int           // of these, already tried by this call
	After     time.Duration // until the first avoided endpoint is usable again; 0 for none
}

// Error formats the error for logs.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("service %q: no usable endpoint of %d (%d avoided, %d tried)", e.Service, e.Endpoints, e.Avoided, e.Tried)
}

// Observation is the outcome of one call to an endpoint.
type Observation struct {
	Took   time.Duration
	Failed bool // unreachable, reset, truncated, or an answer that says that the backend server failed
	NotRun bool // refused before it ran; with Failed unset (drain, overload) it says nothing about health
}

// Picker chooses endpoints; it is safe for concurrent use.
//
// Decide takes no lock: it reads an immutable view of the service and atomic fields of two endpoints. Observations take
// the mutex of their endpoint, and a lookup takes a read lock on one of 32 shards.
type Picker struct {
	random func(n int) int
	node   string
	domain string
	region string
	subset int
	remote float64 // penalty of other failure domains of the region
	near   bool    // two endpoints of the caller's failure domain are compared before one of another

	clock  atomic.Int64 // latest time seen, Unix nanoseconds; Done carries no time
	seed   atomic.Uint64
	views  atomic.Pointer[map[string]*view]
	shards [shardCount]shard

	mutex    sync.Mutex // held while views are rebuilt; taken before the locks of shards and endpoints
	ejecting sync.Mutex // taken after the lock of an endpoint
}

// Option sets up a Picker.
type Option func(*Picker)

// WithRandom sets the source of random numbers in [0, n); it must be safe for concurrent use.
func WithRandom(f func(n int) int) Option { return func(p *Picker) { p.random = f } }

// WithDomain sets the failure domain of the node.
func WithDomain(name string) Option { return func(p *Picker) { p.domain = name } }

// WithRegion sets the region of the node; endpoints of other regions get a larger penalty.
func WithRegion(name string) Option { return func(p *Picker) { p.region = name } }

// WithNode sets the name of the node, from which its subset of a large service is drawn; without it all endpoints are used.
func WithNode(name string) Option { return func(p *Picker) { p.node = name } }

// WithSubset sets how many endpoints of one service the node uses, from 8 to 64; the default is 16.
func WithSubset(n int) Option {
	return func(p *Picker) { p.subset = min(max(n, minSubset), maxSubset) }
}

// WithNear makes calls stay beside their node and in the failure domain of their caller until the endpoints there are full or
// score worse by a factor, for meshes whose links are thin; the default factor is 1.5 and prefers no endpoint beside the node.
func WithNear(factor float64) Option {
	return func(p *Picker) { p.remote, p.near = max(factor, 1), true }
}

// New returns a Picker.
func New(opts ...Option) *Picker {
	p := &Picker{subset: defaultSubset, remote: otherDomain}
	p.random = p.sequence
	for i := range p.shards {
		p.shards[i].states = map[string]*state{}
	}
	p.views.Store(&map[string]*view{})
	for _, o := range opts {
		o(p)
	}
	return p
}

// sequence is a SplitMix64 generator (Steele, Lea and Flood, 2014) with a fixed seed, for use without WithRandom.
func (p *Picker) sequence(n int) int {
	z := p.seed.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int((z >> 33) % uint64(n))
}

// Decide chooses an endpoint, or returns a *NoEndpointError.
func (p *Picker) Decide(c Call) (Choice, error) {
	now := p.advance(c.Now)
	v := p.view(c.Service, now)
	if len(v.members) == 0 {
		return Choice{}, &NoEndpointError{Service: c.Service.Name}
	}
	domain := c.Domain
	if domain == "" {
		domain = p.domain
	}
	local := v.local[domain]
	first := p.draw(v, local, c.Tried, now, nil)
	if first == nil {
		first = p.draw(v, v.all, c.Tried, now, nil)
	}
	if first == nil {
		return p.resort(v, c, domain, now)
	}
	if p.near && p.suits(v.own, first, c, now) {
		return Choice{Endpoint: v.own.endpoint, Reason: ReasonOwn, Score: p.score(v.own, first, c.Class, domain, now)}, nil
	}
	if p.near {
		first = p.better(first, p.draw(v, local, c.Tried, now, first), c.Class, domain, now)
	}
	second := p.draw(v, v.all, c.Tried, now, first)
	if second == nil {
		return Choice{Endpoint: first.endpoint, Reason: ReasonOnly, Score: p.score(first, nil, c.Class, domain, now)}, nil
	}
	a := p.score(first, second, c.Class, domain, now)
	b := p.score(second, first, c.Class, domain, now)
	best, score := first, a
	if b < a && !p.stays(first, second, c.Class, domain, now) {
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

// suits reports whether a call goes to the endpoint beside this node, which takes nothing of the links between hosts: it has room
// and is not much slower or less reliable than another one.
func (p *Picker) suits(own, other *member, c Call, now int64) bool {
	if own == nil || !own.state.usable(now) || slices.Contains(c.Tried, own.key) || taken(own, now) > roomy {
		return false
	}
	return own == other || p.pace(own, other, c.Class, now) <= slower*p.pace(other, own, c.Class, now)
}

// stays reports whether a call stays in its failure domain although the other endpoint scores better: the local endpoint has
// room and is not much slower or less reliable.
func (p *Picker) stays(local, other *member, class Class, domain string, now int64) bool {
	if !p.near || local.endpoint.Domain != domain || other.endpoint.Domain == domain {
		return false
	}
	return taken(local, now) < roomy && p.pace(local, other, class, now) <= slower*p.pace(other, local, class, now)
}

// better returns the candidate with the lower score; the second may be nil.
func (p *Picker) better(a, b *member, class Class, domain string, now int64) *member {
	if b == nil || p.score(a, b, class, domain, now) <= p.score(b, a, class, domain, now) {
		return a
	}
	return b
}

// draw returns a random usable member other than the given one, or nil; from a random start it takes the next usable one.
func (p *Picker) draw(v *view, from []int, tried []string, now int64, other *member) *member {
	if len(from) == 0 {
		return nil
	}
	start := p.random(len(from))
	for i := range from {
		m := &v.members[from[(start+i)%len(from)]]
		if m == other || !m.state.usable(now) || slices.Contains(tried, m.key) {
			continue
		}
		return m
	}
	return nil
}

// resort takes the best endpoint that is ejected or was not reached lately, since an endpoint that may fail is better than a certain refusal.
func (p *Picker) resort(v *view, c Call, domain string, now int64) (Choice, error) {
	e := &NoEndpointError{Service: c.Service.Name, Endpoints: len(v.members)}
	var best *member
	var low float64
	for i := range v.members {
		m := &v.members[i]
		if slices.Contains(c.Tried, m.key) {
			e.Tried++
			continue
		}
		if until := m.state.avoid.Load(); until > now && !m.state.doubtful() {
			e.Avoided++
			if d := time.Duration(until - now); e.After == 0 || d < e.After {
				e.After = d
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
	return Choice{Endpoint: best.endpoint, Reason: ReasonResort, Score: low}, nil
}

// advance moves the clock forward, in steps of at least a millisecond so that it is seldom written.
func (p *Picker) advance(now time.Time) int64 {
	n := now.UnixNano()
	if held := p.clock.Load(); n > held+int64(time.Millisecond) {
		p.clock.CompareAndSwap(held, n)
	}
	return n
}

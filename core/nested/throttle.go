package nested

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Result is the result of one nested call.
type Result uint8

// Results of nested calls.
const (
	Served  Result = iota // answered, also with an error of the endpoint
	Refused               // not run, since the service had no room for it
	Late                  // ran, or waited, until its deadline passed
	Failed                // failed for another reason: the endpoint or the connection to it broke, or the call itself was wrong
	results = iota
)

// String names the result, for metrics.
func (r Result) String() string {
	switch r {
	case Refused:
		return "refused"
	case Late:
		return "late"
	case Failed:
		return "failed"
	}
	return "served"
}

// lacksRoom reports whether the result shows that the service could not serve the call in time.
func (r Result) lacksRoom() bool { return r == Refused || r == Late }

const (
	halfLife    = 2 * time.Second // time after which a run counts half in what is known of its kind
	maxKinds    = 256             // maximum number of kinds; with one more all are dropped and learned again
	maxServices = 8               // maximum number of services per kind and per run whose calls are recorded
	maxRuns     = 2048            // maximum number of tracked runs, above the slots of a node's endpoints
	// minCalling is the number of calling runs, after decay, below which a service is dropped from a kind.
	minCalling = 0.01
	// settleTime is the time after the end of a run for which its calls are awaited: a call ends for its node only after its last byte
	// was written, and the run may have ended by then.
	settleTime = 50 * time.Millisecond

	minRuns = 4.0 // minimum number of recorded runs, after decay, for a refusal
	// probeInterval is the time after which a parent of each kind is admitted whatever the share, so that a recovery is found.
	probeInterval = 250 * time.Millisecond

	minRetryAfter = 200 * time.Millisecond
)

// Call describes a nested call that has ended.
type Call struct {
	Parent  string // call id of the run that made it
	Service string // service that it called
	Result  Result
}

// Decision says whether a parent may run.
type Decision struct {
	Admit      bool
	Service    string        // service whose calls are refused; empty if the parent is admitted
	Share      float64       // share of the kind's parents that is admitted now
	RetryAfter time.Duration // time after which the parent is likely to be admitted
}

// Usage is what is known of the calls of one kind to one service, with exponential decay.
type Usage struct {
	Runs    float64          // runs of the kind
	Calling float64          // runs that made a call to the service
	Calls   [results]float64 // calls by Result
}

// Throttle learns the calls of the runs at the endpoints of one node; it is safe for concurrent use.
type Throttle struct {
	mutex    sync.Mutex
	kinds    map[string]*kind
	services map[string]*serviceShare
	runs     map[string]*run // by call id
	ended    []*run          // runs that have ended and are recorded after settleTime, in order
}

// kind is what is known of one kind of parent.
type kind struct {
	updated  time.Time
	runs     float64 // runs that have ended, with exponential decay
	services map[string]*usage
	credit   float64 // part of a parent that may still be admitted; spreads the refusals evenly
	admitted time.Time
}

type usage struct {
	calling float64
	calls   [results]float64
}

// run is a parent that runs.
type run struct {
	call  string
	kind  string
	began time.Time
	ended time.Time // zero while it runs
	ok    bool      // its parent got a success
	calls []serviceCalls
}

// serviceCalls holds the calls of one run to one service.
type serviceCalls struct {
	service string
	counts  [results]uint32
	last    Result
}

// New returns a Throttle that has learned nothing, so that it admits all parents.
func New() *Throttle {
	return &Throttle{kinds: map[string]*kind{}, services: map[string]*serviceShare{}, runs: map[string]*run{}}
}

// Decide decides whether a parent of the given kind may run.
func (t *Throttle) Decide(now time.Time, name string) Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.settle(now)
	k := t.kinds[name]
	if k == nil {
		return Decision{Admit: true, Share: 1}
	}
	k.decay(now)
	d := t.lowestShare(now, k)
	if d.Share >= 1 {
		k.credit, k.admitted = 0, now
		return Decision{Admit: true, Share: 1}
	}
	k.credit += d.Share
	if k.credit >= 1 || now.Sub(k.admitted) >= probeInterval {
		k.credit, k.admitted = max(k.credit-1, 0), now
		return Decision{Admit: true, Share: d.Share}
	}
	return d
}

// lowestShare returns a refusal with the lowest share over the services that runs of the kind call. Of the refused parents, those that
// would make no call would have been served. So the share is at least the ratio of runs without calls to runs with calls, and no kind is
// refused of which less than half of the runs make calls.
func (t *Throttle) lowestShare(now time.Time, k *kind) Decision {
	d := Decision{Share: 1}
	if k.runs < minRuns {
		return d
	}
	for name, u := range k.services {
		calling := u.calling / k.runs
		l := t.services[name]
		if l == nil || calling == 0 {
			continue
		}
		if s := max(l.current(now), (1-calling)/calling); s < d.Share {
			d = Decision{Service: name, Share: s, RetryAfter: max(l.untilFull(now), minRetryAfter)}
		}
	}
	return d
}

// Start records that an admitted parent begins to run; each Start needs one End.
func (t *Throttle) Start(now time.Time, call, name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.runs) < maxRuns {
		t.runs[call] = &run{call: call, kind: name, began: now}
	}
}

// Observe records a nested call that has ended. It is ignored if its parent does not run here.
func (t *Throttle) Observe(c Call) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r := t.runs[c.Parent]; r != nil {
		r.observe(c)
	}
}

func (r *run) observe(c Call) {
	i := slices.IndexFunc(r.calls, func(s serviceCalls) bool { return s.service == c.Service })
	if i < 0 && len(r.calls) >= maxServices {
		return
	}
	if i < 0 {
		i = len(r.calls)
		r.calls = append(r.calls, serviceCalls{service: c.Service})
	}
	r.calls[i].counts[c.Result]++
	r.calls[i].last = c.Result
}

// End records the end of a run; ok reports whether its parent got a success. It returns whether the run was broken: it was no
// success and the last call to some service lacked room there. The time of a broken run says nothing about the work of its kind.
func (t *Throttle) End(now time.Time, call string, ok bool) (broken bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.settle(now)
	r := t.runs[call]
	if r == nil || !r.ended.IsZero() {
		return false
	}
	r.ended, r.ok = now, ok
	if r.broken() {
		t.record(now, r)
		return true
	}
	t.ended = append(t.ended, r)
	return false
}

// broken reports whether the parent got no success and the last call to some service lacked room.
func (r *run) broken() bool {
	return !r.ok && slices.ContainsFunc(r.calls, func(s serviceCalls) bool { return s.last.lacksRoom() })
}

// settle records the runs that ended settleTime ago.
func (t *Throttle) settle(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].ended) >= settleTime {
		t.record(now, t.ended[n])
		n++
	}
	t.ended = slices.Delete(t.ended, 0, n)
}

// record adds a run that has ended to what is known of its kind and of the services that it called.
func (t *Throttle) record(now time.Time, r *run) {
	delete(t.runs, r.call)
	k := t.kindOf(now, r.kind)
	k.runs++
	for i := range r.calls {
		c := &r.calls[i]
		k.add(c)
		lacking := c.last.lacksRoom()
		if lacking && r.ok {
			continue // the run did without the call
		}
		t.shareOf(c.service).observe(now, r.began, lacking)
	}
}

// add adds the calls of a run to one service.
func (k *kind) add(c *serviceCalls) {
	u := k.services[c.service]
	if u == nil {
		if len(k.services) >= maxServices {
			return
		}
		u = &usage{}
		k.services[c.service] = u
	}
	u.calling++
	for i, n := range c.counts {
		u.calls[i] += float64(n)
	}
}

func (t *Throttle) kindOf(now time.Time, name string) *kind {
	k := t.kinds[name]
	if k == nil {
		if len(t.kinds) >= maxKinds {
			clear(t.kinds)
		}
		k = &kind{updated: now, services: map[string]*usage{}}
		t.kinds[name] = k
	}
	k.decay(now)
	return k
}

func (t *Throttle) shareOf(service string) *serviceShare {
	l := t.services[service]
	if l == nil {
		if len(t.services) >= maxKinds {
			clear(t.services)
		}
		l = &serviceShare{}
		t.services[service] = l
	}
	return l
}

// decay reduces the counts by the time since their last change and drops services that are no longer called.
func (k *kind) decay(now time.Time) {
	if !now.After(k.updated) {
		return
	}
	f := math.Exp2(-float64(now.Sub(k.updated)) / float64(halfLife))
	k.updated = now
	k.runs *= f
	for name, u := range k.services {
		u.calling *= f
		for i := range u.calls {
			u.calls[i] *= f
		}
		if u.calling < minCalling {
			delete(k.services, name)
		}
	}
}

// Usage returns what is known of the calls of a kind to a service.
func (t *Throttle) Usage(now time.Time, name, service string) Usage {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := t.kinds[name]
	if k == nil {
		return Usage{}
	}
	k.decay(now)
	u := k.services[service]
	if u == nil {
		return Usage{Runs: k.runs}
	}
	return Usage{Runs: k.runs, Calling: u.calling, Calls: u.calls}
}

// Shares returns the admitted share of the parents of each service's calls where it is below 1.
func (t *Throttle) Shares(now time.Time) map[string]float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	shares := map[string]float64{}
	for name, l := range t.services {
		if s := l.current(now); s < 1 {
			shares[name] = s
		}
	}
	return shares
}

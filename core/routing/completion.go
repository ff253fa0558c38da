package routing

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// This file chooses among endpoints whose nodes tell how long requests take there now. The choice compares the expected time to a
// response with a bounded preference for near endpoints, so that calls go elsewhere before they wait.

const (
	maxKinds        = 256  // request kinds of a service with separate averages
	referenceWeight = 0.02 // weight of a report in the mean expected time of a kind over all endpoints
	slownessWeight  = 0.05 // weight of a report in the usual slowness of an endpoint
	maxSlowness     = 8.0  // maximum ratio of the expected time at an endpoint to the mean, in either direction

	maxMeanShare    = 2.0  // maximum occupancy that counts for the mean
	minReportWeight = 0.02 // minimum weight of a report in the mean occupancy of a failure domain
	// unknownOccupancy is assumed for a failure domain without reports.
	unknownOccupancy = 0.7
	occupancyMemory  = 500 * time.Millisecond // time over which reports count for the mean occupancy
	domainHalfAge    = 2 * time.Second        // age of the last report at which the mean occupancy of a failure domain counts half

	slownessHalfAge = 500 * time.Millisecond // age at which a told expected time counts half: a slow spell lasts about as long
	loadKnownFor    = 5 * time.Second        // age from which an endpoint counts as usual for its service

	freeOccupancy = 0.5  // up to this occupancy calls hardly ever wait
	fullPenalty   = 0.3  // part of a service time that a call is expected to wait at an endpoint that is just full
	sameHostGain  = 1.3  // an endpoint on the node's host is preferred up to a rating that is worse by this factor
	domainGain    = 1.3  // the same for the caller's failure domain in comparison with others
	regionGain    = 2.0  // factor of both for another region
	fullDomain    = 1.4  // mean occupancy of a failure domain from which on no call from another domain goes there; refused calls count as 2
	easyShare     = 0.5  // a call stays in its failure domain while this share of the objective is expected to suffice there
	leaveShare    = 0.25 // share of the objective by which a response from another failure domain must be earlier
	remoteDraws   = 2    // endpoints of all failure domains that are compared

	refusalWeight  = 0.1 // weight of a call in the share of refusals by the backend server
	refusalHalfAge = 2 * time.Second
	// probeOdds is how many decisions there are to one that takes a random endpoint, so that slow ones are still observed.
	probeOdds = 50
)

// Load is what the node of an endpoint knows of the endpoint's load.
type Load struct {
	Occupancy float64       // running and waiting calls in relation to those that the endpoint handles well at once
	Expected  time.Duration // expected service time of a request of the kind asked for
}

// WithOwnLoad sets the function that returns the load of an endpoint on the node's host, which is newer than any report; it reports
// false for an endpoint that does not report its pace.
func WithOwnLoad(f func(endpoint, kind string, now time.Time) (Load, bool)) Option {
	return func(p *Picker) { p.ownLoad = f }
}

// serviceLoad holds averages over the endpoints of one service that tell expected times.
type serviceLoad struct {
	told    atomic.Bool            // an endpoint has told an expected time
	domains map[string]*domainLoad // by failure domain; guarded by the mutex of the Picker

	mutex    sync.Mutex
	expected map[string]float64 // mean expected time in seconds, by request kind
}

// domainLoad holds the mean occupancy of the endpoints of a service in one failure domain.
type domainLoad struct {
	occupancy  atomic.Uint64 // as float64 bits
	reportedAt atomic.Int64  // time of the last report, Unix nanoseconds; 0 for none
}

// record updates the mean occupancy.
func (d *domainLoad) record(share float64, now int64) {
	mean := d.mean(now)
	weight := -math.Expm1(-float64(now-d.reportedAt.Load()) / float64(occupancyMemory))
	d.occupancy.Store(math.Float64bits(mean + (min(share, maxMeanShare)-mean)*max(weight, minReportWeight)))
	d.reportedAt.Store(now)
}

// mean returns the mean occupancy. With the age of the last report it approaches the one of a domain of which nothing is known, so that
// calls try a domain that was full.
func (d *domainLoad) mean(now int64) float64 {
	at := d.reportedAt.Load()
	if at == 0 {
		return unknownOccupancy
	}
	return unknownOccupancy + (math.Float64frombits(d.occupancy.Load())-unknownOccupancy)*decay(now-at, domainHalfAge)
}

// reference returns the mean expected time of a kind over all endpoints, after it has learned from a new report.
func (s *serviceLoad) reference(kind string, expected float64) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean, known := s.expected[kind]
	if !known {
		if len(s.expected) >= maxKinds {
			clear(s.expected) // bounds memory when routes change; times are learned again quickly
		}
		mean = expected
	}
	mean += (expected - mean) * referenceWeight
	s.expected[kind] = mean
	return mean
}

// domain returns the averages of a failure domain and creates them if needed. The caller holds the mutex of the Picker.
func (s *serviceLoad) domain(name string) *domainLoad {
	d := s.domains[name]
	if d == nil {
		d = &domainLoad{}
		s.domains[name] = d
	}
	return d
}

// usual returns the mean expected time of a kind over all endpoints in seconds, 0 if it is not known.
func (s *serviceLoad) usual(kind string) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.expected[kind]
}

// serviceLoad returns the averages of a service and creates them if needed. The caller holds p.mutex.
func (p *Picker) serviceLoad(service string) *serviceLoad {
	s := p.loads[service]
	if s == nil {
		s = &serviceLoad{domains: map[string]*domainLoad{}, expected: map[string]float64{}}
		p.loads[service] = s
	}
	return s
}

// RecordExpected records the expected time of a request kind at an endpoint, which the node on the endpoint's host tells with an
// answer.
func (p *Picker) RecordExpected(endpoint, kind string, l Load, now time.Time) {
	n := p.advanceClock(now)
	t := p.lookup(endpoint)
	if t == nil || l.Expected <= 0 {
		return
	}
	s := t.service
	s.told.Store(true)
	t.recordSlowness(l.Expected.Seconds()/s.reference(kind, l.Expected.Seconds()), n)
}

// recordSlowness records the expected time at the endpoint in relation to the mean of the service.
func (t *state) recordSlowness(slowness float64, now int64) {
	slowness = min(max(slowness, 1/maxSlowness), maxSlowness)
	average := math.Float64frombits(t.usualSlowness.Load())
	if average == 0 {
		average = slowness
	}
	t.usualSlowness.Store(math.Float64bits(average + (slowness-average)*slownessWeight))
	t.slowness.Store(math.Float64bits(slowness))
	t.slownessToldAt.Store(now)
}

// decideByCompletion chooses by the expected time to a response: first in the caller's failure domain, among the endpoint on the
// node's host and two random ones, then between that choice and two random ones of all. first is the first of the random ones.
func (p *Picker) decideByCompletion(v *view, first *candidate, c Call, domain string, now int64) Choice {
	if p.random(probeOdds) == 0 {
		return Choice{Endpoint: first.endpoint, Reason: ReasonProbe}
	}
	best := p.rate(first, c.Class, now)
	local := v.byDomain[domain]
	if own := v.sameHost; p.preferLocal && own != nil && own.state.usable(now) && !slices.Contains(c.Tried, own.key) {
		p.refreshOwn(own, c)
		if r := p.rate(own, c.Class, now); r.rating <= best.rating*sameHostGain {
			best = r
		}
	}
	if m := p.randomUsable(v, local, c.Tried, now, first); m != nil {
		best = p.nearer(v, best, p.rate(m, c.Class, now))
	}
	for range remoteDraws {
		m := p.randomUsable(v, v.all, c.Tried, now, first)
		if m != nil && (m.endpoint.Domain == domain || p.mayLeave(v, best, p.rate(m, c.Class, now), c, domain, now)) {
			best = p.nearer(v, best, p.rate(m, c.Class, now))
		}
	}
	return Choice{Endpoint: best.endpoint, Reason: p.reason(v, best.candidate, len(local) > 0, domain), Score: best.rating}
}

// nearer returns the one with the lower rating. An endpoint on the node's host is preferred.
func (p *Picker) nearer(v *view, a, b rated) rated {
	gain := 1.0
	if p.preferLocal && a.candidate == v.sameHost {
		gain = sameHostGain
	}
	if b.rating*gain < a.rating {
		return b
	}
	return a
}

// mayLeave reports whether a call may go to other, in another failure domain, although near is in that of the caller. Bytes between
// domains are expensive, so that a call with an objective leaves only if near is not expected to meet it easily and other is clearly
// earlier. A call that was refused may go where there is room.
func (p *Picker) mayLeave(v *view, near, other rated, c Call, domain string, now int64) bool {
	if near.endpoint.Domain != domain {
		return true
	}
	margin := 1.0
	if p.region != "" && other.endpoint.Region != p.region {
		margin = regionGain
	}
	if other.state.domain.mean(now) >= fullDomain {
		return false
	}
	if len(c.Tried) > 1 {
		return true
	}
	if c.Objective == 0 {
		return other.rating*domainGain*margin < near.rating
	}
	usual := v.load.usual(c.Kind)
	objective := c.Objective.Seconds()
	return near.time*usual > easyShare*objective && (near.time-other.time)*usual > leaveShare*margin*objective
}

// reason returns the reason for a choice by expected time.
func (p *Picker) reason(v *view, m *candidate, hasLocal bool, domain string) string {
	switch {
	case p.preferLocal && m == v.sameHost:
		return ReasonSameHost
	case m.endpoint.Domain == domain:
		return ReasonLocal
	case hasLocal:
		return ReasonRemote
	}
	return ReasonScore
}

// refreshOwn records the current load of the endpoint on the node's host. The means of its service and failure domain are left to
// reports, since this endpoint would dominate them.
func (p *Picker) refreshOwn(m *candidate, c Call) {
	l, ok := p.ownLoad(m.key, c.Kind, c.Now)
	if !ok {
		return
	}
	n := c.Now.UnixNano()
	m.state.reportedOccupancy.Store(math.Float64bits(l.Occupancy))
	m.state.occupancyReportedAt.Store(n)
	if usual := m.state.service.usual(c.Kind); usual > 0 && l.Expected > 0 {
		m.state.recordSlowness(l.Expected.Seconds()/usual, n)
	}
}

// rated is a candidate with its rating.
type rated struct {
	*candidate
	time   float64 // expected time to a response, in relation to the mean service time of the kind
	rating float64 // lower is better
}

// rate rates a candidate by the expected time to a response, with factors for errors, refusals and slow start. The service time counts
// with its square root: with the time itself, the fastest endpoints were 1.8 times as busy as the mean at half load, for responses
// that were hardly earlier (TestUnevenEndpoints).
func (p *Picker) rate(m *candidate, class Class, now int64) rated {
	slowness, wait := m.slowness(now), 1+queueing(m.occupancy(now))
	return rated{candidate: m, time: slowness * wait, rating: math.Sqrt(slowness) * wait * m.riskFactor(class, now) * (1 + m.refusals(now))}
}

// refusals returns the share of recent calls that the backend server refused. It is a mild factor, since a refusal costs little.
func (m *candidate) refusals(now int64) float64 {
	return math.Float64frombits(m.state.refused.Load()) * decay(now-m.state.refusedAt.Load(), refusalHalfAge)
}

// RecordRefusal records whether the backend server of the endpoint refused a call without running it.
func (p *Picker) RecordRefusal(endpoint string, refused bool, now time.Time) {
	t := p.lookup(endpoint)
	if t == nil || !refused && t.refusedAt.Load() == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	value := 0.0
	if refused {
		value = 1
	}
	share := math.Float64frombits(t.refused.Load())
	t.refused.Store(math.Float64bits(share + (value-share)*refusalWeight))
	t.refusedAt.Store(now.UnixNano())
}

// queueing returns the expected wait at an endpoint of the given occupancy, in units of its service time. It is above 0 before the
// endpoint is full, since further calls arrive there meanwhile.
func queueing(occupancy float64) float64 {
	if occupancy <= freeOccupancy {
		return 0
	}
	x := (min(occupancy, 1) - freeOccupancy) / (1 - freeOccupancy)
	return fullPenalty*x*x + max(occupancy-1, 0)
}

// occupancy returns the expected occupancy of the endpoint, including this call. With its age, a report approaches the mean of the
// failure domain: an endpoint of which nothing is known is as busy as others there.
func (m *candidate) occupancy(now int64) float64 {
	slots := float64(max(m.endpoint.Slots, 1))
	mean := m.state.domain.mean(now)
	if at := m.state.occupancyReportedAt.Load(); at != 0 && now-at < int64(loadKnownFor) {
		mean += (math.Float64frombits(m.state.reportedOccupancy.Load()) - mean) * decay(now-at, occupancyHalfAge)
	}
	return max(mean+1/slots, float64(m.state.outstanding.Load()+1)/slots)
}

// slowness returns the expected service time in relation to the mean of the service. With its age, a report approaches what is usual
// for the endpoint.
func (m *candidate) slowness(now int64) float64 {
	usual := math.Float64frombits(m.state.usualSlowness.Load())
	if usual == 0 {
		return 1
	}
	told := math.Float64frombits(m.state.slowness.Load())
	age := max(now-m.state.slownessToldAt.Load(), 0)
	return usual + (told-usual)*math.Exp2(-float64(age)/float64(slownessHalfAge))
}

// riskFactor returns the factor for recent errors and the slow start.
func (m *candidate) riskFactor(class Class, now int64) float64 {
	weight := errorWeight
	if class == NonIdempotent {
		weight = nonIdempotentErrorWeight
	}
	f := 1 + weight*math.Float64frombits(m.state.errors.Load())*freshness(now-m.state.observedAt.Load())
	if since := m.state.slowStartAt.Load(); since != 0 {
		if left := 1 - float64(now-since)/float64(slowStartLength); left > 0 {
			f *= 1 + slowStartPenalty*min(left, 1)
		}
	}
	return f
}

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

	freeOccupancy = 0.5 // up to this occupancy calls hardly ever wait
	fullPenalty   = 0.3 // part of a service time that a call is expected to wait at an endpoint that is just full
	sameHostGain  = 1.3 // an endpoint on the node's host is preferred up to a rating that is worse by this factor
	domainGain    = 1.3 // the same for the caller's failure domain in comparison with others
	regionGain    = 2.0 // the same for the caller's region
	fullService   = 1.0 // mean occupancy of a failure domain from which on a call that was refused is no better off there
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
	slowness := l.Expected.Seconds() / s.reference(kind, l.Expected.Seconds())
	slowness = min(max(slowness, 1/maxSlowness), maxSlowness)
	average := math.Float64frombits(t.usualSlowness.Load())
	if average == 0 {
		average = slowness
	}
	t.usualSlowness.Store(math.Float64bits(average + (slowness-average)*slownessWeight))
	t.slowness.Store(math.Float64bits(slowness))
	t.slownessToldAt.Store(n)
}

// decideByCompletion chooses the lowest expected time to a response among the endpoint on the node's host, two random ones of the
// caller's failure domain and two random ones of all; first is the first of them.
func (p *Picker) decideByCompletion(v *view, first *candidate, c Call, domain string, now int64) Choice {
	if p.random(probeOdds) == 0 {
		return Choice{Endpoint: first.endpoint, Reason: ReasonProbe}
	}
	if p.preferLocal && v.sameHost != nil {
		p.refreshOwn(v.sameHost, c)
	}
	local := v.byDomain[domain]
	drawn := [...]*candidate{
		first,
		p.randomUsable(v, local, c.Tried, now, first),
		p.randomUsable(v, v.all, c.Tried, now, first),
		p.randomUsable(v, v.all, c.Tried, now, first),
		nil,
	}
	if own := v.sameHost; p.preferLocal && own != nil && own.state.usable(now) && !slices.Contains(c.Tried, own.key) {
		drawn[len(drawn)-1] = own
	}
	var best *candidate
	var lowest float64
	for _, m := range drawn {
		if m == nil {
			continue
		}
		if s := p.completion(v, m, c, domain, now); best == nil || s < lowest {
			best, lowest = m, s
		}
	}
	return Choice{Endpoint: best.endpoint, Reason: p.reason(v, best, len(local) > 0, domain), Score: lowest}
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

// refreshOwn records the current load of the endpoint on the node's host.
func (p *Picker) refreshOwn(m *candidate, c Call) {
	if l, ok := p.ownLoad(m.key, c.Kind, c.Now); ok {
		p.RecordOccupancy(m.key, l.Occupancy, c.Now)
		p.RecordExpected(m.key, c.Kind, l, c.Now)
	}
}

// completion rates a candidate by the expected time to a response, in units of the mean service time, with factors for errors, slow
// start and distance. Lower is better. The service time counts with its square root: with the time itself, the fastest endpoints were
// 1.8 times as busy as the mean at half load, for responses that were hardly earlier (TestUnevenEndpoints).
func (p *Picker) completion(v *view, m *candidate, c Call, domain string, now int64) float64 {
	s := math.Sqrt(m.slowness(now)) * (1 + queueing(m.occupancy(now))) * m.riskFactor(c.Class, now)
	switch {
	case len(c.Tried) > 0 && m.state.domain.mean(now) < fullService:
		return s // a call that was refused nearby is lost if it is refused again, and there is room elsewhere
	case p.preferLocal && m == v.sameHost:
		return s / sameHostGain
	case m.endpoint.Domain == domain:
		return s
	case p.region != "" && m.endpoint.Region != p.region:
		return s * regionGain
	}
	return s * domainGain
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
	return usual + (told-usual)*decay(now-m.state.slownessToldAt.Load(), slownessHalfAge)
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

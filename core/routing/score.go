package routing

import (
	"math"
	"time"
)

const (
	otherDomainPenalty       = 1.5 // score factor of other failure domains: a local endpoint takes 1.5 times the load of a remote one
	otherRegionPenalty       = 4.0 // score factor of other regions, in place of that of other failure domains
	maxUsage                 = 1.0 // a local endpoint is full from this usage on; the endpoint on the node's host only above it
	maxSlowdown              = 3.0 // a local endpoint is not preferred if its base score is higher by more than this factor
	slowStartPenalty         = 4.0 // added to a score factor of 1 when the slow start begins; falls linearly to 0 until it ends
	slowStartLength          = 10 * time.Second
	errorWeight              = 8.0              // error rate 1 adds this to a score factor of 1; a lower rate adds its share
	nonIdempotentErrorWeight = 24.0             // the same for calls that cannot be retried
	loadWeight               = 0.5              // a reported load raises a score by at most half and never lowers it
	loadHalfAge              = 2 * time.Second  // age at which a reported load counts half
	loadMaxAge               = 10 * time.Second // age from which a reported load is ignored

	occupancyHalfAge = 500 * time.Millisecond // age at which reported occupancy counts half: a few service times
	occupancyMaxAge  = 5 * time.Second        // age above which reported occupancy is ignored
)

// score rates a candidate, lower being better: usage of its slots, times its base score and factors for reported load and locality.
func (p *Picker) score(m, other *candidate, c Class, domain string, now int64) float64 {
	t := m.state
	s := usage(m, now) * p.baseScore(m, other, c, now)
	if at := t.loadReportedAt.Load(); at != 0 && now-at < int64(loadMaxAge) {
		s *= 1 + loadWeight*math.Float64frombits(t.reportedLoad.Load())*decay(now-at, loadHalfAge)
	}
	if m.endpoint.Domain != domain {
		if p.region != "" && m.endpoint.Region != p.region {
			s *= otherRegionPenalty
		} else {
			s *= p.remotePenalty
		}
	}
	return s
}

// baseScore rates a candidate by recent latency, errors and slow start only, lower being better.
func (p *Picker) baseScore(m, other *candidate, c Class, now int64) float64 {
	fresh := freshness(now - m.state.observedAt.Load())
	return expectedLatency(m, other, fresh) * m.riskFactor(c, now)
}

// usage returns the share of the endpoint's slots in use, including this call. It counts this node's calls or, if more, the calls
// of all nodes that the endpoint's node reported. A report counts less as it ages.
func usage(m *candidate, now int64) float64 {
	slots := float64(max(m.endpoint.Slots, 1))
	own := float64(m.state.outstanding.Load()+1) / slots
	at := m.state.occupancyReportedAt.Load()
	if at == 0 || now-at > int64(occupancyMaxAge) {
		return own
	}
	reported := math.Float64frombits(m.state.reportedOccupancy.Load()) * decay(now-at, occupancyHalfAge)
	return max(own, reported+1/slots)
}

// expectedLatency returns the average latency of m in seconds. If that is unknown, the result is the latency of other, or 1 if
// both are unknown. If m is slower than other, the result approaches the latency of other as weight falls to 0. Without other,
// the result is at least 1 µs.
func expectedLatency(m, other *candidate, weight float64) float64 {
	ownLatency := math.Float64frombits(m.state.latency.Load())
	if other == nil {
		return max(ownLatency, 1e-6)
	}
	otherLatency := math.Float64frombits(other.state.latency.Load())
	if otherLatency == 0 {
		if ownLatency == 0 {
			return 1
		}
		return ownLatency
	}
	if ownLatency == 0 {
		return otherLatency
	}
	if ownLatency > otherLatency {
		return otherLatency + (ownLatency-otherLatency)*weight
	}
	return ownLatency
}

// freshness returns the weight of an observation by its age: 1 when new, one half at averageHalfAge and 0 from six times that
// age on, so that even an idle service tries a formerly slow endpoint again.
func freshness(age int64) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(averageHalfAge)
	if x >= 6 {
		return 0
	}
	return 1 / (1 + x*x)
}

// decay returns the weight of a report by its age: 1 when new, one half at halfAge, then towards 0.
func decay(age int64, halfAge time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(halfAge))
}

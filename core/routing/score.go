package routing

import (
	"math"
	"time"
)

const (
	otherDomainPenalty = 1.5 // score factor: a local endpoint takes 1.5 times the load of a remote one before calls spill
	otherRegionPenalty = 4.0
	maxUsage           = 1.0 // usage up to which a local endpoint has room
	maxSlowdown        = 3.0 // a local endpoint whose base score is higher by this factor is not preferred
	slowStartPenalty   = 4.0 // added to a factor of 1 when the slow start begins, then less
	slowStartLength    = 10 * time.Second
	errorWeight        = 8.0
	onceErrorWeight    = 24.0            // error weight for calls that cannot be retried
	hintWeight         = 0.5             // a reported load raises a score by at most half and never lowers it
	hintHalfAge        = 2 * time.Second // age at which a hint counts half
	hintMaxAge         = 10 * time.Second

	occupiedHalfAge = 500 * time.Millisecond // age at which reported occupancy counts half: a few service times
	occupiedMaxAge  = 5 * time.Second
)

// score rates a candidate, lower being better: usage of its slots, times factors for recent latency, errors, slow start, reported
// load and locality. If the latency of the candidate is unknown or old, that of the other candidate is used.
func (p *Picker) score(m, other *candidate, c Class, domain string, now int64) float64 {
	t := m.state
	s := usage(m, now) * p.baseScore(m, other, c, now)
	if at := t.hintedAt.Load(); at != 0 && now-at < int64(hintMaxAge) {
		s *= 1 + hintWeight*math.Float64frombits(t.hint.Load())*decay(now-at, hintHalfAge)
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

// baseScore rates a candidate by recent latency, errors and slow start only.
func (p *Picker) baseScore(m, other *candidate, c Class, now int64) float64 {
	t := m.state
	fresh := freshness(now - t.observedAt.Load())
	s := expectedLatency(m, other, fresh)
	weight := errorWeight
	if c == NonIdempotent {
		weight = onceErrorWeight
	}
	s *= 1 + weight*math.Float64frombits(t.errors.Load())*fresh
	if since := t.slowStartAt.Load(); since != 0 {
		if left := 1 - float64(now-since)/float64(slowStartLength); left > 0 {
			s *= 1 + slowStartPenalty*min(left, 1)
		}
	}
	return s
}

// usage returns the share of the endpoint's slots in use, including this call: those used by this node's calls or, if
// more, by the calls of all nodes as the endpoint's node recently reported.
func usage(m *candidate, now int64) float64 {
	slots := float64(max(m.endpoint.Slots, 1))
	own := float64(m.state.outstanding.Load()+1) / slots
	at := m.state.occupiedAt.Load()
	if at == 0 || now-at > int64(occupiedMaxAge) {
		return own
	}
	reported := math.Float64frombits(m.state.occupied.Load()) * decay(now-at, occupiedHalfAge)
	return max(own, reported+1/slots)
}

func expectedLatency(m, other *candidate, fresh float64) float64 {
	own := math.Float64frombits(m.state.latency.Load())
	if other == nil {
		return max(own, 1e-6)
	}
	theirs := math.Float64frombits(other.state.latency.Load())
	if theirs == 0 {
		if own == 0 {
			return 1
		}
		return own
	}
	if own == 0 {
		return theirs
	}
	if own > theirs {
		return theirs + (own-theirs)*fresh
	}
	return own
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

// decay returns the weight of a report by its age: 1 when new, one half at the age half, then towards 0.
func decay(age int64, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(half))
}

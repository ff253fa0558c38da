package routing

import (
	"math"
	"time"
)

const (
	otherDomain = 1.5 // penalty: a local endpoint takes half as many calls again before another failure domain is chosen
	otherRegion = 4.0
	roomy       = 1.0 // share of its slots below which a local endpoint counts as having room
	slower      = 3.0 // a local endpoint that is slower or fails more by this factor is not preferred
	coldPenalty = 4.0 // added to the factor 1 at the start of a slow start
	slowStart   = 10 * time.Second
	errorWeight = 8.0
	onceWeight  = 24.0            // error weight for calls that cannot be repeated
	hintWeight  = 0.5             // a reported load counts at most half of an own observation, and never lowers a score
	hintMemory  = 2 * time.Second // age at which a hint counts half
	hintLongest = 10 * time.Second

	occupiedMemory  = 500 * time.Millisecond // age at which a told load counts half: a few service times
	occupiedLongest = 5 * time.Second
)

// score rates a member: own outstanding calls for each slot, times recent latency, errors, reported load, locality and
// slow start. A latency that is not known, or that is old, is taken from the other candidate.
func (p *Picker) score(m, other *member, c Class, domain string, now int64) float64 {
	t := m.state
	s := taken(m, now) * p.pace(m, other, c, now)
	if at := t.hinted.Load(); at != 0 && now-at < int64(hintLongest) {
		s *= 1 + hintWeight*math.Float64frombits(t.hint.Load())*fade(now-at, hintMemory)
	}
	if m.endpoint.Domain != domain {
		if p.region != "" && m.endpoint.Region != p.region {
			s *= otherRegion
		} else {
			s *= p.remote
		}
	}
	return s
}

// pace rates a member without its load: recent latency, errors and slow start.
func (p *Picker) pace(m, other *member, c Class, now int64) float64 {
	t := m.state
	fresh := recent(now - t.seen.Load())
	s := expected(m, other, fresh)
	w := errorWeight
	if c == Once {
		w = onceWeight
	}
	s *= 1 + w*math.Float64frombits(t.errors.Load())*fresh
	if since := t.since.Load(); since != 0 {
		if left := 1 - float64(now-since)/float64(slowStart); left > 0 {
			s *= 1 + coldPenalty*min(left, 1)
		}
	}
	return s
}

// taken is the share of the endpoint's slots that is taken once this call is there: by the node's own calls or, where that
// is more, by those of all nodes as the endpoint's node told lately.
func taken(m *member, now int64) float64 {
	slots := float64(max(m.endpoint.Slots, 1))
	own := float64(m.state.outstanding.Load()+1) / slots
	at := m.state.occupiedAt.Load()
	if at == 0 || now-at > int64(occupiedLongest) {
		return own
	}
	told := math.Float64frombits(m.state.occupied.Load()) * fade(now-at, occupiedMemory)
	return max(own, told+1/slots)
}

func expected(m, other *member, fresh float64) float64 {
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

// recent weighs an own observation by its age: 1 when new, one half at memory, 0 from six times memory, so that an idle
// service also tries an endpoint again that was slow once.
func recent(age int64) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(memory)
	if x >= 6 {
		return 0
	}
	return 1 / (1 + x*x)
}

// fade is 1 for a new observation, one half at the given age, and falls towards 0.
func fade(age int64, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return 1 / (1 + float64(age)/float64(half))
}

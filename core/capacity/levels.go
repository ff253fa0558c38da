package capacity

import (
	"math"
	"time"
)

const (
	maxLevels       = 64               // levels of concurrency with separate statistics; more slots share levels
	levelMemory     = 60.0             // maximum weight of a level, in calls
	levelHalfLife   = 15 * time.Second // time after which the statistics of a level count half, so that higher levels are tried again
	minLevelWeight  = 1.0              // a level with less weight is ignored
	varianceWeight  = 0.02             // weight of a call in the variance of service times
	initialVariance = 0.3              // variance of the logarithm of service times before the first calls
	// evidence is by how much, in units of the variance, a model with a slowdown must fit better than one without. 18 is about 4.2
	// standard deviations, since many models are compared.
	evidence = 18.0
	// minEffect is the smallest logarithm of the slowdown at a full endpoint for which the limit falls. Calls that run long, for another
	// cause, also run beside more calls, so that smaller slowdowns are often not real.
	minEffect = 0.5
	// keepEvidence is the same for a slowdown that was found before, since calls above the limit no longer show it.
	keepEvidence = 3.0
)

// slopes are the slowdowns that are compared: with slope s, service times at n calls are 1 + s(n-k)/k times those at up to k
// calls. From slope 1 on, calls beyond k add no throughput.
var slopes = [...]float64{0.5, 1, 2}

// levels holds service times by the number of calls that ran at the same time, as logarithms in relation to the usual one.
type levels struct {
	weight   []float64 // calls with decay, by level from 0
	mean     []float64
	width    float64 // calls per level
	variance float64 // mean squared deviation from the mean of a level
	updated  time.Time
	model    model
}

// model says that service times grow with the number of calls n beyond knee. The zero value says that they do not.
type model struct {
	knee  float64
	slope float64
}

// factor returns the logarithm of the slowdown at n calls.
func (m model) factor(n float64) float64 {
	if m.knee == 0 || n <= m.knee {
		return 0
	}
	return math.Log(1 + m.slope*(n-m.knee)/m.knee)
}

// limit returns the number of calls beyond which the throughput does not grow, or slots.
func (m model) limit(slots int) float64 {
	if m.knee == 0 || m.slope < 1 {
		return float64(slots)
	}
	return min(math.Ceil(m.knee*limitMargin), float64(slots))
}

func (l *levels) resize(slots int) {
	n := min(slots, maxLevels)
	*l = levels{weight: make([]float64, n), mean: make([]float64, n), width: float64(slots) / float64(n), variance: initialVariance}
}

// add records a service time that was observed with n calls running.
func (l *levels) add(n float64, value float64) {
	i := min(max(int(math.Ceil(n/l.width))-1, 0), len(l.mean)-1)
	d := value - l.mean[i]
	if l.weight[i] >= minLevelWeight {
		l.variance += (d*d - l.variance) * varianceWeight
	}
	l.weight[i] = min(l.weight[i]+1, levelMemory)
	l.mean[i] += d / l.weight[i]
}

// weightUpTo returns the weight of the levels up to n calls.
func (l *levels) weightUpTo(n float64) float64 {
	sum := 0.0
	for i := 0; i < len(l.weight) && float64(i+1)*l.width <= n; i++ {
		sum += l.weight[i]
	}
	return sum
}

// fit decays the statistics and chooses the model that explains the service times best.
func (l *levels) fit(now time.Time) {
	decay := 1.0
	if !l.updated.IsZero() && now.After(l.updated) {
		decay = math.Exp2(-float64(now.Sub(l.updated)) / float64(levelHalfLife))
	}
	l.updated = now
	for i := range l.weight {
		l.weight[i] *= decay
	}
	required := evidence
	if l.model.knee > 0 {
		required = keepEvidence
	}
	best, lowest := model{}, l.misfit(model{})-required*l.variance
	for i := range l.mean {
		for _, s := range slopes {
			m := model{knee: float64(i+1) * l.width, slope: s}
			if m.factor(float64(len(l.mean))*l.width) < minEffect {
				continue
			}
			if e := l.misfit(m); e < lowest {
				best, lowest = m, e
			}
		}
	}
	l.model = best
}

// misfit returns the weighted sum of squared deviations of the levels from a model.
func (l *levels) misfit(m model) float64 {
	var weight, sum, squares float64
	for i, w := range l.weight {
		if w < minLevelWeight {
			continue
		}
		d := l.mean[i] - m.factor(float64(i+1)*l.width)
		weight += w
		sum += w * d
		squares += w * d * d
	}
	if weight == 0 {
		return 0
	}
	return squares - sum*sum/weight
}

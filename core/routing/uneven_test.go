package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/capacity"
	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/routing"
)

const (
	fleetSlots   = 12
	fleetWork    = 190 * time.Millisecond
	fleetAim     = 600 * time.Millisecond
	fleetLimit   = 2500 * time.Millisecond
	spellLength  = 600 * time.Millisecond
	spellShare   = 0.15
	spellFactor  = 2.5
	wavePeriod   = 13 * time.Second
	waveHeight   = 0.55
	fleetLength  = 40 * time.Second
	fleetWarmup  = 6 * time.Second
	fleetDomains = 3
	fleetHosts   = 24
	fleetWindow  = 250 * time.Millisecond
	fleetRefusal = 5 * time.Millisecond // time after which an endpoint refuses
)

type fleetEvent struct {
	at  time.Duration
	run func(at time.Duration)
}

type fleetEvents []fleetEvent

func (v fleetEvents) Len() int           { return len(v) }
func (v fleetEvents) Less(i, j int) bool { return v[i].at < v[j].at }
func (v fleetEvents) Swap(i, j int)      { v[i], v[j] = v[j], v[i] }
func (v *fleetEvents) Push(x any)        { *v = append(*v, x.(fleetEvent)) }
func (v *fleetEvents) Pop() any {
	last := (*v)[len(*v)-1]
	*v = (*v)[:len(*v)-1]
	return last
}

// fleetEndpoint is an endpoint with its node. Calls beyond knee slow all down in proportion.
type fleetEndpoint struct {
	endpoint config.Endpoint
	gate     *admission.Gate
	picker   *routing.Picker
	speed    float64
	knee     int
	spells   []time.Duration // times at which slow spells begin
	running  int
	busy     float64 // seconds of work, at the endpoint's speed
	waiting  map[string]func(at time.Duration, d admission.Decision)
}

func (e *fleetEndpoint) slow(at time.Duration) bool {
	i, found := slices.BinarySearch(e.spells, at)
	return found || i > 0 && at < e.spells[i-1]+spellLength
}

// end returns when work that starts now is done, in steps of 10 ms.
func (e *fleetEndpoint) end(at time.Duration, work float64) time.Duration {
	const step = 10 * time.Millisecond
	rate := e.speed / max(1, float64(e.running)/float64(e.knee))
	for {
		r := rate
		if e.slow(at) {
			r /= spellFactor
		}
		if work <= r*step.Seconds() {
			return at + time.Duration(work/r*float64(time.Second))
		}
		work -= r * step.Seconds()
		at += step
	}
}

type fleet struct {
	reports   bool // endpoints report their pace
	pace      func(e *fleetEndpoint, at time.Duration) int
	rejects   func(at time.Duration) bool                // whether an endpoint refuses a call that it gets; nil for never
	demand    func(domain int, at time.Duration) float64 // in relation to the mean, at most 1 + waveHeight
	random    *rand.Rand
	events    fleetEvents
	service   *config.Service
	endpoints []*fleetEndpoint
	byKey     map[string]*fleetEndpoint
	calls     int

	asked, onTime, refused, abroad int
	windows                        map[time.Duration]float64 // calls that left their failure domain, by start of the window
	took                           []time.Duration
}

func newFleet(seed uint64, hosts int, speeds []float64, halfSlots, reports bool) *fleet {
	f := &fleet{reports: reports, random: rand.New(rand.NewPCG(seed, 5)), service: &config.Service{Name: "front"}, byKey: map[string]*fleetEndpoint{}, windows: map[time.Duration]float64{}}
	f.demand = func(domain int, at time.Duration) float64 {
		return 1 + waveHeight*math.Sin(2*math.Pi*(at.Seconds()/wavePeriod.Seconds()+float64(domain)/fleetDomains))
	}
	f.pace = func(e *fleetEndpoint, at time.Duration) int {
		p := 90 + f.random.IntN(20)
		if e.slow(at) {
			return p * 5 / 2
		}
		return p
	}
	for i := range hosts {
		f.service.Endpoints = append(f.service.Endpoints, config.Endpoint{
			Service: "front", Name: fmt.Sprint("e", i), Node: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%fleetDomains), Slots: fleetSlots, Incarnation: 1,
		})
	}
	for i := range hosts {
		e := &fleetEndpoint{endpoint: f.service.Endpoints[i], speed: speeds[(i/fleetDomains)%len(speeds)], knee: fleetSlots, waiting: map[string]func(time.Duration, admission.Decision){}}
		if halfSlots && i%2 == 0 {
			e.knee = fleetSlots / 2
		}
		for at := time.Duration(0); at < fleetLength+10*time.Second; at += spellLength {
			at += time.Duration(f.random.ExpFloat64() * float64(spellLength) * (1 - spellShare) / spellShare)
			e.spells = append(e.spells, at)
		}
		e.gate = admission.New(admission.WithSlots(fleetSlots), admission.WithFixedLimit(), admission.WithSingleCaller(), admission.WithShares())
		e.picker = routing.New(routing.WithRandom(f.random.IntN), routing.WithDomain(e.endpoint.Domain), routing.WithNode(e.endpoint.Node),
			routing.WithLocalPreference(4), routing.WithOwnLoad(f.ownLoad))
		f.endpoints = append(f.endpoints, e)
		f.byKey[e.endpoint.Key()] = e
	}
	return f
}

func (f *fleet) ownLoad(key, kind string, now time.Time) (routing.Load, bool) {
	s, ok := f.byKey[key].gate.Estimate(now, kind)
	return routing.Load{Occupancy: s.Occupancy, Expected: s.Median}, ok
}

func (f *fleet) now(at time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(at) }

// capacity is the number of calls per second that all endpoints together can answer.
func (f *fleet) capacity() float64 {
	sum := 0.0
	for _, e := range f.endpoints {
		sum += e.speed * float64(e.knee) / fleetWork.Seconds() / (1 + spellShare*(spellFactor-1))
	}
	return sum
}

func (f *fleet) push(at time.Duration, run func(at time.Duration)) {
	heap.Push(&f.events, fleetEvent{at, run})
}

// work draws log-normal service times in seconds; 3% take seven times as long.
func (f *fleet) work() float64 {
	const sigma = 0.4
	w := fleetWork.Seconds() * math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2) / 1.18
	if f.random.Float64() < 0.03 {
		w *= 7
	}
	return w
}

type fleetCall struct {
	from  *fleetEndpoint
	first time.Duration
	work  float64
	tried []string
	id    string
}

func (f *fleet) arrive(from *fleetEndpoint, at time.Duration) {
	f.calls++
	f.asked += f.counted(at)
	f.attempt(&fleetCall{from: from, first: at, work: f.work(), id: fmt.Sprint(f.calls)}, at)
}

func (f *fleet) counted(at time.Duration) int {
	if at < fleetWarmup {
		return 0
	}
	return 1
}

func (f *fleet) attempt(c *fleetCall, at time.Duration) {
	now := f.now(at)
	choice, err := c.from.picker.Decide(routing.Call{Service: f.service, Tried: c.tried, Now: now, Kind: "k", Objective: fleetAim})
	if err != nil {
		f.refused += f.counted(c.first)
		return
	}
	e := f.byKey[choice.Endpoint.Key()]
	key := e.endpoint.Key()
	c.tried = append(c.tried, key)
	c.from.picker.Start(key, now)
	begin := at
	var decided func(at time.Duration, d admission.Decision)
	decided = func(at time.Duration, d admission.Decision) {
		switch d.Action {
		case admission.Queue:
			e.waiting[c.id] = decided
		case admission.Refuse:
			c.from.picker.Done(key, routing.Observation{NotRun: true})
			if d.Failure.Code == outcome.Busy {
				c.from.picker.RecordOccupancy(key, 2, f.now(at))
			}
			f.again(c, at)
		case admission.Admit:
			if f.rejects != nil && f.rejects(at) {
				f.push(at+fleetRefusal, func(at time.Duration) { f.rejected(e, c, at) })
				return
			}
			e.running++
			admitted := at
			end := e.end(at, c.work)
			f.push(end, func(at time.Duration) { f.ended(e, c, begin, end-admitted, at) })
			e.busy += float64(f.counted(c.first)) * c.work / e.speed
		}
	}
	d := e.gate.Decide(now, admission.Request{
		Call: c.id, Kind: "k", Priority: 5, Objective: f.now(c.first + fleetAim), Deadline: f.now(c.first + fleetLimit), Remote: c.from != e,
	})
	if d.Displaced != nil {
		f.deliver(e, at, []admission.Decision{*d.Displaced})
	}
	decided(at, d)
}

func (f *fleet) deliver(e *fleetEndpoint, at time.Duration, list []admission.Decision) {
	for _, d := range list {
		decided := e.waiting[d.Call]
		delete(e.waiting, d.Call)
		decided(at, d)
	}
}

func (f *fleet) ended(e *fleetEndpoint, c *fleetCall, begin, took, at time.Duration) {
	now := f.now(at)
	e.running--
	if f.reports {
		f.deliver(e, at, e.gate.Report(now, capacity.Report{Running: e.running, Slots: fleetSlots, Pace: f.pace(e, at)}))
	}
	f.deliver(e, at, e.gate.Done(now, c.id, took, true))
	p, key := c.from.picker, e.endpoint.Key()
	p.Done(key, routing.Observation{Took: at - begin})
	s, ok := e.gate.Estimate(now, "k")
	if st := e.gate.Stats(); !ok {
		s.Occupancy = float64(st.Running+st.Queued) / float64(st.Slots)
	}
	p.RecordOccupancy(key, s.Occupancy, now)
	p.RecordRefusal(key, false, now)
	p.RecordExpected(key, "k", routing.Load{Occupancy: s.Occupancy, Expected: s.Median}, now)
	if f.counted(c.first) == 0 {
		return
	}
	f.took = append(f.took, at-c.first)
	if at-c.first <= fleetAim {
		f.onTime++
	}
	if e.endpoint.Domain != c.from.endpoint.Domain {
		f.abroad++
		f.windows[c.first.Truncate(fleetWindow)]++
	}
}

// rejected ends a call that the endpoint has refused without running it.
func (f *fleet) rejected(e *fleetEndpoint, c *fleetCall, at time.Duration) {
	now, key := f.now(at), e.endpoint.Key()
	if f.reports {
		e.gate.Rejected(now, false)
	}
	f.deliver(e, at, e.gate.Done(now, c.id, 0, false))
	c.from.picker.Done(key, routing.Observation{NotRun: true})
	if f.reports {
		c.from.picker.RecordRefusal(key, true, now)
	}
	f.again(c, at)
}

// again sends a call that was refused to another endpoint, at most twice.
func (f *fleet) again(c *fleetCall, at time.Duration) {
	if len(c.tried) < 3 {
		f.attempt(c, at)
		return
	}
	f.refused += f.counted(c.first)
}

// run sends Poisson arrivals at a multiple of the capacity, in waves with another phase in each failure domain.
func (f *fleet) run(load float64) {
	rate := load * f.capacity() / fleetDomains
	for d := range fleetDomains {
		var hosts []*fleetEndpoint
		for i, e := range f.endpoints {
			if i%fleetDomains == d {
				hosts = append(hosts, e)
			}
		}
		for at := time.Duration(0); at < fleetLength; {
			at += time.Duration(f.random.ExpFloat64() / (rate * (1 + waveHeight)) * float64(time.Second))
			if f.random.Float64() > f.demand(d, at)/(1+waveHeight) {
				continue
			}
			from := hosts[f.random.IntN(len(hosts))]
			f.push(at, func(at time.Duration) { f.arrive(from, at) })
		}
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		e.run(e.at)
	}
}

// fleetResult holds shares of the requests, except p99 (seconds), spread (busiest over mean utilisation of the real capacity) and limit
// (mean of the limits at the end in relation to the calls that the endpoints really handle well).
type fleetResult struct{ goodput, p99, spread, abroad, refused, limit float64 }

func (r fleetResult) String() string {
	return fmt.Sprintf("goodput %.3f, p99 %.2f s, spread %.2f, other domain %.3f, refused %.3f, limit %.2f", r.goodput, r.p99, r.spread, r.abroad, r.refused, r.limit)
}

// result returns the results of the requests after the warm-up; goodput is in relation to the capacity or, if less, the demand.
func (f *fleet) result(load float64) fleetResult {
	slices.Sort(f.took)
	var sum, high, limits float64
	for _, e := range f.endpoints {
		u := e.busy / float64(e.knee)
		sum, high = sum+u, max(high, u)
		limits += float64(e.gate.Stats().Limit) / float64(e.knee)
	}
	return fleetResult{
		goodput: float64(f.onTime) / (float64(f.asked) * min(1, 1/load)),
		p99:     f.took[len(f.took)*99/100].Seconds(),
		spread:  high / sum * float64(len(f.endpoints)),
		abroad:  float64(f.abroad) / float64(len(f.took)),
		refused: float64(f.refused) / float64(f.asked),
		limit:   limits / float64(len(f.endpoints)),
	}
}

// simulate returns the mean results of some seeds. Without reports, pickers and gates work as for endpoints without a pace.
func simulate(seeds uint64, speeds []float64, halfSlots, reports bool, load float64, setup func(f *fleet)) fleetResult {
	var mean fleetResult
	for seed := range seeds {
		f := newFleet(seed, fleetHosts, speeds, halfSlots, reports)
		setup(f)
		f.run(load)
		r, n := f.result(load), float64(seeds)
		mean.goodput += r.goodput / n
		mean.p99 += r.p99 / n
		mean.spread += r.spread / n
		mean.abroad += r.abroad / n
		mean.refused += r.refused / n
		mean.limit += r.limit / n
	}
	return mean
}

package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"godwitspindle/core/wire"
)

// simulation is a service of a mesh during one rollout, in steps of 10 ms: nodes send requests by the agreed share, report their counts
// and learn of steps with a delay.
type simulation struct {
	policy   *Policy
	random   *rand.Rand
	nodes    int
	routes   []string
	rate     func(at time.Duration) float64 // requests per second
	duration time.Duration
	capacity Capacity
	lag      time.Duration // time until nodes use a new share and the leader knows their counts
	interval time.Duration // time between two reports of a node

	// fails and takes give the chance of a failure and the time of an answer, by release, route, time and share of the new release.
	fails func(fresh bool, route string, at time.Duration, share float64) float64
	takes func(fresh bool, route string, at time.Duration, share float64) float64
	// usable reports whether the new endpoints can be used.
	usable func(at time.Duration) bool
	// reported reports whether the report of a node reaches the leader.
	reported func(node int, at time.Duration) bool
	// pending reports whether a node waits for an answer of the old release.
	pending func(node int, at time.Duration) bool
	// leaderless reports whether there is no leader; the next one begins with an empty tally.
	leaderless func(at time.Duration) bool

	state   *wire.Rollout
	tally   *Tally
	counts  []map[Key]Counts
	missed  []uint64
	urgent  []bool          // nodes that have not reported a failure of the new release yet
	last    []time.Duration // time of the last report
	history []*wire.Rollout // states by step
	total   int
	exposed int
	bad     int
	ended   time.Duration // time of the verdict; 0 for none
	late    int           // requests to the new release later than the rollback time after the 50th bad answer
	fifty   time.Duration
}

var epoch = time.UnixMilli(1_700_000_000_000)

func newSimulation(seed uint64, rate float64) *simulation {
	p := &simulation{
		policy: New(), random: rand.New(rand.NewPCG(seed, 1)), nodes: 20, routes: []string{"a", "a", "a", "a", "a", "b", "b", "b", "c"},
		rate: func(time.Duration) float64 { return rate }, duration: 12 * time.Second,
		capacity: Capacity{New: 24, NewSlots: 24 * 18, OldSlots: 24 * 18, Nodes: 20}, lag: 150 * time.Millisecond, interval: time.Second,
		fails:      func(bool, string, time.Duration, float64) float64 { return 0.004 },
		usable:     func(time.Duration) bool { return true },
		reported:   func(int, time.Duration) bool { return true },
		pending:    func(int, time.Duration) bool { return false },
		leaderless: func(time.Duration) bool { return false },
	}
	p.takes = func(fresh bool, _ string, at time.Duration, _ float64) float64 { return p.usual(fresh, at) }
	return p
}

// usual is the time of an answer in milliseconds: endpoints of three speeds, noise, and a slow start of the new release.
func (p *simulation) usual(fresh bool, at time.Duration) float64 {
	speed := []float64{0.7, 0.7, 1.6}[p.random.IntN(3)]
	t := 20 * speed * math.Exp(0.3*p.random.NormFloat64())
	if p.random.Float64() < 0.15 {
		t *= 2.5
	}
	if fresh && at < 3*time.Second {
		t *= 2
	}
	return t
}

// shareAt returns the share that nodes use at a time, which is the agreed one some time before.
func (p *simulation) shareAt(at time.Duration) float64 {
	known := epoch.Add(at - p.lag).UnixMilli()
	share := 0.0
	for _, h := range p.history {
		if h.GetSince() <= known {
			share = float64(h.GetShare()) / Whole
		}
	}
	return share
}

// stepAt returns the step that nodes know at a time.
func (p *simulation) stepAt(at time.Duration) uint32 {
	known := epoch.Add(at - p.lag).UnixMilli()
	var step uint32
	for _, h := range p.history {
		if h.GetSince() <= known {
			step = h.GetStep()
		}
	}
	return step
}

func (p *simulation) run() {
	p.state = Start(7, epoch, &wire.RolloutOrder{Service: "s", Release: "v2", Duration: p.duration.Milliseconds()})
	p.history = []*wire.Rollout{p.state}
	p.counts, p.missed = make([]map[Key]Counts, p.nodes), make([]uint64, p.nodes)
	p.urgent, p.last = make([]bool, p.nodes), make([]time.Duration, p.nodes)
	for i := range p.counts {
		p.counts[i] = map[Key]Counts{}
	}
	type delayed struct {
		at     time.Duration
		report Report
	}
	var queue []delayed
	const tick = 10 * time.Millisecond
	var owed float64
	for at := time.Duration(0); at < p.duration+8*time.Second; at += tick {
		share := p.shareAt(at)
		owed += p.rate(at) * tick.Seconds()
		for ; owed >= 1; owed-- {
			p.send(at, share)
		}
		for i := range p.nodes {
			interval := p.interval
			if share >= 0.1 {
				interval /= 5
			}
			offset := time.Duration(i) * interval / time.Duration(p.nodes) / tick * tick
			due := (at+offset)%interval == 0
			if p.urgent[i] && at-p.last[i] >= 100*time.Millisecond { // a node reports a failure of the new release at once
				due = true
			}
			if due && p.reported(i, at) {
				p.urgent[i], p.last[i] = false, at
				c := make(map[Key]Counts, len(p.counts[i]))
				for k, v := range p.counts[i] {
					c[k] = v
				}
				r := Report{Node: string(rune('A' + i)), Incarnation: 1, Missed: p.missed[i], Counts: c, Step: p.stepAt(at)}
				if p.pending(i, at) {
					r.Pending = 1
				}
				queue = append(queue, delayed{at + p.lag/2, r})
			}
		}
		now := epoch.Add(at)
		if p.leaderless(at) {
			p.tally, queue = nil, nil
			continue
		}
		if p.tally == nil {
			p.tally = NewTally(now, epoch)
		}
		for len(queue) > 0 && queue[0].at <= at {
			p.tally.Add(now, queue[0].report)
			queue = queue[1:]
		}
		if at%(100*time.Millisecond) == 0 {
			p.decide(at)
		}
	}
}

func (p *simulation) send(at time.Duration, share float64) {
	node := p.random.IntN(p.nodes)
	fresh := p.random.Float64() < share
	if fresh && !p.usable(at) {
		p.missed[node]++
		fresh = false
	}
	route := p.routes[p.random.IntN(len(p.routes))]
	failed := p.random.Float64() < p.fails(fresh, route, at, share)
	k := Key{Route: route, New: fresh}
	c := p.counts[node][k]
	c.Record(time.Duration(p.takes(fresh, route, at, share)*float64(time.Millisecond)), failed)
	p.counts[node][k] = c
	p.urgent[node] = p.urgent[node] || fresh && failed
	if at < p.duration {
		p.total++
	}
	if !fresh || at >= p.duration {
		return
	}
	p.exposed++
	if p.fifty > 0 && at > p.fifty+p.policy.Rollback() {
		p.late++
	}
	if failed {
		if p.bad++; p.bad == 50 {
			p.fifty = at
		}
	}
}

func (p *simulation) decide(at time.Duration) {
	now := epoch.Add(at)
	a := p.policy.Decide(now, p.state, p.tally, p.capacity)
	if a == nil {
		return
	}
	next, ok := Apply(now, p.state, a)
	if !ok {
		panic("a step that was just decided does not apply")
	}
	p.state = next
	p.history = append(p.history, next)
	if !Running(next) {
		p.ended = at
	}
}

func (p *simulation) describe(t *testing.T) {
	t.Helper()
	for _, h := range p.history {
		t.Logf("%6d ms: share %5d %s: %s (sent %d, bad %d, total %d)", h.GetSince()-epoch.UnixMilli(), h.GetShare(),
			h.GetState(), h.GetReason(), h.GetSent(), h.GetBad(), h.GetTotal())
	}
	t.Logf("%d of %d requests to the new release, %d bad", p.exposed, p.total, p.bad)
}

func (p *simulation) wantCompleted(t *testing.T) {
	t.Helper()
	if p.state.GetState() != wire.RolloutState_ROLLOUT_STATE_COMPLETED || p.ended > p.duration {
		p.describe(t)
		t.Errorf("got %s at %s, want completed within %s", p.state.GetState(), p.ended, p.duration)
	}
}

func (p *simulation) wantRolledBack(t *testing.T) {
	t.Helper()
	bound := int(0.1*float64(p.total)) + 50
	if p.state.GetState() != wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK || p.ended > p.duration || p.exposed > bound || p.late > 0 {
		p.describe(t)
		t.Errorf("got %s at %s with %d requests to the release, %d of them late; want rolled back within %s with at most %d",
			p.state.GetState(), p.ended, p.exposed, p.late, p.duration, bound)
	}
}

var rates = []float64{3, 10, 60, 200, 600, 1800}

// each simulates a case at several rates and seeds.
func each(t *testing.T, rates []float64, change func(*simulation), check func(*simulation)) {
	t.Helper()
	for _, rate := range rates {
		for seed := range uint64(6) {
			p := newSimulation(seed, rate)
			change(p)
			p.run()
			check(p)
			if t.Failed() {
				t.Fatalf("at %v requests/s with seed %d", rate, seed)
			}
		}
	}
}

// TestGoodCompletes covers a good release that is rolled back for ordinary failures, noise, endpoints of different speed or a slow start.
func TestGoodCompletes(t *testing.T) {
	each(t, rates, func(*simulation) {}, func(p *simulation) { p.wantCompleted(t) })
}

// TestBadRolledBack covers releases of which a part of the answers are failures or slow, from the start.
func TestBadRolledBack(t *testing.T) {
	for _, part := range []float64{0.2, 0.5, 1} {
		each(t, []float64{60, 200, 600, 1800}, func(p *simulation) { p.failing(part, always) }, func(p *simulation) { p.wantRolledBack(t) })
	}
	for _, part := range []float64{0.5, 1} {
		each(t, []float64{200, 600, 1800}, func(p *simulation) { p.slow(part, 4, always) }, func(p *simulation) { p.wantRolledBack(t) })
	}
}

func always(string, time.Duration, float64) bool { return true }

type condition func(route string, at time.Duration, share float64) bool

func (p *simulation) failing(part float64, c condition) {
	p.fails = func(fresh bool, route string, at time.Duration, share float64) float64 {
		if fresh && c(route, at, share) {
			return part
		}
		return 0.004
	}
}

func (p *simulation) slow(part, factor float64, c condition) {
	p.takes = func(fresh bool, route string, at time.Duration, share float64) float64 {
		took := p.usual(fresh, at)
		if fresh && c(route, at, share) && p.random.Float64() < part {
			return took * factor
		}
		return took
	}
}

// TestSlowPart covers a release of which half of the answers are three times as slow, which few of its answers show.
func TestSlowPart(t *testing.T) {
	each(t, []float64{600, 1800}, func(p *simulation) { p.slow(0.5, 3, always) }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestSlowFromStart covers a slow release in a rollout that ends before its endpoints count as warm.
func TestSlowFromStart(t *testing.T) {
	each(t, []float64{600, 1800}, func(p *simulation) { p.duration = 4 * time.Second; p.slow(1, 6, always) }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestReportsToNewLeader covers the first report of a node to a new leader, which sums up the whole rollout: it must not count as recent,
// or the rate of requests would seem many times as high.
func TestReportsToNewLeader(t *testing.T) {
	k := Key{Route: "a"}
	now := epoch.Add(8 * time.Second)
	tally := NewTally(now, epoch)
	tally.Add(now, Report{Node: "n", Incarnation: 1, Counts: map[Key]Counts{k: {Answers: 500}}})
	if latest, _ := tally.recentCounts(now, recentPeriod); len(latest) != 0 || tally.total[k].Answers != 500 {
		t.Errorf("got recent counts %v and %d in total after a first report, want none and 500", latest, tally.total[k].Answers)
	}
	tally.Add(now, Report{Node: "n", Incarnation: 1, Counts: map[Key]Counts{k: {Answers: 520}}})
	tally.Add(now, Report{Node: "n", Incarnation: 1, Counts: map[Key]Counts{k: {Answers: 520}}})
	tally.Add(now, Report{Node: "n", Incarnation: 2, Counts: map[Key]Counts{k: {Answers: 5}}})
	latest, _ := tally.recentCounts(now, recentPeriod)
	if latest[k].Answers != 25 || tally.total[k].Answers != 525 {
		t.Errorf("got %d recent and %d in total after a repeated report and a restart of the node, want 25 and 525", latest[k].Answers, tally.total[k].Answers)
	}
}

// TestBadLater covers a release that turns bad after it was judged for a while, also in the last steps.
func TestBadLater(t *testing.T) {
	for _, at := range []time.Duration{4 * time.Second, 8 * time.Second, 9500 * time.Millisecond} {
		later := func(_ string, now time.Duration, _ float64) bool { return now >= at }
		each(t, []float64{60, 200, 600, 1800}, func(p *simulation) { p.failing(0.3, later) }, func(p *simulation) { p.wantRolledBack(t) })
		each(t, []float64{600, 1800}, func(p *simulation) { p.slow(0.7, 5, later) }, func(p *simulation) { p.wantRolledBack(t) })
	}
}

// TestBadMuchLater covers a release that turns slow after a long time without fault: it must be found by its latest answers, long before
// the ramp.
func TestBadMuchLater(t *testing.T) {
	each(t, []float64{300, 900}, func(p *simulation) {
		p.duration = 2 * time.Minute
		p.slow(1, 3, func(_ string, at time.Duration, _ float64) bool { return at >= time.Minute })
	}, func(p *simulation) {
		p.wantRolledBack(t)
		if p.ended > 85*time.Second {
			p.describe(t)
			t.Errorf("got rolled back at %s, want within 25 s of the fault", p.ended)
		}
	})
}

// TestBadAtFullLoad covers a release that fails only once it gets all requests, which is found by weak evidence before completion.
func TestBadAtFullLoad(t *testing.T) {
	full := func(_ string, _ time.Duration, share float64) bool { return share >= 0.9 }
	each(t, []float64{60}, func(p *simulation) { p.failing(0.4, full) }, func(p *simulation) { p.wantRolledBack(t) })
	each(t, []float64{200, 600}, func(p *simulation) { p.failing(0.15, full) }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestBadUnderLoad covers a release that fails only once it gets most of the requests.
func TestBadUnderLoad(t *testing.T) {
	loaded := func(_ string, _ time.Duration, share float64) bool { return share >= 0.5 }
	each(t, []float64{60, 200, 600, 1800}, func(p *simulation) { p.failing(0.3, loaded) }, func(p *simulation) { p.wantRolledBack(t) })
	each(t, []float64{200, 600, 1800}, func(p *simulation) { p.slow(0.8, 4, loaded) }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestBadOnOneRoute covers a release that is bad on a route with a ninth of the requests.
func TestBadOnOneRoute(t *testing.T) {
	one := func(route string, _ time.Duration, _ float64) bool { return route == "c" }
	each(t, []float64{200, 600, 1800}, func(p *simulation) { p.failing(0.5, one) }, func(p *simulation) { p.wantRolledBack(t) })
	each(t, []float64{600, 1800}, func(p *simulation) { p.slow(1, 4, one) }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestWaves covers demand that doubles in the ramp, so that the steps get more requests than the mean: the exposure must hold.
func TestWaves(t *testing.T) {
	for _, phase := range []float64{0, 1.5, 3, 4.5} {
		wave := func(p *simulation) {
			mean := p.rate(0)
			p.rate = func(at time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13+phase)) }
		}
		each(t, []float64{200, 600}, wave, func(p *simulation) { p.wantCompleted(t) })
		last := func(_ string, now time.Duration, _ float64) bool { return now >= 10*time.Second }
		each(t, []float64{200, 600}, func(p *simulation) { wave(p); p.failing(0.5, last) }, func(p *simulation) { p.wantRolledBack(t) })
	}
}

// TestBothSlow covers a slow-down of both releases, which is not the new one's fault.
func TestBothSlow(t *testing.T) {
	each(t, rates, func(p *simulation) {
		p.takes = func(fresh bool, _ string, at time.Duration, _ float64) float64 {
			took := p.usual(fresh, at)
			if at > 5*time.Second && at < 8*time.Second {
				took *= 6
			}
			return took
		}
	}, func(p *simulation) { p.wantCompleted(t) })
}

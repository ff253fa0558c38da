package nested_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/config"
	"godwitspindle/core/nested"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
)

const (
	slots   = 12
	hopTime = time.Millisecond // one way between two hosts

	parentWork = 60 * time.Millisecond
	callWork   = 55 * time.Millisecond
	ownWork    = 250 * time.Millisecond
	callWait   = 600 * time.Millisecond // deadline of a nested call
	stores     = 9
)

var start = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (v events) Len() int { return len(v) }
func (v events) Less(i, j int) bool {
	return v[i].at.Before(v[j].at) || v[i].at.Equal(v[j].at) && v[i].seq < v[j].seq
}
func (v events) Swap(i, j int) { v[i], v[j] = v[j], v[i] }
func (v *events) Push(x any)   { *v = append(*v, x.(event)) }
func (v *events) Pop() any {
	old := *v
	x := old[len(old)-1]
	*v = old[:len(old)-1]
	return x
}

// mesh simulates two services with the gates, pickers and throttles of their nodes. Runs of the front service make calls to the store,
// which also has its own callers.
type mesh struct {
	throttle bool                       // the throttle decides on parents
	move     bool                       // nested calls are movable
	slowdown func(at time.Duration) int // factor of the time of work at the store; nil for 1
	faulty   float64                    // share of the calls that backend servers of the store refuse whatever their load

	now          time.Time
	events       events
	seq          int
	random       *rand.Rand
	pickers      []*routing.Picker // of nodes that receive requests of callers
	front, store *config.Service
	nodes        map[string]*node
	tallies      map[string]*tally // by kind
	repicks      int
}

// node is an endpoint with the parts of its node.
type node struct {
	gate     *admission.Gate
	throttle *nested.Throttle
	picker   *routing.Picker // for the calls of its runs
	speed    float64
	store    bool
	noisyTo  time.Time
	waiting  map[string]func(admission.Decision)
}

// tally counts requests by result. A request is broken if it ran without success; refused parents did not run.
type tally struct{ asked, onTime, late, refused, broken int }

// request is a request with its attempts so far.
type request struct {
	kind      string
	service   *config.Service
	picker    *routing.Picker
	nested    bool
	objective time.Time
	deadline  time.Time
	tried     []string
	repicks   int
	run       func(n *node, call string, done func(ok bool))
	done      func(f *outcome.Failure, ok bool)
}

func newMesh(seed uint64, fronts int) *mesh {
	m := &mesh{now: start, random: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*node{}, tallies: map[string]*tally{}}
	for range 16 {
		m.pickers = append(m.pickers, m.picker())
	}
	m.front = m.add("front", fronts, 0.5, 1, 1, 1.5)
	m.store = m.add("store", stores, 0.6, 1, 1.6)
	return m
}

func (m *mesh) picker() *routing.Picker { return routing.New(routing.WithRandom(m.random.IntN)) }

func (m *mesh) add(name string, n int, speeds ...float64) *config.Service {
	s := &config.Service{Name: name}
	for i := range n {
		e := config.Endpoint{Service: name, Name: fmt.Sprint(i), Slots: slots}
		s.Endpoints = append(s.Endpoints, e)
		m.nodes[e.Key()] = &node{
			gate:     admission.New(admission.WithSlots(slots), admission.WithFixedLimit(), admission.WithSingleCaller(), admission.WithShares()),
			throttle: nested.New(), picker: m.picker(), speed: speeds[i%len(speeds)], store: name == "store",
			waiting: map[string]func(admission.Decision){},
		}
	}
	return s
}

func (m *mesh) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
	m.seq++
}

func (m *mesh) run() {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// arrivals calls do at a rate per second, at random times.
func (m *mesh) arrivals(length time.Duration, rate float64, do func()) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now.Sub(start) < length {
			do()
			m.arrivals(length, rate, do)
		}
	})
}

// noise makes work at each endpoint take 2.5 times as long in periods of 600 ms, for 15% of the time.
func (m *mesh) noise(length time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(m.nodes)) {
		n := m.nodes[key]
		m.arrivals(length, 1/4.0, func() { n.noisyTo = m.now.Add(600 * time.Millisecond) })
	}
}

// work ends after the time that the given work takes at the node.
func (m *mesh) work(n *node, d time.Duration, done func()) {
	f := n.speed * (0.5 + m.random.Float64())
	if m.now.Before(n.noisyTo) {
		f *= 2.5
	}
	if n.store && m.slowdown != nil {
		f *= float64(m.slowdown(m.now.Sub(start)))
	}
	m.after(time.Duration(float64(d)*f), done)
}

func (m *mesh) tally(kind string) *tally {
	t := m.tallies[kind]
	if t == nil {
		t = &tally{}
		m.tallies[kind] = t
	}
	return t
}

// ask sends a request and counts its result, also by the second in which it was asked.
func (m *mesh) ask(r *request) {
	all, second := m.tally(r.kind), m.tally(r.kind+fmt.Sprint(int(m.now.Sub(start).Seconds())))
	done := r.done
	r.done = func(f *outcome.Failure, ok bool) {
		for _, t := range []*tally{all, second} {
			t.asked++
			switch {
			case f != nil && f.Kind == outcome.NotRun:
				t.refused++
			case f != nil || !ok:
				t.broken++
			case m.now.After(r.objective):
				t.late++
			default:
				t.onTime++
			}
		}
		if done != nil {
			done(f, ok)
		}
	}
	m.send(r)
}

// own asks the store for its own work.
func (m *mesh) own() {
	m.ask(&request{
		kind: "own", service: m.store, picker: m.pickers[m.random.IntN(len(m.pickers))],
		objective: m.now.Add(time.Second), deadline: m.now.Add(2 * time.Second),
		run: func(n *node, _ string, done func(bool)) { m.work(n, ownWork, func() { done(true) }) },
	})
}

// parent asks the front service for a run that makes calls, one after the other.
func (m *mesh) parent(kind string, calls int) {
	m.ask(&request{
		kind: kind, service: m.front, picker: m.pickers[m.random.IntN(len(m.pickers))],
		objective: m.now.Add(800 * time.Millisecond), deadline: m.now.Add(2 * time.Second),
		run: func(n *node, id string, done func(bool)) {
			m.work(n, parentWork, func() { m.call(n, id, calls, done) })
		},
	})
}

func (m *mesh) call(n *node, parent string, left int, done func(ok bool)) {
	if left == 0 {
		done(true)
		return
	}
	m.ask(&request{
		kind: "call", service: m.store, picker: n.picker, nested: true, objective: m.now.Add(callWait), deadline: m.now.Add(callWait),
		run: func(n *node, _ string, done func(bool)) { m.work(n, callWork, func() { done(true) }) },
		done: func(f *outcome.Failure, _ bool) {
			c := nested.Call{Parent: parent, Service: "store"}
			switch {
			case f != nil && f.Code == outcome.Declined:
				c.Result = nested.Failed
			case f != nil && f.Kind == outcome.NotRun:
				c.Result = nested.Refused
			case f != nil:
				c.Result = nested.Late
			}
			n.throttle.Observe(c)
			if f != nil {
				done(false)
				return
			}
			m.call(n, parent, left-1, done)
		},
	})
}

func (m *mesh) send(r *request) {
	c, err := r.picker.Decide(routing.Call{Service: r.service, Tried: r.tried, Now: m.now})
	if err != nil {
		r.done(&outcome.Failure{Code: outcome.NoEndpoint, Kind: outcome.NotRun}, false)
		return
	}
	key, began := c.Endpoint.Key(), m.now
	r.tried = append(r.tried, key)
	r.picker.Start(key, m.now)
	answer := func(f *outcome.Failure, ok bool) {
		s := m.nodes[key].gate.Stats()
		m.after(hopTime, func() { m.answered(r, key, began, float64(s.Running+s.Queued)/slots, f, ok) })
	}
	m.after(hopTime, func() { m.arrived(r, m.nodes[key], answer) })
}

func (m *mesh) answered(r *request, key string, began time.Time, load float64, f *outcome.Failure, ok bool) {
	notRun := f != nil && f.Kind == outcome.NotRun
	r.picker.Done(key, routing.Observation{Took: m.now.Sub(began), NotRun: notRun, Failed: f != nil && !notRun})
	if f == nil {
		r.picker.RecordOccupancy(key, load, m.now)
		r.done(nil, ok)
		return
	}
	if f.Code == outcome.Busy {
		r.picker.RecordOccupancy(key, 2, m.now)
	}
	v := retry.Decide(retry.FailedAttempt{Kind: f.Kind, Code: f.Code, Repicks: r.repicks, Now: m.now, Deadline: r.deadline}, retry.NewBudget())
	if v.Action != retry.Repick {
		r.done(f, false)
		return
	}
	r.repicks++
	m.repicks++
	m.send(r)
}

func (m *mesh) arrived(r *request, n *node, answer func(f *outcome.Failure, ok bool)) {
	if m.throttle {
		if d := n.throttle.Decide(m.now, r.kind); !d.Admit {
			answer(&outcome.Failure{Code: outcome.Downstream, Kind: outcome.NotRun, RetryAfter: d.RetryAfter}, false)
			return
		}
	}
	id := fmt.Sprint(m.seq)
	m.seq++
	n.waiting[id] = func(d admission.Decision) {
		if d.Action == admission.Refuse {
			answer(d.Failure, false)
			return
		}
		m.start(r, n, id, answer)
	}
	d := n.gate.Decide(m.now, admission.Request{
		Call: id, Kind: r.kind, Priority: 5, Nested: r.nested, LastAttempt: r.nested, Objective: r.objective, Deadline: r.deadline,
		Movable: m.move && r.nested && r.repicks < retry.MaxBusyRepicks,
	})
	if d.Displaced != nil {
		m.deliver(n, []admission.Decision{*d.Displaced})
	}
	m.deliver(n, []admission.Decision{d})
	if next := n.gate.Next(m.now); !next.IsZero() {
		m.after(max(next.Sub(m.now), time.Millisecond), func() { m.deliver(n, n.gate.Tick(m.now)) })
	}
}

// start runs an admitted request, at most until its deadline.
func (m *mesh) start(r *request, n *node, id string, answer func(f *outcome.Failure, ok bool)) {
	began, ended := m.now, false
	n.throttle.Start(m.now, id, r.kind)
	end := func(f *outcome.Failure, ok bool) {
		if ended {
			return
		}
		ended = true
		broken := n.throttle.End(m.now, id, ok)
		m.deliver(n, n.gate.Done(m.now, id, m.now.Sub(began), f == nil && (!broken || !m.throttle)))
		answer(f, ok)
	}
	if n.store && m.faulty > 0 && m.random.Float64() < m.faulty {
		end(&outcome.Failure{Code: outcome.Declined, Kind: outcome.NotRun}, false)
		return
	}
	r.run(n, id, func(ok bool) { end(nil, ok) })
	m.after(r.deadline.Sub(m.now), func() { end(&outcome.Failure{Code: outcome.DeadlineExceeded, Kind: outcome.Unknown}, false) })
}

func (m *mesh) deliver(n *node, list []admission.Decision) {
	for _, d := range list {
		if f := n.waiting[d.Call]; f != nil && d.Action != admission.Queue {
			delete(n.waiting, d.Call)
			f(d)
		}
	}
}

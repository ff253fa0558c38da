package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// simRequest is one attempt of a request in a simulated overload.
type simRequest struct {
	at         time.Duration // arrival of this attempt
	first      time.Duration // arrival of the first attempt
	kind       string
	priority   int
	work       time.Duration
	objective  time.Duration // counted from the first attempt
	callerWait time.Duration // wait of the caller for a response, counted from the first attempt
	resent     bool
	nested     bool // made for a running request; not retried

	customer  string
	weight    float64
	atOnce    bool          // a refused caller returns at once, as if with a new request, until callerWait
	leaves    time.Duration // a caller that waits this long in the queue leaves and returns like a refused one; 0 for never
	forgotten bool          // the caller does not state that it has sent the request before
}

// name returns the key of the request in the results: its customer, or else its kind.
func (v *simRequest) name() string {
	if v.customer != "" {
		return v.customer
	}
	return v.kind
}

type simEvent struct {
	at      time.Duration
	seq     int
	call    string
	request *simRequest // arriving request; nil if the event is the end of a call
	leaves  bool        // the caller leaves if the call still waits
}

type simEvents []simEvent

func (v simEvents) Len() int { return len(v) }
func (v simEvents) Less(i, j int) bool {
	return v[i].at < v[j].at || v[i].at == v[j].at && v[i].seq < v[j].seq
}
func (v simEvents) Swap(i, j int) { v[i], v[j] = v[j], v[i] }
func (v *simEvents) Push(x any)   { *v = append(*v, x.(simEvent)) }
func (v *simEvents) Pop() any {
	old := *v
	x := old[len(old)-1]
	*v = old[:len(old)-1]
	return x
}

// tally counts the results of the requests of one kind.
type tally struct{ asked, onTime, late, refused, refusedLate int }

// simulation runs callers against one endpoint. After a refusal, a caller retries once after the suggested wait, unless the call
// is nested or the response would come after callerWait.
type simulation struct {
	gate    *Gate
	results map[string]*tally
	waiting map[string]*simRequest
	running map[string]*simRequest
	queue   simEvents
	seq     int
}

func (p *simulation) push(at time.Duration, call string, in *simRequest) {
	heap.Push(&p.queue, simEvent{at: at, seq: p.seq, call: call, request: in})
	p.seq++
}

// apply carries out the decisions that admit or refuse a call.
func (p *simulation) apply(now time.Duration, list []Decision) {
	for _, d := range list {
		v := p.waiting[d.Call]
		if v == nil || d.Action == Queue {
			continue
		}
		delete(p.waiting, d.Call)
		if d.Action == Refuse {
			p.refused(now, d, v)
			continue
		}
		p.running[d.Call] = v
		p.push(now+v.work, d.Call, nil)
	}
}

func (p *simulation) refused(now time.Duration, d Decision, v *simRequest) {
	if now-v.at > v.objective/8 {
		p.results[v.name()].refusedLate++
	}
	p.returns(now, d.Call, max(d.Failure.RetryAfter, 50*time.Millisecond), v)
}

// returns lets the caller of a refused call send it again after the wait, or counts the request as refused.
func (p *simulation) returns(now time.Duration, call string, wait time.Duration, v *simRequest) {
	again := v.resent
	if v.atOnce {
		again, wait = false, 5*time.Millisecond
	}
	if v.nested || again || now+wait+v.work >= v.first+v.callerWait {
		p.results[v.name()].refused++
		return
	}
	n := *v
	n.at, n.resent = now+wait, !v.forgotten
	p.push(n.at, call+"r", &n)
}

// left handles the end of a caller's patience.
func (p *simulation) left(now time.Duration, call string) {
	v := p.waiting[call]
	if v == nil {
		return
	}
	delete(p.waiting, call)
	p.apply(now, p.gate.Cancel(start.Add(now), call))
	p.returns(now, call, 5*time.Millisecond, v)
}

func (p *simulation) ended(at time.Duration, call string) {
	v := p.running[call]
	delete(p.running, call)
	if at-v.first <= v.objective {
		p.results[v.name()].onTime++
	} else {
		p.results[v.name()].late++
	}
	p.apply(at, p.gate.Done(start.Add(at), call, v.work, true))
}

func (p *simulation) arrived(at time.Duration, call string, v *simRequest) {
	now := start.Add(at)
	p.waiting[call] = v
	d := p.gate.Decide(now, Request{
		Call: call, Kind: v.kind, Priority: v.priority, Resent: v.resent, Nested: v.nested, LastAttempt: v.nested,
		Customer: v.customer, Weight: v.weight,
		Objective: start.Add(v.first + v.objective), Deadline: start.Add(v.first + v.callerWait),
	})
	if d.Displaced != nil {
		p.apply(at, []Decision{*d.Displaced})
	}
	p.apply(at, []Decision{d})
	p.apply(at, p.gate.Tick(now))
	if v.leaves > 0 {
		heap.Push(&p.queue, simEvent{at: at + v.leaves, seq: p.seq, call: call, leaves: true})
		p.seq++
	}
}

// simulateOverload runs all arrivals and returns the results by request kind.
func simulateOverload(slots int, arrivals []simRequest, opts ...Option) map[string]*tally {
	p := &simulation{gate: New(append([]Option{WithSlots(slots), WithFixedLimit()}, opts...)...), results: map[string]*tally{}, waiting: map[string]*simRequest{}, running: map[string]*simRequest{}}
	for i := range arrivals {
		v := &arrivals[i]
		if p.results[v.name()] == nil {
			p.results[v.name()] = &tally{}
		}
		p.results[v.name()].asked++
		p.push(v.at, fmt.Sprint("c", i), v)
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(simEvent)
		if e.leaves {
			p.left(e.at, e.call)
			continue
		}
		if e.request == nil {
			p.ended(e.at, e.call)
			continue
		}
		p.arrived(e.at, e.call, e.request)
	}
	return p.results
}

// arrivals draws Poisson arrivals of two kinds at a multiple of the capacity of 12 slots. Short high-priority requests make up
// a third of the load, longer ones of lower priority the rest.
func arrivals(seed uint64, load float64, length time.Duration) []simRequest {
	random := rand.New(rand.NewPCG(seed, 7))
	var list []simRequest
	add := func(kind string, priority int, work, objective, callerWait time.Duration, share float64) {
		rate := load * share * 12 / work.Seconds()
		for at := time.Duration(0); at < length; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			w := time.Duration((0.5 + random.Float64()) * float64(work))
			list = append(list, simRequest{at: at, first: at, kind: kind, priority: priority, work: w, objective: objective, callerWait: callerWait})
		}
	}
	add("purchase", 9, 150*time.Millisecond, 500*time.Millisecond, 2*time.Second, 1.0/3)
	add("history", 7, 220*time.Millisecond, 600*time.Millisecond, 1200*time.Millisecond, 2.0/3)
	return list
}

// Load pattern: a long overload by many callers. Guards against a queue that makes all responses late, against high-priority
// requests that wait behind others, and against requests that are refused after a long wait.
func TestBurstGoodput(t *testing.T) {
	tests := []struct {
		load            float64
		minWork         float64 // minimum on-time work, as a share of the capacity or, if that is less, of the load
		minHighPriority float64 // minimum share of the high-priority requests that get an on-time response
		maxRefusedLate  float64 // maximum share of requests that are refused after more than an eighth of their objective
	}{
		{0.7, 0.97, 0.97, 0.01},
		{1, 0.85, 0.95, 0.05},
		{2, 0.80, 0.95, 0.10},
		{3, 0.75, 0.90, 0.10},
	}
	for _, c := range tests {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			for seed := range uint64(5) {
				const length = 20 * time.Second
				r := simulateOverload(12, arrivals(seed, c.load, length))
				work := r["purchase"].onTime*150 + r["history"].onTime*220 // milliseconds
				capacity := min(c.load, 1) * 12 * float64(length.Milliseconds())
				if got := float64(work) / capacity; got < c.minWork {
					t.Errorf("seed %d: useful share of the capacity: got %.2f, want %.2f (%+v %+v)", seed, got, c.minWork, *r["purchase"], *r["history"])
				}
				if got := float64(r["purchase"].onTime) / float64(r["purchase"].asked); got < c.minHighPriority {
					t.Errorf("seed %d: high-priority requests on time: got %.2f, want %.2f (%+v)", seed, got, c.minHighPriority, *r["purchase"])
				}
				all := r["purchase"].asked + r["history"].asked
				if got := float64(r["purchase"].refusedLate+r["history"].refusedLate) / float64(all); got > c.maxRefusedLate {
					t.Errorf("seed %d: refused after a long wait: got %.3f, want at most %.3f", seed, got, c.maxRefusedLate)
				}
			}
		})
	}
}

// Guards against mistaking a larger share of slow request kinds for a slow backend server, which would decrease the limit: the
// load is first short calls only, then one third short and two thirds long ones.
func TestMixedKinds(t *testing.T) {
	g := New(WithSlots(12))
	now := start
	n := 0
	sendRound := func(kinds ...string) {
		for i := range 12 {
			n++
			g.Decide(now, Request{Call: fmt.Sprint(n), Kind: kinds[i%len(kinds)]})
		}
		for i := range 12 {
			took := 55 * time.Millisecond
			if kinds[i%len(kinds)] == "long" {
				took = 290 * time.Millisecond
			}
			g.Done(now.Add(took), fmt.Sprint(n-11+i), took, true)
		}
		now = now.Add(time.Second)
	}
	for range 20 {
		sendRound("short")
	}
	for range 20 {
		sendRound("short", "long", "long")
	}
	if got := g.Stats().Limit; got != 12 {
		t.Errorf("limit: got %d, want 12", got)
	}
}

// Load pattern: running requests call the same service that other callers use. Guards against these calls waiting behind new
// requests of the same priority, which loses the work of the running requests, and against overtaking higher priorities.
func TestCallsOfRunningRequestsFirst(t *testing.T) {
	g := New(WithSlots(1), WithQueue(8), WithFixedLimit())
	ask := func(call string, priority int, lastAttempt bool) {
		g.Decide(start, Request{Call: call, Kind: call[:1], Priority: priority, LastAttempt: lastAttempt, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)})
	}
	ask("running", 5, false)
	ask("new", 5, false)
	ask("call", 5, true)
	ask("urgent", 9, false)
	var got []string
	for call := "running"; call != ""; {
		next := ""
		for _, d := range g.Done(start.Add(time.Millisecond), call, time.Millisecond, true) {
			got = append(got, d.Call)
			next = d.Call
		}
		call = next
	}
	if want := "[urgent call new]"; fmt.Sprint(got) != want {
		t.Errorf("order: got %v, want %s", got, want)
	}
}

// Guards against queueing a call that cannot meet its objective here, while another endpoint may be free, and against refusing
// a call whose caller will not retry.
func TestObjectiveDecisions(t *testing.T) {
	const work = 100 * time.Millisecond
	tests := []struct {
		name          string
		request       Request
		want          Action
		maxRetryAfter time.Duration // maximum suggested wait after a refusal
	}{
		{"objective can be met", Request{Objective: start.Add(4 * work), Deadline: start.Add(9 * work)}, Queue, 0},
		{"objective cannot be met", Request{Objective: start.Add(2 * work), Deadline: start.Add(9 * work)}, Refuse, work},
		{"sent again, deadline can be met", Request{Objective: start.Add(work), Deadline: start.Add(9 * work), Resent: true}, Queue, 0},
		{"sent again, deadline cannot be met", Request{Objective: start.Add(work), Deadline: start.Add(2 * work), Resent: true}, Refuse, 9 * work},
		{"not retried", Request{Objective: start.Add(work), Deadline: start.Add(9 * work), LastAttempt: true}, Queue, 0},
		{"no objective", Request{Deadline: start.Add(9 * work)}, Queue, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(1), WithQueue(8), WithFixedLimit())
			g.Decide(start, Request{Call: "first"})
			g.Done(start, "first", work, true) // sets the mean service time
			g.Decide(start, Request{Call: "running"})
			g.Decide(start, Request{Call: "waiting", Objective: start.Add(9 * work), Deadline: start.Add(9 * work)})
			c.request.Call = "asked"
			d := g.Decide(start, c.request)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Refuse && (d.Failure.Code != outcome.Busy || d.Failure.RetryAfter <= 0 || d.Failure.RetryAfter > c.maxRetryAfter) {
				t.Errorf("refusal: got %v after %s, want busy after at most %s", d.Failure, d.Failure.RetryAfter, c.maxRetryAfter)
			}
		})
	}
}

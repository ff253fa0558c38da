package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

// visitor is one request of a caller in a simulated overload.
type visitor struct {
	at        time.Duration // of this attempt
	first     time.Duration // of the first attempt
	kind      string
	priority  int
	work      time.Duration
	objective time.Duration // after the first attempt
	patience  time.Duration // after the first attempt
	again     bool
	inner     bool // made for a running request; not sent again
}

type visit struct {
	at   time.Duration
	seq  int
	call string
	in   *visitor // nil for the end of a run
}

type visits []visit

func (v visits) Len() int { return len(v) }
func (v visits) Less(i, j int) bool {
	return v[i].at < v[j].at || v[i].at == v[j].at && v[i].seq < v[j].seq
}
func (v visits) Swap(i, j int) { v[i], v[j] = v[j], v[i] }
func (v *visits) Push(x any)   { *v = append(*v, x.(visit)) }
func (v *visits) Pop() any {
	old := *v
	x := old[len(old)-1]
	*v = old[:len(old)-1]
	return x
}

// tally counts what the callers of one kind got.
type tally struct{ asked, onTime, late, refused, held int }

// play is callers against one endpoint. Callers that are refused return once, after the time that they are told.
type play struct {
	gate    *Gate
	results map[string]*tally
	waiting map[string]*visitor
	running map[string]*visitor
	queue   visits
	seq     int
}

func (p *play) push(at time.Duration, call string, in *visitor) {
	heap.Push(&p.queue, visit{at: at, seq: p.seq, call: call, in: in})
	p.seq++
}

// settle follows decisions on calls that waited.
func (p *play) settle(now time.Duration, list []Decision) {
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

func (p *play) refused(now time.Duration, d Decision, v *visitor) {
	if now-v.at > v.objective/8 {
		p.results[v.kind].held++
	}
	back := max(d.Failure.After, 50*time.Millisecond)
	if v.inner || v.again || now+back+v.work >= v.first+v.patience {
		p.results[v.kind].refused++
		return
	}
	n := *v
	n.at, n.again = now+back, true
	p.push(n.at, d.Call+"r", &n)
}

func (p *play) ended(at time.Duration, call string) {
	v := p.running[call]
	delete(p.running, call)
	if at-v.first <= v.objective {
		p.results[v.kind].onTime++
	} else {
		p.results[v.kind].late++
	}
	p.settle(at, p.gate.Done(start.Add(at), call, v.work, true))
}

func (p *play) arrived(at time.Duration, call string, v *visitor) {
	now := start.Add(at)
	p.waiting[call] = v
	d := p.gate.Decide(now, Request{
		Call: call, Kind: v.kind, Priority: v.priority, Again: v.again, Inner: v.inner, Final: v.inner,
		Objective: start.Add(v.first + v.objective), Deadline: start.Add(v.first + v.patience),
	})
	if d.Displaced != nil {
		p.settle(at, []Decision{*d.Displaced})
	}
	p.settle(at, []Decision{d})
	p.settle(at, p.gate.Tick(now))
}

// overload plays all arrivals and returns what the callers of each kind got.
func overload(slots int, arrivals []visitor, opts ...Option) map[string]*tally {
	p := &play{gate: New(append([]Option{WithSlots(slots), WithFixed()}, opts...)...), results: map[string]*tally{}, waiting: map[string]*visitor{}, running: map[string]*visitor{}}
	for i := range arrivals {
		v := &arrivals[i]
		if p.results[v.kind] == nil {
			p.results[v.kind] = &tally{}
		}
		p.results[v.kind].asked++
		p.push(v.at, fmt.Sprint("c", i), v)
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(visit)
		if e.in == nil {
			p.ended(e.at, e.call)
			continue
		}
		p.arrived(e.at, e.call, e.in)
	}
	return p.results
}

// arrivals draws Poisson arrivals of two kinds at a multiple of the capacity of 12 slots: urgent and short ones take a third of
// it, the others the rest.
func arrivals(seed uint64, load float64, length time.Duration) []visitor {
	random := rand.New(rand.NewPCG(seed, 7))
	var list []visitor
	add := func(kind string, priority int, work, objective, patience time.Duration, share float64) {
		rate := load * share * 12 / work.Seconds()
		for at := time.Duration(0); at < length; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			w := time.Duration((0.5 + random.Float64()) * float64(work))
			list = append(list, visitor{at: at, first: at, kind: kind, priority: priority, work: w, objective: objective, patience: patience})
		}
	}
	add("purchase", 9, 150*time.Millisecond, 500*time.Millisecond, 2*time.Second, 1.0/3)
	add("history", 7, 220*time.Millisecond, 600*time.Millisecond, 1200*time.Millisecond, 2.0/3)
	return list
}

// Load pattern: many callers at once, for longer than any queue lasts. Guards against a queue that makes every answer late,
// against urgent requests behind others, and against requests that are held for long and then refused.
func TestBurstGoodput(t *testing.T) {
	tests := []struct {
		load    float64
		useful  float64 // least share of the capacity, or of the load if that is less, that is answered on time
		urgent  float64 // least share of the urgent requests that is answered on time
		holding float64 // largest share of all requests that is refused after an eighth of the objective
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
				r := overload(12, arrivals(seed, c.load, length))
				work := r["purchase"].onTime*150 + r["history"].onTime*220 // milliseconds
				capacity := min(c.load, 1) * 12 * float64(length.Milliseconds())
				if got := float64(work) / capacity; got < c.useful {
					t.Errorf("seed %d: useful share of the capacity: got %.2f, want %.2f (%+v %+v)", seed, got, c.useful, *r["purchase"], *r["history"])
				}
				if got := float64(r["purchase"].onTime) / float64(r["purchase"].asked); got < c.urgent {
					t.Errorf("seed %d: urgent requests on time: got %.2f, want %.2f (%+v)", seed, got, c.urgent, *r["purchase"])
				}
				all := r["purchase"].asked + r["history"].asked
				if got := float64(r["purchase"].held+r["history"].held) / float64(all); got > c.holding {
					t.Errorf("seed %d: held and refused: got %.3f, want at most %.3f", seed, got, c.holding)
				}
			}
		})
	}
}

// Guards against the limit falling since slower kinds of request became more frequent, which looked like a slow backend
// server: first only short calls, then as many long ones.
func TestMixedKinds(t *testing.T) {
	g := New(WithSlots(12))
	now := start
	n := 0
	turn := func(kinds ...string) {
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
		turn("short")
	}
	for range 20 {
		turn("short", "long", "long")
	}
	if got := g.Stats().Limit; got != 12 {
		t.Errorf("limit: got %d, want 12", got)
	}
}

// Load pattern: requests whose runs call the same service that other callers use. Guards against calls of running requests
// that wait behind new requests of the same priority, which loses the work that was done for them, and against calls that go
// before more urgent requests.
func TestCallsOfRunningRequestsFirst(t *testing.T) {
	g := New(WithSlots(1), WithQueue(8), WithFixed())
	ask := func(call string, priority int, final bool) {
		g.Decide(start, Request{Call: call, Kind: call[:1], Priority: priority, Final: final, Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)})
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

// Guards against a call that waits although no answer within its objective is possible here, while another endpoint may be
// free, and against one that is refused although that would be for good.
func TestObjectiveDecisions(t *testing.T) {
	const work = 100 * time.Millisecond
	tests := []struct {
		name    string
		request Request
		want    Action
		back    time.Duration // longest time to return after a refusal
	}{
		{"objective can be met", Request{Objective: start.Add(4 * work), Deadline: start.Add(9 * work)}, Queue, 0},
		{"objective cannot be met", Request{Objective: start.Add(2 * work), Deadline: start.Add(9 * work)}, Refuse, work},
		{"comes again, deadline can be met", Request{Objective: start.Add(work), Deadline: start.Add(9 * work), Again: true}, Queue, 0},
		{"comes again, deadline cannot be met", Request{Objective: start.Add(work), Deadline: start.Add(2 * work), Again: true}, Refuse, 9 * work},
		{"does not come again", Request{Objective: start.Add(work), Deadline: start.Add(9 * work), Final: true}, Queue, 0},
		{"no objective", Request{Deadline: start.Add(9 * work)}, Queue, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(1), WithQueue(8), WithFixed())
			g.Decide(start, Request{Call: "first"})
			g.Done(start, "first", work, true) // the time of a call is known
			g.Decide(start, Request{Call: "running"})
			g.Decide(start, Request{Call: "waiting", Objective: start.Add(9 * work), Deadline: start.Add(9 * work)})
			c.request.Call = "asked"
			d := g.Decide(start, c.request)
			if d.Action != c.want {
				t.Fatalf("got action %d (%v), want %d", d.Action, d.Failure, c.want)
			}
			if c.want == Refuse && (d.Failure.Code != outcome.Busy || d.Failure.After <= 0 || d.Failure.After > c.back) {
				t.Errorf("refusal: got %v after %s, want busy after at most %s", d.Failure, d.Failure.After, c.back)
			}
		})
	}
}

package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// customerLoad is the load of several customers on one endpoint of 12 slots. Customer k has the usual share 1/(k+1) of all requests,
// except that customer odd sends many times its share or behaves otherwise.
type customerLoad struct {
	customers int
	equal     bool    // all customers have the same share
	load      float64 // multiple of the capacity, without what odd sends above its usual rate
	times     float64 // multiple of its usual rate that odd sends
	odd       int
	weights   bool // weights follow the usual rates, as quotas do
	change    func(v *simRequest)
}

const customerWork = 150 * time.Millisecond

func (l customerLoad) arrivals(seed uint64, length time.Duration) []simRequest {
	random := rand.New(rand.NewPCG(seed, 13))
	total := 0.0
	share := func(k int) float64 {
		if l.equal {
			return 1
		}
		return 1 / float64(k+1)
	}
	for k := range l.customers {
		total += share(k)
	}
	var list []simRequest
	for k := range l.customers {
		usual := l.load * 12 / customerWork.Seconds() * share(k) / total
		rate, isOdd := usual, k == l.odd && (l.times > 0 || l.change != nil)
		if isOdd && l.times > 0 {
			rate *= l.times
		}
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at > length {
				break
			}
			v := simRequest{
				at: at, first: at, kind: "k", priority: 7, work: time.Duration((0.5 + random.Float64()) * float64(customerWork)),
				objective: 500 * time.Millisecond, callerWait: 1500 * time.Millisecond, customer: fmt.Sprintf("c%02d", k),
			}
			if l.weights {
				v.weight = 1.6 * usual
			}
			if isOdd && l.change != nil {
				l.change(&v)
			}
			list = append(list, v)
		}
	}
	return list
}

// servedShares returns the on-time share of all requests, the lowest one of a customer, that of the customer odd, and that of all
// customers but odd.
func servedShares(r map[string]*tally, odd string) (all, lowest, ofOdd, ofOthers float64) {
	var asked, served, othersAsked, othersServed float64
	lowest = 1
	for name, v := range r {
		share := float64(v.onTime) / float64(max(v.asked, 1))
		asked, served = asked+float64(v.asked), served+float64(v.onTime)
		lowest = min(lowest, share)
		if name == odd {
			ofOdd = share
			continue
		}
		othersAsked, othersServed = othersAsked+float64(v.asked), othersServed+float64(v.onTime)
	}
	return served / asked, lowest, ofOdd, othersServed / othersAsked
}

// Load patterns of customers at one endpoint: one that sends many times its usual rate, many small ones, one whose callers return at
// once after a refusal, and one whose callers leave the queue early. Guards against a customer that is served less than a quarter as
// often as all, and against customers that bear the cost of another one's load.
func TestCustomerFairness(t *testing.T) {
	atOnce := func(v *simRequest) { v.atOnce, v.forgotten = true, true }
	tests := []struct {
		name   string
		load   customerLoad
		others float64 // minimum on-time share of the other customers
	}{
		{"heavy, sizes unequal, quotas", customerLoad{customers: 20, load: 0.8, odd: 4, times: 7.5, weights: true}, 0.98},
		{"heavy, sizes unequal", customerLoad{customers: 20, load: 0.8, odd: 4, times: 7.5}, 0.92},
		{"heavy, sizes equal", customerLoad{customers: 20, equal: true, load: 0.8, odd: 4, times: 7.5}, 0.98},
		{"extremely heavy", customerLoad{customers: 20, equal: true, load: 0.5, odd: 4, times: 60}, 0.97},
		{"extremely heavy beside others that fill the endpoint", customerLoad{customers: 20, equal: true, load: 1, odd: 4, times: 40}, 0.7},
		{"many small ones", customerLoad{customers: 60, equal: true, load: 1.5, odd: -1}, 0.55},
		{"many small ones at three times the capacity", customerLoad{customers: 60, equal: true, load: 3, odd: -1}, 0.27},
		{"returns at once", customerLoad{customers: 20, equal: true, load: 0.8, odd: 4, times: 8, change: atOnce}, 0.87},
		{"returns at once and states it", customerLoad{customers: 20, equal: true, load: 0.8, odd: 4, times: 8, change: func(v *simRequest) { v.atOnce = true }}, 0.98},
		{"leaves early", customerLoad{customers: 20, equal: true, load: 0.8, odd: 4, times: 8, change: func(v *simRequest) {
			atOnce(v)
			v.leaves = 20 * time.Millisecond
		}}, 0.87},
	}
	seeds := uint64(5)
	if testing.Short() {
		seeds = 2
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for seed := range seeds {
				const length = 30 * time.Second
				odd := fmt.Sprintf("c%02d", c.load.odd)
				list := c.load.arrivals(seed, length)
				r := simulateOverload(12, list, WithShares(), WithSingleCaller())
				all, lowest, ofOdd, others := servedShares(r, odd)
				t.Logf("seed %d: on time: %.2f of all, %.2f of the least served customer, %.2f of %s, %.2f of the others", seed, all, lowest, ofOdd, odd, others)
				if lowest < 0.6*all && lowest < ofOdd || lowest < all/4 {
					t.Errorf("seed %d: least served customer: got %.2f on time with %.2f of all, want 0.6 of that, and a quarter for %s", seed, lowest, all, odd)
				}
				if others < c.others {
					t.Errorf("seed %d: other customers: got %.2f on time, want %.2f", seed, others, c.others)
				}
				served := 0
				for _, v := range r {
					served += v.onTime
				}
				if got, want := float64(served)*customerWork.Seconds()/(12*length.Seconds()), min(0.75, 0.9*c.load.load); got < want {
					t.Errorf("seed %d: useful share of the capacity: got %.2f, want %.2f", seed, got, want)
				}
				if !testing.Verbose() {
					continue
				}
				for i := range list { // for comparison
					list[i].customer, list[i].kind = "", list[i].customer
				}
				all, lowest, ofOdd, others = servedShares(simulateOverload(12, list, WithShares(), WithSingleCaller()), odd)
				t.Logf("seed %d: without customers: %.2f of all, %.2f of the least served, %.2f of %s, %.2f of the others", seed, all, lowest, ofOdd, odd, others)
			}
		})
	}
}

// Guards against decisions that change for a deployment in which one customer sends all requests, or none is known.
func TestOneCustomerIsNoCustomer(t *testing.T) {
	for _, opts := range [][]Option{{WithShares(), WithSingleCaller()}, {}} {
		for seed := range uint64(3) {
			list := arrivals(seed, 2, 10*time.Second)
			want := simulateOverload(12, list, opts...)
			for i := range list {
				list[i].customer = "only"
			}
			all := tally{}
			for _, v := range want {
				all = tally{all.asked + v.asked, all.onTime + v.onTime, all.late + v.late, all.refused + v.refused, all.refusedLate + v.refusedLate}
			}
			if got := *simulateOverload(12, list, opts...)["only"]; got != all {
				t.Errorf("seed %d: got %+v, want %+v", seed, got, all)
			}
		}
	}
}

// Load pattern: one heavy customer under strict priority, where callers are known by their customer. Guards against customers that bear
// the cost of another one's load in deployments without shares.
func TestCustomersUnderStrictPriority(t *testing.T) {
	for seed := range uint64(5) {
		list := customerLoad{customers: 20, equal: true, load: 0.8, odd: 4, times: 7.5}.arrivals(seed, 20*time.Second)
		all, _, ofOdd, others := servedShares(simulateOverload(12, list), "c04")
		if others < 0.97 || ofOdd < all/4 {
			t.Errorf("seed %d: got %.2f of the others and %.2f of the heavy customer on time with %.2f of all, want 0.97 and a quarter of all", seed, others, ofOdd, all)
		}
	}
}

// Load pattern: the queue is full of calls of one customer. Guards against refusing the call of another customer, and against calls of
// two customers with equal use that displace each other.
func TestFullQueueOfOneCustomer(t *testing.T) {
	tests := []struct {
		name string
		r    Request
		want string // displaced call, or empty for a refusal
	}{
		{"another customer", Request{Customer: "small"}, "q3"},
		{"the same customer", Request{Customer: "big"}, ""},
		{"no customer", Request{}, "q3"},
		{"another customer, higher priority", Request{Customer: "small", Priority: 9}, ""},
		{"another customer, nested", Request{Customer: "small", Nested: true}, "q3"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(2), WithQueue(4), WithFixedLimit(), WithShares(), WithSingleCaller())
			for i := range 6 {
				g.Decide(start, Request{Call: fmt.Sprint("q", i-2), Customer: "big"})
			}
			c.r.Call = "new"
			d := g.Decide(start, c.r)
			got := ""
			if d.Displaced != nil {
				got = d.Displaced.Call
			}
			if got != c.want || (d.Action == Queue) != (c.want != "") {
				t.Errorf("got action %d and %q displaced, want %q", d.Action, got, c.want)
			}
		})
	}
}

// Guards against memory that grows with the number of customers, and against customers that are remembered for ever.
func TestCustomersAreBounded(t *testing.T) {
	g := New(WithSlots(4), WithFixedLimit(), WithShares())
	for i := range 10_000 {
		call := fmt.Sprint(i)
		name := fmt.Sprint("c", i)
		if i%2 == 0 {
			name = "heavy"
		}
		g.Decide(start.Add(time.Duration(i)*time.Millisecond), Request{Call: call, Customer: name})
		g.Done(start.Add(time.Duration(i)*time.Millisecond), call, time.Millisecond, true)
	}
	if got := len(g.customers.uses); got != maxCustomers || len(g.customers.index) != got {
		t.Errorf("customers: got %d with %d in the index, want %d", got, len(g.customers.index), maxCustomers)
	}
	if _, ok := g.customers.index[customerRank{customer: "heavy"}]; !ok {
		t.Error("the customer with most calls was forgotten for one with fewer")
	}
	g.Decide(start.Add(10*time.Minute), Request{Call: "late", Customer: "late"})
	if got := len(g.customers.uses); got != 1 {
		t.Errorf("customers after ten idle minutes: got %d, want 1", got)
	}
}

func BenchmarkGateWithCustomers(b *testing.B) {
	for _, customers := range []int{0, 25, maxCustomers} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			g := New(WithSlots(12), WithFixedLimit(), WithShares(), WithSingleCaller())
			name := func(i int) string {
				if customers == 0 {
					return ""
				}
				return fmt.Sprint("c", i%customers)
			}
			calls := make([]Request, 1<<12)
			for i := range calls {
				calls[i] = Request{Call: fmt.Sprint(i), Customer: name(i), Priority: 7}
			}
			now := start
			var running []string
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := calls[i%len(calls)]
				now = now.Add(time.Millisecond)
				if d := g.Decide(now, r); d.Action == Admit {
					running = append(running, r.Call)
				}
				if i%2 == 0 && len(running) > 0 {
					call := running[0]
					running = running[1:]
					for _, d := range g.Done(now, call, customerWork, true) {
						if d.Action == Admit {
							running = append(running, d.Call)
						}
					}
				}
			}
		})
	}
}

// Load pattern: the callers of one customer leave the queue early and return at once. Guards against that customer being taken for one
// that is served too rarely, so that its calls start before those of others.
func TestLeavingCallersAreNoDemand(t *testing.T) {
	g := New(WithSlots(1), WithFixedLimit(), WithShares(), WithSingleCaller())
	now := start
	for i := range 40 {
		name := "modest"
		if i < 8 {
			name = "leaver"
		}
		now = now.Add(10 * time.Millisecond)
		g.Decide(now, Request{Call: fmt.Sprint(i), Customer: name})
		g.Done(now, fmt.Sprint(i), customerWork, true)
	}
	g.Decide(now, Request{Call: "running", Customer: "modest"})
	for i := range 100 {
		call := fmt.Sprint("left", i)
		if d := g.Decide(now, Request{Call: call, Customer: "leaver"}); d.Action != Queue {
			t.Fatalf("call %d of the leaving customer: got action %d, want it queued", i, d.Action)
		}
		g.Cancel(now, call)
	}
	queue := []queuedCall{{Request: Request{Call: "next", Customer: "leaver"}}}
	if levels, _ := g.customers.level(now, queue, nil); levels[0] == starvedLevel {
		t.Errorf("level of the leaving customer: got %d, want that of a customer that is served", levels[0])
	}
}

// Load pattern: of two customers that used as much, one sends many calls at once. Guards against another customer
// whose only call waits behind most of them.
func TestBurstOfOneCustomer(t *testing.T) {
	for _, opts := range [][]Option{{WithShares(), WithSingleCaller()}, {WithSingleCaller()}} {
		g := New(append([]Option{WithSlots(1), WithQueue(40), WithFixedLimit()}, opts...)...)
		for i := range 20 {
			g.Decide(start, Request{Call: "warm", Customer: []string{"burst", "small"}[i%2]})
			g.Done(start, "warm", customerWork, true)
		}
		for i := range 30 {
			g.Decide(start, Request{Call: fmt.Sprint("b", i), Customer: "burst"})
		}
		d := g.Decide(start, Request{Call: "small", Customer: "small"})
		if limit := 5 * customerWork; d.Action != Queue || d.Wait > limit {
			t.Errorf("estimated wait: got action %d and %s, want a wait of at most %s", d.Action, d.Wait, limit)
		}
		started, running := 0, "b0"
		for running != "small" && started < 31 {
			list := g.Done(start, running, customerWork, true)
			if len(list) != 1 {
				t.Fatalf("after %d starts: got %d decisions, want 1", started, len(list))
			}
			running = list[0].Call
			started++
		}
		if started > 5 {
			t.Errorf("starts until the other customer's call: got %d, want at most 5", started)
		}
	}
}

// Load pattern: nested calls of a customer that used much wait beside those of one that used little. Guards against nested calls that do
// not start in the order of their deadlines, which loses the work of requests that were admitted before.
func TestNestedCallsOfCustomers(t *testing.T) {
	g := New(WithSlots(1), WithFixedLimit(), WithShares(), WithSingleCaller())
	for i := range 20 {
		call := fmt.Sprint(i)
		g.Decide(start, Request{Call: call, Customer: "heavy", Nested: i%2 == 0})
		g.Done(start, call, customerWork, true)
	}
	g.Decide(start, Request{Call: "running", Customer: "small"})
	g.Decide(start, Request{Call: "heavy", Customer: "heavy", Nested: true, Deadline: start.Add(10 * time.Second)})
	g.Decide(start, Request{Call: "small", Customer: "small", Nested: true, Deadline: start.Add(20 * time.Second)})
	if d := g.Done(start, "running", customerWork, true); len(d) != 1 || d[0].Call != "heavy" {
		t.Errorf("next call: got %+v, want the one with the earlier deadline", d)
	}
}

package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"godwitspindle/core/outcome"
)

const ms = time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// step is one operation on a gate in TestDecisions.
type step struct {
	do   string // operation: ask, done, cancel, drain, shed, tick or resize
	call Request
	at   time.Duration // time after start
	want string        // expected decisions: CALL+ admitted, CALL? queued, CALL-CODE refused
}

func (s step) run(g *Gate) []Decision {
	now := start.Add(s.at)
	switch s.do {
	case "ask":
		d := g.Decide(now, s.call)
		if d.Displaced != nil {
			return []Decision{d, *d.Displaced}
		}
		return []Decision{d}
	case "done":
		return g.Done(now, s.call.Call, 10*ms, true)
	case "cancel":
		return g.Cancel(now, s.call.Call)
	case "drain":
		return g.Drain(now)
	case "shed":
		g.Shed(now, 100*ms)
		return nil
	case "resize":
		return g.Resize(now, 2, 0)
	}
	return g.Tick(now)
}

// Guards against wrong decisions on single calls: queue order, displacement, and the codes of refusals.
func TestDecisions(t *testing.T) {
	ask := func(call, caller string, priority int, deadline time.Duration, want string) step {
		return step{"ask", Request{Call: call, Caller: caller, Priority: priority, Deadline: start.Add(deadline)}, 0, want}
	}
	late := func(s step) step { s.call.LateTolerant = true; return s }
	suspect := func(s step) step { s.call.Suspect = true; return s }
	end := func(do, call string, at time.Duration, want string) step {
		return step{do, Request{Call: call}, at, want}
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"order is priority, deadline, arrival", []step{
			ask("r", "x", 5, time.Second, "r+"), ask("a", "a", 1, 900*ms, "a?"), ask("b", "b", 5, 900*ms, "b?"), ask("c", "c", 5, 800*ms, "c?"), ask("d", "d", 5, 900*ms, "d?"),
			end("done", "r", 0, "c+"), end("done", "c", 0, "b+"), end("done", "b", 0, "d+"), end("done", "d", 0, "a+"),
		}},
		{"higher priority displaces, lower does not", []step{
			ask("r", "x", 5, time.Second, "r+"), ask("a", "a", 3, time.Second, "a?"), ask("b", "b", 2, time.Second, "b?"), ask("c", "c", 3, time.Second, "c?"), ask("d", "d", 3, time.Second, "d?"),
			ask("e", "e", 1, time.Second, "e-overload"), ask("f", "f", 9, time.Second, "f? b-overload"),
		}},
		{"late-tolerant call is displaced first", []step{
			ask("r", "x", 5, time.Second, "r+"), ask("a", "a", 3, time.Second, "a?"), late(ask("b", "b", 5, time.Second, "b?")), ask("c", "c", 3, time.Second, "c?"), ask("d", "d", 3, time.Second, "d?"),
			ask("e", "e", 5, time.Second, "e? b-overload"),
		}},
		{"impossible deadline is refused early, possible one is not", []step{
			ask("r", "x", 5, time.Second, "r+"), end("done", "r", 0, ""),
			ask("s", "x", 5, time.Second, "s+"), ask("a", "a", 5, 15*ms, "a-deadline"), ask("b", "b", 5, 21*ms, "b?"), ask("c", "c", 5, 21*ms, "c-deadline"),
			end("tick", "", 12*ms, "b-deadline"),
		}},
		{"suspects run one at a time, other calls start", []step{
			suspect(ask("s", "x", 5, time.Second, "s+")), end("resize", "", 0, ""), suspect(ask("t", "x", 9, time.Second, "t?")), ask("a", "a", 1, time.Second, "a+"),
			end("done", "a", 0, ""), end("done", "s", 0, "t+"),
		}},
		{"cancel of a queued call never starts it", []step{
			ask("r", "x", 5, time.Second, "r+"), ask("a", "a", 5, time.Second, "a?"), ask("b", "b", 5, time.Second, "b?"),
			end("cancel", "a", 0, ""), end("done", "r", 0, "b+"), end("cancel", "b", 0, ""),
		}},
		{"drain refuses new and queued calls, running ones end", []step{
			ask("r", "x", 5, time.Second, "r+"), ask("a", "a", 5, time.Second, "a?"), end("drain", "", 0, "a-draining"), ask("b", "b", 9, time.Second, "b-draining"), end("done", "r", 0, ""),
		}},
		{"a caller with half of slots and queue is refused while another waits", []step{
			ask("r", "a", 5, time.Second, "r+"), ask("a", "a", 5, time.Second, "a?"), ask("b", "b", 5, time.Second, "b?"), ask("c", "a", 9, time.Second, "c-overload"),
		}},
		{"a call of a caller above its share is displaced", []step{
			ask("r", "a", 5, time.Second, "r+"), ask("a", "a", 5, time.Second, "a?"), ask("b", "a", 5, time.Second, "b?"), ask("c", "a", 5, time.Second, "c?"), ask("d", "a", 5, time.Second, "d?"),
			ask("e", "b", 5, time.Second, "e? d-overload"), ask("f", "b", 4, time.Second, "f-overload"),
		}},
		{"a caller that runs half of the slots lets another start", []step{
			end("resize", "", 0, ""), ask("r", "a", 5, time.Second, "r+"), ask("s", "a", 5, time.Second, "s+"), ask("a", "a", 5, 800*ms, "a?"), ask("b", "b", 5, 900*ms, "b?"),
			end("done", "s", 0, "b+"), end("done", "r", 0, "a+"),
		}},
		{"the same call id twice", []step{ask("r", "x", 5, time.Second, "r+"), ask("r", "x", 5, time.Second, "r-refused")}},
		{"nothing starts while the backend server sheds", []step{
			ask("r", "x", 5, time.Second, "r+"), end("shed", "", 0, ""), end("done", "r", 0, ""), ask("a", "a", 5, 90*ms, "a-deadline"), ask("b", "b", 5, time.Second, "b?"),
			end("tick", "", 99*ms, ""), end("tick", "", 100*ms, "b+"),
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := New(WithSlots(1), WithQueue(4))
			for i, s := range c.steps {
				if text := format(t, s.run(g)); text != s.want {
					t.Fatalf("step %d %s %s: got %q, want %q", i, s.do, s.call.Call, text, s.want)
				}
			}
		})
	}
}

func format(t *testing.T, list []Decision) string {
	t.Helper()
	out := ""
	for i, d := range list {
		if i > 0 {
			out += " "
		}
		out += d.Call + map[Action]string{Admit: "+", Queue: "?", Refuse: "-"}[d.Action]
		if d.Action != Refuse {
			continue
		}
		out += string(d.Failure.Code)
		if d.Failure.Kind != outcome.NotRun {
			t.Errorf("%s: got kind %q, want notrun", d.Call, d.Failure.Kind)
		}
	}
	return out
}

// event is the end of a call in simulate and runCalls.
type event struct {
	at   time.Time
	call string
	took time.Duration // service time
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

type result struct {
	done, late   map[string]int           // per caller, the number of calls that ended in time, or late
	longestWaits map[string]time.Duration // longest wait by caller
	lowestLimit  int                      // lowest limit after any call
}

// simulate sends a call every gap for the given length, and runs each admitted call for service(time after start, running
// calls). Calls that still run at the end are not in the result. next returns call i, its deadline counted from the arrival.
func simulate(g *Gate, length, gap time.Duration, next func(i int) Request, service func(at time.Duration, running int) time.Duration) result {
	r := result{done: map[string]int{}, late: map[string]int{}, longestWaits: map[string]time.Duration{}, lowestLimit: 1 << 30}
	asked := map[string]Request{}
	var running events
	apply := func(now time.Time, list []Decision) {
		for _, d := range list {
			if d.Action != Admit {
				continue
			}
			took := service(now.Sub(start), g.Stats().Running)
			heap.Push(&running, event{now.Add(took), d.Call, took})
			q := asked[d.Call]
			r.longestWaits[q.Caller] = max(r.longestWaits[q.Caller], d.Wait)
		}
	}
	for i := 0; time.Duration(i)*gap < length; i++ {
		now := start.Add(time.Duration(i) * gap)
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(event)
			q := asked[e.call]
			if e.at.After(q.Deadline) {
				r.late[q.Caller]++
			} else {
				r.done[q.Caller]++
			}
			apply(e.at, g.Done(e.at, e.call, e.took, true))
		}
		q := next(i)
		q.Call = fmt.Sprint(i)
		q.Deadline = now.Add(q.Deadline.Sub(time.Time{}))
		asked[q.Call] = q
		apply(now, []Decision{g.Decide(now, q)})
		r.lowestLimit = min(r.lowestLimit, g.Stats().Limit)
	}
	return r
}

func deadlineAfter(d time.Duration) time.Time { return time.Time{}.Add(d) }

// Guards against collapse under overload: goodput below capacity, work that ends after its deadline, high priority behind low,
// one caller that uses all slots, and a limit that does not follow a slowdown of the backend server or its recovery.
func TestOverload(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	steady := func(time.Duration, int) time.Duration { return 8*ms + time.Duration(r.IntN(4000))*time.Microsecond }
	// Capacity: 12 slots at 10 ms are 1,200 calls a second; a gap of 278 µs offers three times that.
	const gap = 278 * time.Microsecond
	t.Run("burst at three times capacity", func(t *testing.T) {
		got := simulate(New(WithSlots(12)), 10*time.Second, gap, func(i int) Request {
			if i%10 == 0 {
				return Request{Caller: "buy", Priority: 9, Deadline: deadlineAfter(200 * ms)}
			}
			return Request{Caller: fmt.Sprint("look", i%7), Priority: 3, Deadline: deadlineAfter(60 * ms)}
		}, steady)
		total, late := 0, 0
		for k, n := range got.done {
			total, late = total+n, late+got.late[k]
		}
		if total < 11400 {
			t.Errorf("goodput in 10 s: got %d, want at least 95%% of 12,000", total)
		}
		if late > total/100 {
			t.Errorf("finished late: got %d, want at most 1%% of %d", late, total)
		}
		if got.done["buy"] < 3560 || got.longestWaits["buy"] > 20*ms {
			t.Errorf("high priority: got %d done, %v longest wait, want at least 99%% of 3,598 and 20 ms", got.done["buy"], got.longestWaits["buy"])
		}
		t.Logf("done %d, late %d, high-priority %d, longest wait %v", total, late, got.done["buy"], got.longestWaits["buy"])
	})
	t.Run("one caller floods", func(t *testing.T) {
		got := simulate(New(WithSlots(12)), 10*time.Second, gap, func(i int) Request {
			if i%10 == 0 {
				return Request{Caller: "small", Priority: 5, Deadline: deadlineAfter(200 * ms)}
			}
			return Request{Caller: "flood", Priority: 5, Deadline: deadlineAfter(200 * ms)}
		}, steady)
		if got.done["small"] < 3418 {
			t.Errorf("calls of the small caller: got %d, want at least 95%% of 3,598", got.done["small"])
		}
		if total := got.done["small"] + got.done["flood"]; total < 11400 {
			t.Errorf("goodput in 10 s: got %d, want at least 95%% of 12,000", total)
		}
	})
	t.Run("backend server slows and recovers", func(t *testing.T) {
		g := New(WithSlots(12))
		// From 3 s to 6 s the backend server runs two calls at a time; further calls queue inside it.
		got := simulate(g, 20*time.Second, 2*ms, func(i int) Request {
			return Request{Caller: fmt.Sprint(i % 5), Priority: 5, Deadline: deadlineAfter(time.Second)}
		}, func(at time.Duration, running int) time.Duration {
			if at > 3*time.Second && at < 6*time.Second {
				return 10 * ms * time.Duration(max(running, 2)) / 2
			}
			return 10 * ms
		})
		if got.lowestLimit > 6 || got.lowestLimit < 1 {
			t.Errorf("lowest limit: got %d, want 1 to 6", got.lowestLimit)
		}
		if l := g.Stats().Limit; l != 12 {
			t.Errorf("limit 14 s after recovery: got %d, want 12", l)
		}
	})
}

// Guards against more running calls than slots, two running suspects, lost or duplicate calls, and leaked counters.
func TestExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		g := New(WithSlots(slots), WithQueue(rapid.IntRange(0, 5).Draw(t, "queue")))
		now := start
		running, queued := map[string]bool{}, map[string]bool{} // by call id; true for a suspect
		apply := func(list ...Decision) {
			for _, d := range list {
				s, waited := queued[d.Call]
				if d.Displaced != nil {
					delete(queued, d.Displaced.Call)
				}
				delete(queued, d.Call)
				switch d.Action {
				case Admit:
					if _, twice := running[d.Call]; twice || !waited {
						t.Fatalf("call %s admitted twice or after its end", d.Call)
					}
					running[d.Call] = s
				case Queue:
					queued[d.Call] = s
				}
			}
		}
		pick := func(m map[string]bool) string {
			for i := range 200 {
				if _, ok := m[fmt.Sprint(i)]; ok {
					return fmt.Sprint(i)
				}
			}
			return "none"
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms)
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2, 3, 4:
				q := Request{Call: fmt.Sprint(i), Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"), LateTolerant: rapid.Bool().Draw(t, "late"), Suspect: rapid.Bool().Draw(t, "suspect"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * ms)}
				queued[q.Call] = q.Suspect
				apply(g.Decide(now, q))
			case 5, 6:
				call := pick(running)
				delete(running, call)
				apply(g.Done(now, call, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*ms, rapid.Bool().Draw(t, "ok"))...)
			case 7:
				call := pick(queued)
				delete(queued, call)
				apply(g.Cancel(now, call)...)
			case 8:
				apply(g.Tick(now)...)
			case 9:
				g.Shed(now, time.Duration(rapid.IntRange(0, 40).Draw(t, "pause"))*ms)
			}
			suspects := 0
			for _, s := range running {
				if s {
					suspects++
				}
			}
			s := g.Stats()
			if s.Running != len(running) || s.Queued != len(queued) || s.Running > slots || suspects > 1 {
				t.Fatalf("got %d running (%d suspects), %d queued; want %d and %d, at most %d slots, 1 suspect", s.Running, suspects, s.Queued, len(running), len(queued), slots)
			}
		}
		apply(g.Drain(now)...)
		for len(running) > 0 {
			call := pick(running)
			delete(running, call)
			apply(g.Done(now, call, ms, true)...)
		}
		if !g.Idle() || len(g.callers) != 0 || len(queued) != 0 {
			t.Fatalf("after drain: got idle %v, callers %v, queued %v; want nothing left", g.Idle(), g.callers, queued)
		}
	})
}

// Guards against more open connections than the maximum.
func TestConnections(t *testing.T) {
	g := New(WithSlots(9), WithConnections(2))
	got := []bool{g.OpenConnection(), g.OpenConnection(), g.OpenConnection()}
	g.CloseConnection()
	got = append(got, g.OpenConnection())
	if fmt.Sprint(got) != "[true true false true]" || g.Stats().Slots != 2 {
		t.Errorf("OpenConnection: got %v with %d slots, want [true true false true] with 2", got, g.Stats().Slots)
	}
}

func BenchmarkGate(b *testing.B) {
	b.Run("admit", func(b *testing.B) {
		g := New(WithSlots(12))
		r := Request{Call: "c", Caller: "a", Priority: 5, Deadline: start.Add(time.Second)}
		b.ReportAllocs()
		for b.Loop() {
			g.Decide(start, r)
			g.Done(start, "c", ms, true)
		}
	})
	b.Run("full", func(b *testing.B) {
		g := New(WithSlots(12))
		for i := range 36 {
			g.Decide(start, Request{Call: fmt.Sprint(i), Caller: "a", Priority: 5, Deadline: start.Add(time.Second)})
		}
		b.ReportAllocs()
		for b.Loop() {
			g.Decide(start, Request{Call: "x", Caller: "b", Priority: 4, Deadline: start.Add(time.Second)})
		}
	})
}

// Guards against a queue that keeps its initial length: a host creates the gate of an endpoint before it knows the number of
// slots.
func TestResizeQueue(t *testing.T) {
	for name, c := range map[string]struct {
		options []Option
		want    int
	}{"derived": {nil, 8}, "set": {[]Option{WithQueue(3)}, 3}} {
		t.Run(name, func(t *testing.T) {
			g := New(append(c.options, WithSlots(1))...)
			g.Resize(time.Time{}, 4, 0)
			for i := range 20 {
				g.Decide(time.Time{}, Request{Call: fmt.Sprint(i), Caller: fmt.Sprint(i)})
			}
			if s := g.Stats(); s.Running != 4 || s.Queued != c.want {
				t.Errorf("got %d running and %d queued, want 4 and %d", s.Running, s.Queued, c.want)
			}
		})
	}
}

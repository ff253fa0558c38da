package nested_test

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/nested"
)

// capacity is the work that the store does per second of time, with the mean speed of its endpoints.
const capacity = stores * slots / 1.07

// overload runs parents whose calls need half of the store's capacity for 15 s; from 5 s to 10 s the store is slower by a factor.
func overload(seed uint64, throttle bool, factor int, parent func(m *mesh)) *mesh {
	const length = 15 * time.Second
	m := newMesh(seed, 24)
	m.throttle, m.move = throttle, true
	m.slowdown = func(at time.Duration) int {
		if at >= 5*time.Second && at < 10*time.Second {
			return factor
		}
		return 1
	}
	m.arrivals(length, 0.3*capacity/ownWork.Seconds(), m.own)
	m.arrivals(length, 0.5*capacity/callWork.Seconds()/2, func() { parent(m) })
	m.run()
	return m
}

// Load pattern: the store is overloaded by a factor of 2, 4 or more for five seconds, and recovers. Guards against parents that run
// although their calls are refused, against parents that are refused long after the recovery, and against a loss of served parents.
func TestOverloadedDownstream(t *testing.T) {
	for _, c := range []struct {
		factor    int
		maxBroken float64 // maximum share of the broken runs without the throttle
		minOnTime float64 // minimum share of the parents on time without the throttle
	}{{4, 0.65, 1}, {8, 0.5, 0.95}, {100, 0.5, 0.85}} {
		t.Run(fmt.Sprint(c.factor), func(t *testing.T) {
			var before, after, recovered, later tally
			for seed := range uint64(2) {
				parent := func(m *mesh) { m.parent("order", 2) }
				before = sum(before, overload(seed, false, c.factor, parent).tally("order"))
				m := overload(seed, true, c.factor, parent)
				after = sum(after, m.tally("order"))
				recovered = sum(recovered, m.tally("order11"))
				later = sum(later, m.tally("order12"))
			}
			t.Logf("without throttle %+v, with %+v, second 11 %+v", before, after, recovered)
			if got, want := after.share(after.broken), c.maxBroken*before.share(before.broken); got > want {
				t.Errorf("broken runs: got %.3f, want at most %.3f (%.3f without the throttle)", got, want, before.share(before.broken))
			}
			if got, want := after.share(after.onTime), c.minOnTime*before.share(before.onTime); got < want {
				t.Errorf("parents on time: got %.3f, want at least %.3f (%.3f without the throttle)", got, want, before.share(before.onTime))
			}
			if got, want := recovered.refused+later.refused, recovered.asked/10; got > want {
				t.Errorf("parents refused in the 2nd and 3rd second after the recovery: got %d of %d, want at most %d", got, recovered.asked+later.asked, want)
			}
		})
	}
}

// Load pattern: the store is overloaded; one route of the front service calls it and another does not. Guards against refusing the
// other route, and against learning it as one that calls.
func TestRouteWithoutCalls(t *testing.T) {
	m := overload(1, true, 8, func(m *mesh) {
		if m.random.IntN(2) == 0 {
			m.parent("status", 0)
		}
		m.parent("order", 2)
	})
	status, order := *m.tally("status"), *m.tally("order")
	if status.refused != 0 || status.onTime != status.asked {
		t.Errorf("route without calls: got %+v, want all on time", status)
	}
	if order.refused < order.asked/10 {
		t.Errorf("route with calls: got %+v, want at least a tenth refused", order)
	}
}

// Failure: backend servers of the store refuse half of their requests whatever their load. Guards against refusing parents, which all have
// the same chance then, so that each refusal may lose a success and frees nothing that is short.
func TestFaultyDownstream(t *testing.T) {
	const length = 10 * time.Second
	var got [2]tally
	for i, throttle := range []bool{false, true} {
		m := newMesh(1, 24)
		m.throttle, m.move, m.faulty = throttle, true, 0.55
		m.arrivals(length, 0.3*capacity/callWork.Seconds()/2, func() { m.parent("order", 2*min(m.random.IntN(10)/3, 1)) })
		m.run()
		got[i] = *m.tally("order")
	}
	t.Logf("without throttle %+v, with %+v", got[0], got[1])
	if got[1].refused != 0 || got[1] != got[0] {
		t.Errorf("got %+v, want none refused and as many served as without the throttle: %+v", got[1], got[0])
	}
}

// Load pattern: a third of the runs of a route makes calls to an overloaded store. Guards against refusing parents of which most would
// have been served.
func TestRouteThatSeldomCalls(t *testing.T) {
	m := overload(1, true, 8, func(m *mesh) { m.parent("order", 2*(1-min(m.random.IntN(3), 1))) })
	if got := *m.tally("order"); got.refused != 0 {
		t.Errorf("got %+v, want none refused", got)
	}
}

// Load pattern: two thirds of the store's arrivals are nested calls, at 1.2 to 4 times its capacity, and work at each endpoint takes 2.5
// times as long for 15% of the time. Guards against nested calls that are refused, or wait to their deadline, at a slow endpoint while
// others have room, and against a loss of the store's own requests.
func TestMostlyNestedArrivals(t *testing.T) {
	const length = 6 * time.Second
	for _, c := range []struct {
		load         float64
		maxBroken    float64 // maximum share of parents that break
		minOwnOnTime float64 // minimum share of the own requests on time when nested calls do not move
	}{{1.2, 0.001, 0.9}, {2, 0.001, 0.85}, {3, 0.01, 0.6}, {4, 0.1, 0.4}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			var parents, own [2]tally
			var repicks [2]int
			for seed := range uint64(2) {
				for i, improved := range []bool{false, true} {
					m := newMesh(seed, 36)
					m.throttle, m.move = improved, improved
					m.noise(length)
					rate := c.load * capacity / (2*callWork + ownWork).Seconds()
					m.arrivals(length, rate, m.own)
					m.arrivals(length, 2*rate/1.4, func() { m.parent("order", 2*min(m.random.IntN(10)/3, 1)) })
					m.run()
					repicks[i] += m.repicks
					parents[i], own[i] = sum(parents[i], m.tally("order")), sum(own[i], m.tally("own"))
				}
			}
			t.Logf("parents before %+v, after %+v; own requests before %+v, after %+v; repicks %v", parents[0], parents[1], own[0], own[1], repicks)
			if got := parents[1].share(parents[1].broken); got > c.maxBroken {
				t.Errorf("broken parents: got %.4f, want at most %.4f (%d before)", got, c.maxBroken, parents[0].broken)
			}
			if got, want := parents[1].share(parents[1].onTime), parents[0].share(parents[0].onTime); got < want {
				t.Errorf("parents on time: got %.3f, want at least %.3f as before", got, want)
			}
			if got := own[1].share(own[1].onTime) / own[0].share(own[0].onTime); got < c.minOwnOnTime {
				t.Errorf("own requests on time: got %.2f of those before, want at least %.2f", got, c.minOwnOnTime)
			}
		})
	}
}

// Load pattern: calls that took long are refused now. Guards against a service time that is learned from runs which broke early: parents
// would be admitted that cannot end before their deadline. The time of the calls is part of the service time, so it is not added again.
func TestServiceTimeOfBrokenRuns(t *testing.T) {
	const whole = 400 * time.Millisecond
	c, g, now := nested.New(), admission.New(admission.WithFixedLimit()), start
	for i := range 40 {
		took, ok, call := whole, true, nested.Call{Parent: fmt.Sprint(i), Service: "store"}
		if i >= 10 {
			took, ok, call.Result = 20*time.Millisecond, false, nested.Refused
		}
		c.Start(now, call.Parent, "order")
		g.Decide(now, admission.Request{Call: call.Parent, Kind: "order"})
		c.Observe(call)
		now = now.Add(took)
		broken := c.End(now, call.Parent, ok)
		g.Done(now, call.Parent, took, !broken)
	}
	for _, v := range []struct {
		left time.Duration
		want admission.Action
	}{{whole - 10*time.Millisecond, admission.Refuse}, {whole + 10*time.Millisecond, admission.Admit}} {
		if d := g.Decide(now, admission.Request{Call: v.left.String(), Kind: "order", Deadline: now.Add(v.left)}); d.Action != v.want {
			t.Errorf("parent with %s left: got action %d, want %d", v.left, d.Action, v.want)
		}
	}
}

// share returns a number of requests as a share of those that were asked.
func (t *tally) share(n int) float64 { return float64(n) / float64(t.asked) }

func sum(a tally, b *tally) tally {
	return tally{a.asked + b.asked, a.onTime + b.onTime, a.late + b.late, a.refused + b.refused, a.broken + b.broken}
}

package rollout

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// TestLeaderLost covers the loss of the leader at each time of the rollout: the next one goes on from the step reached, a good
// release completes and a bad one is rolled back within its bounds.
func TestLeaderLost(t *testing.T) {
	for lost := time.Duration(0); lost < 9500*time.Millisecond; lost += 500 * time.Millisecond {
		gone := func(at time.Duration) bool { return at >= lost && at < lost+1200*time.Millisecond }
		each(t, []float64{10, 600}, func(p *simulation) { p.leaderless = gone }, func(p *simulation) {
			p.wantCompleted(t)
			p.wantSteps(t)
		})
		each(t, []float64{600}, func(p *simulation) { p.leaderless = gone; p.failing(0.5, always) }, func(p *simulation) { p.wantRolledBack(t) })
	}
}

// wantSteps checks that no step lowers the share of a release without fault in the ramp, or skips one.
func (p *simulation) wantSteps(t *testing.T) {
	t.Helper()
	for i := 1; i < len(p.history); i++ {
		before, after := p.history[i-1], p.history[i]
		if after.GetStep() != before.GetStep()+1 || after.GetReason() == ReasonStep && after.GetShare() <= before.GetShare() {
			p.describe(t)
			t.Errorf("step %d to share %d follows step %d with share %d", after.GetStep(), after.GetShare(), before.GetStep(), before.GetShare())
		}
	}
}

// TestLeaderLostInLastStep covers a leader that is lost too late to end in time: the next one completes within the rollback time.
func TestLeaderLostInLastStep(t *testing.T) {
	each(t, []float64{600}, func(p *simulation) {
		p.leaderless = func(at time.Duration) bool { return at >= 10500*time.Millisecond && at < 13*time.Second }
	}, func(p *simulation) {
		if p.state.GetState() != wire.RolloutState_ROLLOUT_STATE_COMPLETED || p.ended > p.duration+p.policy.Rollback() {
			p.describe(t)
			t.Errorf("got %s at %s, want completed", p.state.GetState(), p.ended)
		}
	})
}

// TestFewRequests covers services with too few requests to judge: a release without a fault completes.
func TestFewRequests(t *testing.T) {
	each(t, []float64{0, 0.2, 1}, func(*simulation) {}, func(p *simulation) { p.wantCompleted(t) })
}

// TestShortAndLong covers durations other than that of the platform's tests.
func TestShortAndLong(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 6 * time.Second, 40 * time.Second, 2 * time.Minute} {
		each(t, []float64{10, 300}, func(p *simulation) { p.duration = d }, func(p *simulation) { p.wantCompleted(t) })
		each(t, []float64{300}, func(p *simulation) { p.duration = d; p.failing(0.5, always) }, func(p *simulation) { p.wantRolledBack(t) })
	}
}

// TestWaitsForOldAnswers covers requests that take long at old endpoints, which stop without draining once the rollout completes: it waits
// for them as long as the duration allows.
func TestWaitsForOldAnswers(t *testing.T) {
	for _, c := range []struct{ until, least time.Duration }{
		{11 * time.Second, 11 * time.Second}, {time.Minute, 11500 * time.Millisecond},
	} {
		each(t, []float64{60, 600}, func(p *simulation) {
			p.pending = func(node int, at time.Duration) bool { return node == 3 && at < c.until }
		}, func(p *simulation) {
			p.wantCompleted(t)
			if p.ended < c.least {
				p.describe(t)
				t.Errorf("got completed at %s, want not before %s", p.ended, c.least)
			}
		})
	}
}

// TestNoEndpoints covers new endpoints that never come, or crash and stay away: the rollout ends rolled back.
func TestNoEndpoints(t *testing.T) {
	each(t, rates, func(p *simulation) { p.capacity.New, p.capacity.NewSlots = 0, 0; p.usable = never }, func(p *simulation) { p.wantRolledBack(t) })
	each(t, []float64{60, 600}, func(p *simulation) {
		p.usable = func(at time.Duration) bool { return at < 6*time.Second }
	}, func(p *simulation) { p.wantRolledBack(t) })
}

func never(time.Duration) bool { return false }

// TestCrashAndReturn covers new endpoints that are away for a moment: the rollout goes on.
func TestCrashAndReturn(t *testing.T) {
	each(t, []float64{60, 600}, func(p *simulation) {
		p.usable = func(at time.Duration) bool { return at < 2*time.Second || at > 4*time.Second }
	}, func(p *simulation) { p.wantCompleted(t) })
}

// TestTooFewSlots covers new endpoints that cannot take all requests: the rollout does not complete.
func TestTooFewSlots(t *testing.T) {
	each(t, []float64{600, 1800}, func(p *simulation) { p.capacity.NewSlots = 18 }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestFewSlotsEnough covers new endpoints with fewer slots that still suffice for the requests.
func TestFewSlotsEnough(t *testing.T) {
	each(t, []float64{10, 60}, func(p *simulation) { p.capacity.NewSlots = 18 }, func(p *simulation) { p.wantCompleted(t) })
}

// TestCountsLost covers reports that do not arrive: with a third of them lost a bad release is still found, and without any a rollout
// does not complete.
func TestCountsLost(t *testing.T) {
	some := func(p *simulation) {
		p.reported = func(node int, at time.Duration) bool { return (node+int(at/(500*time.Millisecond)))%3 > 0 }
	}
	each(t, []float64{60, 600}, some, func(p *simulation) { p.wantCompleted(t) })
	each(t, []float64{200, 600}, func(p *simulation) { some(p); p.failing(0.5, always) }, func(p *simulation) { p.wantRolledBack(t) })
	each(t, []float64{60}, func(p *simulation) { p.reported = func(int, time.Duration) bool { return false } }, func(p *simulation) { p.wantRolledBack(t) })
}

// TestOrders covers two orders at once and repeated orders.
func TestOrders(t *testing.T) {
	order := func(release string, d time.Duration) *wire.RolloutOrder {
		return &wire.RolloutOrder{Service: "s", Release: release, Duration: d.Milliseconds()}
	}
	running := Start(1, epoch, order("v2", time.Minute))
	ended := func(s wire.RolloutState) *wire.Rollout {
		r := proto.CloneOf(running)
		r.State = s
		return r
	}
	completed, back := ended(wire.RolloutState_ROLLOUT_STATE_COMPLETED), ended(wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK)
	for _, c := range []struct {
		name    string
		current *wire.Rollout
		order   *wire.RolloutOrder
		after   time.Duration
		want    Verdict
	}{
		{"first", nil, order("v2", time.Minute), 0, Fresh},
		{"repeated", running, order("v2", time.Minute), 30 * time.Second, Repeated},
		{"other release", running, order("v3", time.Minute), time.Second, Conflict},
		{"other duration", running, order("v2", time.Hour), time.Second, Conflict},
		{"repeated after the rollback", back, order("v2", time.Minute), 4 * time.Second, Repeated},
		{"again after the rollback", back, order("v2", time.Minute), time.Minute, Fresh},
		{"repeated after completion", completed, order("v2", time.Minute), 4 * time.Second, Repeated},
		{"again after completion", completed, order("v2", time.Hour), time.Hour, Repeated},
		{"next release", completed, order("v3", time.Minute), time.Second, Fresh},
	} {
		if got := Judge(epoch.Add(c.after), c.current, c.order); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// TestStaleStep covers the command of a deposed leader, of an earlier rollout or sent twice: it does nothing.
func TestStaleStep(t *testing.T) {
	r := Start(5, epoch, &wire.RolloutOrder{Service: "s", Release: "v2", Duration: 1000})
	first := &wire.RolloutAdvance{Service: "s", Order: 5, Share: 1000, State: wire.RolloutState_ROLLOUT_STATE_RUNNING, Bad: 3}
	after, ok := Apply(epoch, r, first)
	if !ok || after.GetShare() != 1000 || after.GetStep() != 1 || after.GetBad() != 3 {
		t.Fatalf("got %v, %t, want step 1 with share 1000 and 3 bad answers", after, ok)
	}
	for name, a := range map[string]*wire.RolloutAdvance{
		"twice":         first,
		"other order":   {Order: 4, Step: 1, Share: Whole, State: wire.RolloutState_ROLLOUT_STATE_RUNNING},
		"later step":    {Order: 5, Step: 2, Share: Whole, State: wire.RolloutState_ROLLOUT_STATE_RUNNING},
		"invalid share": {Order: 5, Step: 1, Share: Whole + 1, State: wire.RolloutState_ROLLOUT_STATE_RUNNING},
		"no state":      {Order: 5, Step: 1},
	} {
		if got, ok := Apply(epoch, after, a); ok || !proto.Equal(got, after) {
			t.Errorf("%s: got %v, %t, want no change", name, got, ok)
		}
	}
	lower, _ := Apply(epoch, after, &wire.RolloutAdvance{Order: 5, Step: 1, Share: 10, State: wire.RolloutState_ROLLOUT_STATE_RUNNING, Bad: 1})
	if lower.GetBad() != 3 {
		t.Errorf("got %d bad answers after a leader that knows of fewer, want the 3 of before", lower.GetBad())
	}
	over, _ := Abandon(epoch, lower)
	if got, ok := Apply(epoch, over, &wire.RolloutAdvance{Order: 5, Step: 3, Share: 10, State: wire.RolloutState_ROLLOUT_STATE_RUNNING}); ok {
		t.Errorf("got %v after the rollback, want no change", got)
	}
}

// TestNodeFailing covers a node that stops by itself: at a few clear failures, not at ordinary ones or if the old release fails too.
func TestNodeFailing(t *testing.T) {
	counts := func(oldAnswers, oldFailures, answers, failures uint64) map[Key]Counts {
		return map[Key]Counts{{Route: "a"}: {Answers: oldAnswers, Failures: oldFailures}, {Route: "a", New: true}: {Answers: answers, Failures: failures}}
	}
	for _, c := range []struct {
		name   string
		counts map[Key]Counts
		want   bool
	}{
		{"ordinary", counts(1000, 4, 300, 3), false},
		{"two failures", counts(100, 0, 0, 2), false},
		{"all fail", counts(100, 0, 0, 3), true},
		{"half fail", counts(100, 0, 5, 5), true},
		{"old fails too", counts(50, 50, 5, 5), false},
	} {
		if got := Failing(c.counts); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}

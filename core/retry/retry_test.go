package retry

import (
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against retrying work that may have run and is not idempotent, against retries past a limit, and against repicks that
// use budget.
func TestDecide(t *testing.T) {
	base := FailedAttempt{Kind: outcome.Unknown, Code: outcome.Reset, Idempotent: true, Retries: 2, Share: 2, Now: start, Deadline: start.Add(time.Second)}
	tests := []struct {
		name   string
		change func(a *FailedAttempt)
		want   Verdict
	}{
		{"idempotent", func(*FailedAttempt) {}, Verdict{Retry, ReasonSafe}},
		{"lost, idempotent", func(a *FailedAttempt) { a.Kind = outcome.Lost }, Verdict{Retry, ReasonSafe}},
		{"not idempotent", func(a *FailedAttempt) { a.Idempotent = false }, Verdict{Stop, ReasonNotIdempotent}},
		{"unrecognized kind, not idempotent", func(a *FailedAttempt) { a.Idempotent, a.Kind = false, "new" }, Verdict{Stop, ReasonNotIdempotent}},
		{"draining code without proof", func(a *FailedAttempt) { a.Idempotent, a.Code = false, outcome.Draining }, Verdict{Stop, ReasonNotIdempotent}},
		{"answered", func(a *FailedAttempt) { a.Kind = outcome.None }, Verdict{Stop, ReasonAnswered}},
		{"overload, not idempotent", func(a *FailedAttempt) { a.Kind, a.Code, a.Idempotent = outcome.NotRun, outcome.Overload, false }, Verdict{Retry, ReasonNotRun}},
		{"draining uses no budget", func(a *FailedAttempt) { a.Kind, a.Code, a.Share, a.Retries = outcome.NotRun, outcome.Draining, 0, 0 }, Verdict{Repick, ReasonUnavailable}},
		{"repicks are limited", func(a *FailedAttempt) { a.Kind, a.Code, a.Repicks = outcome.NotRun, outcome.Unreachable, 3 }, Verdict{Stop, ReasonRepicks}},
		{"repick past deadline", func(a *FailedAttempt) { a.Kind, a.Code, a.Now = outcome.NotRun, outcome.Draining, a.Deadline }, Verdict{Stop, ReasonDeadline}},
		{"busy uses no budget", func(a *FailedAttempt) {
			a.Kind, a.Code, a.Share, a.Retries, a.Repicks = outcome.NotRun, outcome.Busy, 0, 0, 1
		}, Verdict{Repick, ReasonBusy}},
		{"limited uses no budget", func(a *FailedAttempt) {
			a.Kind, a.Code, a.Share, a.Retries, a.Repicks = outcome.NotRun, outcome.Limited, 0, 0, 1
		}, Verdict{Repick, ReasonBusy}},
		{"third limited endpoint", func(a *FailedAttempt) { a.Kind, a.Code, a.Repicks = outcome.NotRun, outcome.Limited, 2 }, Verdict{Stop, ReasonBusyRepicks}},
		{"limited without proof, not idempotent", func(a *FailedAttempt) { a.Idempotent, a.Code = false, outcome.Limited }, Verdict{Stop, ReasonNotIdempotent}},
		{"quarantined", func(a *FailedAttempt) { a.Kind, a.Code = outcome.NotRun, outcome.Quarantined }, Verdict{Stop, ReasonPermanent}},
		{"late", func(a *FailedAttempt) { a.Kind, a.Code = outcome.NotRun, outcome.DeadlineExceeded }, Verdict{Stop, ReasonPermanent}},
		{"canceled", func(a *FailedAttempt) { a.Code = outcome.Canceled }, Verdict{Stop, ReasonPermanent}},
		{"retries of the route used", func(a *FailedAttempt) { a.Used = 2 }, Verdict{Stop, ReasonRetries}},
		{"no share left", func(a *FailedAttempt) { a.Share = 0 }, Verdict{Stop, ReasonShare}},
		{"past deadline", func(a *FailedAttempt) { a.Now = a.Deadline }, Verdict{Stop, ReasonDeadline}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a := base
			c.change(&a)
			if got := Decide(a, NewBudget()); got != c.want {
				t.Errorf("Decide: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against retries above 10% of the recent calls, and against no retries at all after few calls.
func TestBudget(t *testing.T) {
	tests := []struct {
		name    string
		calls   int           // number of calls in each of 10 seconds
		want    int           // number of retries allowed of 2,000 requested in the last second
		elapsed time.Duration // time from the last second of calls to the retries
	}{
		{"idle", 0, 3, 0},
		{"few", 10, 10, 0},
		{"many", 1000, 1000, 0},
		{"calls are old", 1000, 3, 20 * time.Second},
		{"clock before 1970", 0, 3, -100 * 365 * 24 * time.Hour},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget()
			for s := range 10 {
				for range c.calls {
					b.Count(start.Add(time.Duration(s) * time.Second))
				}
			}
			got := 0
			for range 2000 {
				if b.Take(start.Add(9*time.Second + c.elapsed)) {
					got++
				}
			}
			if got != c.want {
				t.Errorf("retries granted: got %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against retries that multiply per hop: in a chain of 24 hops the last hop always fails and local budgets are unlimited.
// Without shares the last hop would be called (1+3)^24 times.
func TestChainDoesNotMultiply(t *testing.T) {
	attempts := 0
	budget := NewBudget()
	for range 10000 {
		budget.Count(start)
	}
	var call func(depth, share int)
	call = func(depth, share int) {
		if depth == outcome.MaxDepth {
			attempts++
			return
		}
		for used := 0; ; used++ {
			give, keep := Split(share)
			call(depth+1, give)
			a := FailedAttempt{Kind: outcome.Unknown, Code: outcome.Reset, Idempotent: true, Retries: 3, Used: used, Share: keep, Now: start, Deadline: start.Add(time.Second)}
			if Decide(a, budget).Action != Retry {
				return
			}
			share = keep - 1
		}
	}
	call(1, Initial(3))
	if want := 1 + MaxShare; attempts > want || attempts < 2 {
		t.Errorf("attempts at the last hop: got %d, want 2 to %d", attempts, want)
	}
	t.Logf("attempts at the last hop of %d: %d", outcome.MaxDepth, attempts)
}

func BenchmarkCount(b *testing.B) {
	k := NewBudget()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			k.Count(start)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	k := NewBudget()
	a := FailedAttempt{Kind: outcome.Unknown, Code: outcome.Reset, Idempotent: true, Retries: 2, Share: 2, Now: start, Deadline: start.Add(time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		Decide(a, k)
	}
}

// Guards against a refusal of a backend server that is retried in another way once its node states that there was room.
func TestDeclinedIsRetriedAsOverload(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, share := range []int{0, 2} {
		for _, retries := range []int{0, 2} {
			decide := func(c outcome.Code) Verdict {
				return Decide(FailedAttempt{Kind: outcome.NotRun, Code: c, Retries: retries, Share: share, Now: now, Deadline: now.Add(time.Second)}, NewBudget())
			}
			if got, want := decide(outcome.Declined), decide(outcome.Overload); got != want {
				t.Errorf("share %d, %d retries: got %+v, want %+v", share, retries, got, want)
			}
		}
	}
}

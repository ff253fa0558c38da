package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limited is a simulated endpoint with a rate limit; it records when calls start. All times count from start.
type limited struct {
	gate      *Gate
	now       time.Duration
	work      time.Duration
	objective time.Duration              // of each call, from its arrival
	since     map[string]time.Duration   // arrival of each call
	ends      map[time.Duration][]string // calls by the time at which they end
	starts    []time.Duration
	heldLong  int // calls refused after more than an eighth of their objective
}

func newLimited(slots int, work time.Duration) *limited {
	return &limited{
		gate: New(WithSlots(slots), WithFixedLimit(), WithSingleCaller(), WithShares()), work: work,
		ends: map[time.Duration][]string{}, since: map[string]time.Duration{},
	}
}

func (l *limited) apply(list []Decision) {
	for _, d := range list {
		switch d.Action {
		case Admit:
			l.starts = append(l.starts, l.now)
			l.ends[l.now+l.work] = append(l.ends[l.now+l.work], d.Call)
		case Refuse:
			if l.now-l.since[d.Call] > l.objective/8 {
				l.heldLong++
			}
		}
		if d.Displaced != nil {
			l.apply([]Decision{*d.Displaced})
		}
	}
}

// run sends calls at random moments with the given mean rate until the given time, in steps of a millisecond.
func (l *limited) run(until time.Duration, offered, objective time.Duration, random *rand.Rand) {
	l.objective = objective
	for ; l.now < until; l.now += time.Millisecond {
		at := start.Add(l.now)
		for _, call := range l.ends[l.now] {
			l.apply(l.gate.Done(at, call, l.work, true))
		}
		delete(l.ends, l.now)
		if next := l.gate.Next(at); !next.IsZero() && !next.After(at) {
			l.apply(l.gate.Tick(at))
		}
		for offered > 0 && random.Float64() < float64(time.Millisecond)/float64(offered) {
			call := fmt.Sprint("c", l.now, len(l.since))
			l.since[call] = l.now
			l.apply([]Decision{l.gate.Decide(at, Request{
				Call: call, Kind: "lookup", Priority: random.IntN(3), Objective: at.Add(objective), Deadline: at.Add(2 * objective),
			})})
		}
	}
}

// startsIn returns the largest number of starts within a time window from the given moment on.
func (l *limited) startsIn(window, from time.Duration) int {
	busiest, first := 0, 0
	for i, at := range l.starts {
		for l.starts[first] < from || at-l.starts[first] > window {
			if first == i {
				break
			}
			first++
		}
		if at >= from {
			busiest = max(busiest, i-first+1)
		}
	}
	return busiest
}

// Load pattern: steady and bursty demand above a stated rate limit. Guards against an endpoint that gets more than the users' rule
// allows (one and a half times the rate in any 4 s, and 5 more), against one that gets much less while callers wait, and against
// callers that are refused only after a long wait.
func TestRateLimit(t *testing.T) {
	const window, length = 4 * time.Second, 30 * time.Second
	for _, perSecond := range []float64{0.5, 2, 5, 13.2, 40} {
		for _, factor := range []float64{1.3, 3, 10} {
			t.Run(fmt.Sprintf("%v per second, demand %v", perSecond, factor), func(t *testing.T) {
				l := newLimited(12, 160*time.Millisecond)
				l.gate.SetRate(start, perSecond)
				objective := max(600*time.Millisecond, time.Duration(3/perSecond*float64(time.Second)))
				l.run(length, time.Duration(float64(time.Second)/(perSecond*factor)), objective, rand.New(rand.NewPCG(3, 5)))
				if got, allowed := l.startsIn(window, 0), int(1.5*perSecond*window.Seconds())+5; got > allowed {
					t.Errorf("starts in %s: got %d, want at most %d", window, got, allowed)
				}
				if got, want := float64(len(l.starts)), 0.9*perSecond*length.Seconds(); got < want {
					t.Errorf("starts in %s while callers wait: got %.0f, want at least %.0f", length, got, want)
				}
				if got, want := l.heldLong, len(l.since)/10+5; got > want {
					t.Errorf("calls refused after more than an eighth of their objective: got %d of %d, want at most %d", got, len(l.since), want)
				}
			})
		}
	}
}

// Guards against more calls than the new rate allows after it was lowered, against a raised or withdrawn limit that is not used,
// and against a burst after a pause without demand.
func TestRateLimitChanges(t *testing.T) {
	const window = 4 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	l := newLimited(12, 100*time.Millisecond)
	l.run(5*time.Second, 20*time.Millisecond, time.Second, random)
	l.gate.SetRate(start.Add(l.now), 20)
	l.run(10*time.Second, 20*time.Millisecond, time.Second, random)
	l.gate.SetRate(start.Add(l.now), 4)
	l.run(20*time.Second, 20*time.Millisecond, time.Second, random)
	if got, allowed := l.startsIn(window, 10*time.Second), 4*6+5; got > allowed {
		t.Errorf("starts in %s after the rate fell to 4: got %d, want at most %d", window, got, allowed)
	}
	l.run(30*time.Second, 0, time.Second, random)
	l.run(35*time.Second, 20*time.Millisecond, time.Second, random)
	if got, allowed := l.startsIn(window, 30*time.Second), 4*6+5; got > allowed {
		t.Errorf("starts in %s after a pause: got %d, want at most %d", window, got, allowed)
	}
	before := len(l.starts)
	l.apply(l.gate.SetRate(start.Add(l.now), 30))
	l.run(40*time.Second, 20*time.Millisecond, time.Second, random)
	if got, want := len(l.starts)-before, 30*5*8/10; got < want {
		t.Errorf("starts in 5s after the rate rose to 30: got %d, want at least %d", got, want)
	}
	before = len(l.starts)
	l.apply(l.gate.SetRate(start.Add(l.now), 0))
	l.run(45*time.Second, 20*time.Millisecond, time.Second, random)
	if got, want := len(l.starts)-before, 50*5*8/10; got < want {
		t.Errorf("starts in 5s after the limit ended: got %d, want at least %d", got, want)
	}
}

// Guards against refusals that do not tell which limit caused them.
func TestRateLimitRefusal(t *testing.T) {
	l := newLimited(12, 100*time.Millisecond)
	l.gate.SetRate(start, 2)
	var last Decision
	for i := range 5 {
		last = l.gate.Decide(start, Request{Call: fmt.Sprint(i), Kind: "lookup", Objective: start.Add(time.Second), Deadline: start.Add(2 * time.Second)})
	}
	if last.Action != Refuse || last.Failure.Code != "limited" {
		t.Fatalf("fifth call: got %+v, want a refusal with code limited", last)
	}
	if got, want := last.Failure.Detail, "0.0 calls per second started with a limit of 2.0."; len(got) < len(want) || got[len(got)-len(want):] != want {
		t.Errorf("detail: got %q, want an end of %q", got, want)
	}
	if last.Failure.RetryAfter < 500*time.Millisecond {
		t.Errorf("Retry-After: got %s, want at least the 500ms until the next call may start", last.Failure.RetryAfter)
	}
}

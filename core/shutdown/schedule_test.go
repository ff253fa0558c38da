package shutdown

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// request is a request of a random schedule. Its times are those that it would need without limits.
type request struct {
	head     time.Time
	deadline time.Time
	expected time.Duration
	bound    bool
	body     time.Duration // from the head to the last byte of the body
	attempts []attempt
}

// attempt is one attempt of a request: a wait in a queue, then the work of the endpoint, then a wait before the next attempt.
type attempt struct {
	queue, work, pause time.Duration
}

func randomRequest(r *rand.Rand, length time.Duration) request {
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d) + 1)) }
	head := begin.Add(upTo(length+length/5) - length/10)
	q := request{head: head, deadline: head.Add(upTo(2 * length)), expected: upTo(length), body: upTo(length / 2)}
	if r.IntN(3) == 0 {
		q.expected = 0
	}
	if r.IntN(2) == 0 {
		q.body = 0
	}
	q.bound = r.IntN(3) == 0
	for range 1 + r.IntN(4) {
		q.attempts = append(q.attempts, attempt{queue: upTo(length / 4), work: upTo(length / 2), pause: upTo(length / 8)})
	}
	return q
}

// player plays a request against a Stop as a node does and checks the promises of the package.
type player struct {
	t    *testing.T
	stop *Stop
	q    request
}

// wait returns the end of a wait that the request's deadline and Until bound, and whether the wait was completed.
func (p player) wait(now time.Time, d time.Duration) (time.Time, bool) {
	limit := earliest(p.q.deadline, p.decide(now).Until)
	if done := now.Add(d); done.Before(limit) {
		return done, true
	}
	return earliest(now.Add(d), limit), false
}

func (p player) decide(now time.Time) Decision {
	return p.stop.Decide(now, Work{Deadline: p.q.deadline, Expected: p.q.expected, Bound: p.q.bound})
}

// mayBegin asks and checks a refusal: work that could certainly be finished must not be refused.
func (p player) mayBegin(now time.Time) bool {
	if !now.Before(p.q.deadline) {
		return false
	}
	d, end := p.decide(now), p.stop.End()
	if d.Allowed || !now.Before(p.stop.LastRead()) {
		return d.Allowed
	}
	inNotice := !p.q.bound && now.Before(p.stop.NoticeEnd()) && now.Add(p.q.expected).Before(end)
	if inNotice || p.q.deadline.Add(answerMargin).Before(end) {
		p.t.Errorf("refused at %v: got a refusal of %+v, want it allowed", now.Sub(begin), p.q)
	}
	return false
}

// play returns the number of attempts that ran.
func (p player) play() int {
	now, ok := p.q.head, false
	if !p.mayBegin(now) {
		return 0
	}
	if now, ok = p.wait(now, p.q.body); !ok {
		return 0
	}
	for i, a := range p.q.attempts {
		if !p.mayBegin(now) {
			return i
		}
		if now, ok = p.wait(now, a.queue); !ok || !p.mayBegin(now) {
			return i
		}
		ends := earliest(p.q.deadline, now.Add(a.work))
		late := !now.Before(p.stop.NoticeEnd()) || p.q.bound && !now.Before(begin)
		if answered := ends.Add(answerMargin); late && answered.After(p.stop.End()) {
			p.t.Errorf("begun at %v: got the answer of %+v at %v, want it by the end", now.Sub(begin), p.q, answered.Sub(begin))
		}
		if now, ok = p.wait(ends, a.pause); !ok {
			return i + 1
		}
	}
	return len(p.q.attempts)
}

// Guards against work that is allowed after the notice, or bound work after the beginning, and still runs at the end, however it waited before, and against
// refusals of work that could certainly be finished.
func TestRandomSchedules(t *testing.T) {
	const seeds, requests = 200, 100
	ran := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 0))
		notice, grace := time.Duration(r.IntN(3000))*time.Millisecond, time.Duration(r.IntN(6000))*time.Millisecond
		s := New(WithNotice(notice), WithGrace(grace))
		s.Begin(begin)
		for range requests {
			ran += player{t, s, randomRequest(r, notice+grace+time.Millisecond)}.play()
		}
		if t.Failed() {
			t.Fatalf("seed %d: notice %v, grace %v", seed, notice, grace)
		}
	}
	if ran < seeds*requests/10 {
		t.Errorf("got %d attempts that ran, want at least %d", ran, seeds*requests/10)
	}
}

// Guards against a refusal that a later question or a later deadline turns into a permission, and against an Until that
// differs from the answers.
func TestDecideMonotonic(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := New(WithNotice(time.Duration(r.IntN(3000))*time.Millisecond), WithGrace(time.Duration(r.IntN(6000))*time.Millisecond))
		s.Begin(begin)
		w := Work{Deadline: at(r.IntN(12000)), Expected: time.Duration(r.IntN(8000)) * time.Millisecond, Bound: r.IntN(2) == 0}
		earlier := at(r.IntN(10000))
		later := earlier.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
		first, second := s.Decide(earlier, w), s.Decide(later, w)
		if !first.Allowed && second.Allowed {
			t.Errorf("seed %d: got %+v refused at %v and allowed at %v", seed, w, earlier, later)
		}
		longer := w
		longer.Deadline = w.Deadline.Add(time.Duration(r.IntN(5000)) * time.Millisecond)
		if s.Decide(earlier, longer).Allowed && !first.Allowed {
			t.Errorf("seed %d: got %+v refused and %+v allowed at %v", seed, w, longer, earlier)
		}
		if s.Decide(earlier, longer).Until.After(first.Until) {
			t.Errorf("seed %d: got a later Until for %+v than for %+v", seed, longer, w)
		}
		if !s.Decide(first.Until.Add(-1), w).Allowed || s.Decide(first.Until, w).Allowed {
			t.Errorf("seed %d: got answers around Until that differ from it for %+v", seed, w)
		}
	}
}

// Guards against a second signal that is handled at the same time and sets other times than those already told.
func TestBeginTogether(t *testing.T) {
	s := New()
	var wait sync.WaitGroup
	ends := make([]time.Time, 16)
	for i := range ends {
		wait.Go(func() {
			s.Begin(at(i))
			ends[i] = s.End()
		})
	}
	wait.Wait()
	for i, got := range ends {
		if want := s.End(); got != want {
			t.Errorf("caller %d: got end %v, want %v", i, got, want)
		}
	}
}

package shutdown

import (
	"sync/atomic"
	"time"
)

const (
	// answerMargin is the time after the deadline of work in which its answer or failure still reaches the caller.
	answerMargin = 250 * time.Millisecond
	// lastReadMargin is the time before the end in which nothing begins, so that refusals are written before the end.
	lastReadMargin = 100 * time.Millisecond
	// refusalWait is short, because other hosts can serve a refused request at once.
	refusalWait = 100 * time.Millisecond

	defaultNotice = time.Second
	defaultGrace  = 10 * time.Second
)

// Phase is a part of a planned stop.
type Phase uint8

// Phases of a planned stop, in their order.
const (
	Serving Phase = iota // no stop has begun
	Notice               // the listeners are open; work begins if its expected time fits before the end
	Finish               // the listeners are closed; work begins only if its deadline lies before the end
	Ended                // what still runs is cut
)

// Work describes work that asks to begin.
type Work struct {
	Deadline time.Time     // time by which the work ends in any case; zero if it has none
	Expected time.Duration // usual time of the work; 0 if unknown
	Bound    bool          // the work may begin only if its deadline leaves time for its answer, also in the notice
}

// Decision says whether work may begin.
type Decision struct {
	Allowed    bool
	Until      time.Time     // time before which work with this deadline must begin, for what has to wait first; zero before Begin
	Left       time.Duration // time until the end of the stop; 0 before Begin
	RetryAfter time.Duration // for a refusal, without jitter; 0 if the work is allowed
}

// Stop is the planned stop of one process; it is safe for concurrent use.
type Stop struct {
	notice   time.Duration
	grace    time.Duration
	schedule atomic.Pointer[schedule] // nil before Begin
}

// schedule holds the times of a stop that has begun.
type schedule struct {
	begin     time.Time
	noticeEnd time.Time
	lastRead  time.Time
	end       time.Time
}

// Option changes a default of New: a notice of 1 s and a grace time of 10 s.
type Option func(*Stop)

// WithNotice sets the time from Begin until the listeners close; a negative value counts as 0.
func WithNotice(d time.Duration) Option { return func(s *Stop) { s.notice = max(d, 0) } }

// WithGrace sets the time from the end of the notice until the end of the stop; a negative value counts as 0.
func WithGrace(d time.Duration) Option { return func(s *Stop) { s.grace = max(d, 0) } }

// New returns a Stop that has not begun.
func New(opts ...Option) *Stop {
	s := &Stop{notice: defaultNotice, grace: defaultGrace}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Begin starts the stop and reports whether it did; a second call changes nothing.
func (s *Stop) Begin(now time.Time) bool {
	noticeEnd := now.Add(s.notice)
	end := noticeEnd.Add(s.grace)
	return s.schedule.CompareAndSwap(nil, &schedule{begin: now, noticeEnd: noticeEnd, lastRead: end.Add(-lastReadMargin), end: end})
}

// Phase returns the phase at a time; before Begin it is Serving.
func (s *Stop) Phase(now time.Time) Phase {
	p := s.schedule.Load()
	switch {
	case p == nil:
		return Serving
	case now.Before(p.noticeEnd):
		return Notice
	case now.Before(p.end):
		return Finish
	}
	return Ended
}

// Decide says whether work may begin at a time. Work whose deadline leaves time for its answer may begin until LastRead, other
// work only in the notice and only if it is not bound and its expected time ends before the end.
func (s *Stop) Decide(now time.Time, w Work) Decision {
	p := s.schedule.Load()
	if p == nil {
		return Decision{Allowed: true}
	}
	d := Decision{Until: p.until(w), Left: max(p.end.Sub(now), 0)}
	d.Allowed = now.Before(d.Until)
	if !d.Allowed {
		d.RetryAfter = refusalWait
	}
	return d
}

// until returns the time before which work must begin.
func (p *schedule) until(w Work) time.Time {
	if !w.Deadline.IsZero() && !w.Deadline.Add(answerMargin).After(p.end) {
		return p.lastRead
	}
	if w.Bound {
		return p.begin
	}
	return earliest(p.noticeEnd, p.lastRead, p.end.Add(-max(w.Expected, 0)))
}

func earliest(first time.Time, more ...time.Time) time.Time {
	for _, t := range more {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

// NoticeEnd returns the time at which the listeners close; zero before Begin.
func (s *Stop) NoticeEnd() time.Time {
	if p := s.schedule.Load(); p != nil {
		return p.noticeEnd
	}
	return time.Time{}
}

// LastRead returns the time from which no request is read; zero before Begin.
func (s *Stop) LastRead() time.Time {
	if p := s.schedule.Load(); p != nil {
		return p.lastRead
	}
	return time.Time{}
}

// End returns the time at which what still runs is cut; zero before Begin.
func (s *Stop) End() time.Time {
	if p := s.schedule.Load(); p != nil {
		return p.end
	}
	return time.Time{}
}

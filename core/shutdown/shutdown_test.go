package shutdown

import (
	"testing"
	"time"
)

var begin = time.Unix(1_000, 0)

// at returns the time that lies the given number of milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// Guards against work that begins although it can outlast the end, and against refusals of work that fits before the end.
func TestDecide(t *testing.T) {
	const never = -1 // the work has no deadline
	tests := []struct {
		name     string
		now      int // ms after begin
		deadline int // ms after begin
		expected time.Duration
		allowed  bool
		until    int // ms after begin
		bound    bool
	}{
		{"notice, expected time fits", 0, 9000, 400 * time.Millisecond, true, 2500, false},
		{"notice, expected time unknown", 2499, 9000, 0, true, 2500, false},
		{"notice, no deadline", 2499, never, 0, true, 2500, false},
		{"notice, expected time ends just before the end", 999, 9000, 4500 * time.Millisecond, true, 1000, false},
		{"notice, expected time ends at the end", 1000, 9000, 4500 * time.Millisecond, false, 1000, false},
		{"notice, expected time longer than the stop", 0, 9000, 6 * time.Second, false, -500, false},
		{"notice, deadline fits although the expected time does not", 1500, 5250, 9 * time.Second, true, 5400, false},
		{"notice, negative expected time", 0, 9000, -time.Second, true, 2500, false},
		{"end of the notice, deadline after the end", 2500, 9000, 0, false, 2500, false},
		{"finish, deadline and answer end at the end", 2500, 5250, 0, true, 5400, false},
		{"finish, answer would end after the end", 2500, 5251, 0, false, 2500, false},
		{"finish, no deadline", 3000, never, 0, false, 2500, false},
		{"finish, expected time fits but not the deadline", 3000, 9000, time.Millisecond, false, 2500, false},
		{"just before the last read", 5399, 5250, 0, true, 5400, false},
		{"last read", 5400, 5250, 0, false, 5400, false},
		{"after the end", 6000, 100, 0, false, 5400, false},
		{"bound, at the beginning of the stop", 0, 9000, 400 * time.Millisecond, false, 0, true},
		{"bound, notice, deadline fits", 1500, 5250, 0, true, 5400, true},
		{"bound, notice, answer would end after the end", 1500, 5251, 0, false, 0, true},
		{"bound, finish, deadline fits", 3000, 5250, 0, true, 5400, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := New(WithNotice(2500*time.Millisecond), WithGrace(3*time.Second))
			w := Work{Deadline: at(c.deadline), Expected: c.expected, Bound: c.bound}
			if c.deadline == never {
				w.Deadline = time.Time{}
			}
			if got := s.Decide(at(c.now), w); got != (Decision{Allowed: true}) {
				t.Errorf("before Begin: got %+v, want work without a limit", got)
			}
			s.Begin(begin)
			want := Decision{Allowed: c.allowed, Until: at(c.until), Left: max(at(5500).Sub(at(c.now)), 0)}
			if !c.allowed {
				want.RetryAfter = refusalWait
			}
			if got := s.Decide(at(c.now), w); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// Guards against a grace time shorter than the last read, with which work would begin after the notice or before the stop.
func TestDecideShortGrace(t *testing.T) {
	tests := []struct {
		name          string
		notice, grace time.Duration
		until         int // ms after begin
	}{
		{"no grace", time.Second, 0, 900},
		{"negative grace", time.Second, -time.Second, 900},
		{"no time at all", 0, 0, -100},
		{"no notice", -time.Second, time.Second, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := New(WithNotice(c.notice), WithGrace(c.grace))
			s.Begin(begin)
			if got := s.Decide(begin, Work{Deadline: at(9000)}).Until; !got.Equal(at(c.until)) {
				t.Errorf("got until %v, want %v", got.Sub(begin), at(c.until).Sub(begin))
			}
		})
	}
}

// Guards against a phase that begins early or late, and against a second signal that moves the times of a stop.
func TestPhase(t *testing.T) {
	s := New(WithNotice(2500*time.Millisecond), WithGrace(3*time.Second))
	if got := s.Phase(begin); got != Serving {
		t.Errorf("before Begin: got phase %d, want %d", got, Serving)
	}
	if !s.NoticeEnd().IsZero() || !s.LastRead().IsZero() || !s.End().IsZero() {
		t.Errorf("before Begin: got times %v, %v, %v, want zero", s.NoticeEnd(), s.LastRead(), s.End())
	}
	if !s.Begin(begin) {
		t.Error("first Begin: got false, want true")
	}
	if s.Begin(at(1000)) {
		t.Error("second Begin: got true, want false")
	}
	if s.NoticeEnd() != at(2500) || s.LastRead() != at(5400) || s.End() != at(5500) {
		t.Errorf("got times %v, %v, %v, want those of the first Begin", s.NoticeEnd(), s.LastRead(), s.End())
	}
	tests := []struct {
		now  int // ms after begin
		want Phase
	}{{0, Notice}, {2499, Notice}, {2500, Finish}, {5499, Finish}, {5500, Ended}, {9000, Ended}}
	for _, c := range tests {
		if got := s.Phase(at(c.now)); got != c.want {
			t.Errorf("%d ms after Begin: got phase %d, want %d", c.now, got, c.want)
		}
	}
}

package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"godwitspindle/core/shutdown"
)

// Guards against work on claims that goes on after the end of the stop, and against an error although no work was left.
func TestShutdownCutsClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New()
		c := &call{handler: h}
		h.background(func() {
			_ = c.withStoreTimeout(func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			}, storeAttempts)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		begin := time.Now()
		err := h.Shutdown(ctx)
		if cut, ok := err.(*ClaimsCutError); !ok || cut.Claims != 1 || time.Since(begin) != 300*time.Millisecond {
			t.Errorf("got %v after %v, want a *ClaimsCutError for one claim after 300ms", err, time.Since(begin))
		}
		for range 100 {
			if err := New().Shutdown(ctx); err != nil {
				t.Fatalf("without claims, after the end: got %v, want none", err)
			}
		}
	})
}

// Guards against a release of a claim that takes so long that the refusal no longer reaches the caller before the end of the stop.
func TestStoreLimit(t *testing.T) {
	begin := time.Unix(1000, 0)
	s := shutdown.New(shutdown.WithNotice(time.Second), shutdown.WithGrace(3*time.Second))
	now := begin
	h := New(WithStop(s.Decide), WithNow(func() time.Time { return now }))
	if got := h.storeLimit(); got != storeTimeout {
		t.Errorf("before the stop: got %v, want %v", got, storeTimeout)
	}
	s.Begin(begin)
	for at, want := range map[int]time.Duration{0: storeTimeout, 3000: time.Second - answerReserve, 3900: 100*time.Millisecond - answerReserve, 5000: 0} {
		now = begin.Add(ms(at))
		if got := h.storeLimit(); got != want {
			t.Errorf("%d ms after the beginning: got %v, want %v", at, got, want)
		}
	}
}

package host

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/io/backend"
)

// Guards against a queued call that waits until its deadline although the rate allows it: it began to wait while all slots were in
// use, and no slot becomes free when the rate lets it start.
func TestQueueWakesForRate(t *testing.T) {
	const wait = 5 * time.Second
	q := newAdmissionQueue(1, 0, admission.WithFixedLimit(), admission.WithSingleCaller())
	request := func(i int) admission.Request {
		now := time.Now()
		return admission.Request{Call: fmt.Sprint("c", i), Kind: "lookup", Deadline: now.Add(wait), Objective: now.Add(wait)}
	}
	q.setRate(5)
	if f := q.enter(t.Context(), request(0)); f != nil {
		t.Fatal(f)
	}
	begin := time.Now()
	started := make(chan time.Duration, 1)
	go func() {
		if f := q.enter(t.Context(), request(1)); f != nil {
			t.Error(f)
		}
		started <- time.Since(begin)
	}()
	for q.queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	q.leave("c0", backend.Result{Took: time.Millisecond, OK: true})
	if got := <-started; got > wait/2 {
		t.Errorf("start of the second call: got after %s, want after 200ms", got)
	}
}

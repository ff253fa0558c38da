package host

import (
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/notice"
	"godwitspindle/io/backend"
	"godwitspindle/io/process"
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

// Guards against a metric that does not show how much of a limit is used, or that goes on showing an endpoint without a limit.
func TestLimitUse(t *testing.T) {
	h := &Host{metrics: process.NewMetrics(), locals: map[string]*localEndpoint{}}
	e := &localEndpoint{queue: newAdmissionQueue(4, 0)}
	h.locals["archive/a"], h.locals["archive/b"] = e, &localEndpoint{queue: newAdmissionQueue(4, 0)}
	for i := range 2 {
		if f := e.queue.enter(t.Context(), admission.Request{Call: fmt.Sprint(i), Deadline: time.Now().Add(time.Second)}); f != nil {
			t.Fatal(f)
		}
	}
	for _, c := range []struct {
		rate notice.Rate
		want string
	}{
		{5, "archive/a:0.5 "},
		{0, ""},
	} {
		e.limit.Store(&notice.Limit{Rate: c.rate})
		h.measureLimitUse(time.Now())
		if got := limitUse(t, h); got != c.want {
			t.Errorf("limit of %v: got %q shown, want %q", c.rate, got, c.want)
		}
	}
}

// limitUse returns the endpoints that the metric for the use of limits shows, with their values.
func limitUse(t *testing.T, h *Host) string {
	t.Helper()
	families, err := h.metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, f := range families {
		if f.GetName() != "godwitspindle_limit_started_per_second" {
			continue
		}
		for _, m := range f.GetMetric() {
			text += fmt.Sprintf("%s:%v ", m.GetLabel()[0].GetValue(), m.GetGauge().GetValue())
		}
	}
	return text
}

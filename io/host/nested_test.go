package host

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"godwitspindle/core/admission"
	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

// Load pattern: parents whose nested calls are refused. Guards against an effect at endpoints that have stated no pace, and against a
// refusal that does not state that the request has not run, is tried at other endpoints, has no time to return or fills the log.
func TestParentsRefused(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		t.Run(fmt.Sprint(enabled), func(t *testing.T) {
			lines := 0
			isEnabled := func(endpoint string) bool { return enabled && endpoint == "front/a" }
			n := newNestedCalls(isEnabled, process.NewMetrics(), funcr.New(func(string, string) { lines++ }, funcr.Options{}))
			var refused []*outcome.Failure
			for i := range 50 {
				m := hop.Meta{Call: fmt.Sprint(i), Service: "front", Endpoint: "a", Route: "order", Depth: 1, Objective: time.Second}
				if f := n.refusal("front/a", m); f != nil {
					refused = append(refused, f)
					continue
				}
				n.started("front/a", m)
				n.finished(caller.Finished{Service: "store", Parent: n.parent(m), Code: outcome.Busy, Kind: outcome.NotRun})
				r := n.ended(m.Call, backend.Result{Status: http.StatusBadGateway, OK: true})
				if r.OK == enabled {
					t.Fatalf("time of a run without its calls counts: got %v, want %v", r.OK, !enabled)
				}
			}
			n.measure(time.Now())
			for range 50 {
				if f := n.refusal("front/b", hop.Meta{Route: "order"}); f != nil {
					t.Fatalf("endpoint without a pace: got %v, want no refusal", f)
				}
			}
			if !enabled {
				if len(refused) != 0 || lines != 0 {
					t.Errorf("got %d refusals and %d log lines, want none", len(refused), lines)
				}
				return
			}
			if len(refused) < 25 || lines != 1 {
				t.Errorf("got %d refusals of 50 and %d log lines, want at least 25 and one", len(refused), lines)
			}
			for _, f := range refused {
				if f.Code != outcome.Downstream || f.Kind != outcome.NotRun || f.Status != http.StatusServiceUnavailable || f.RetryAfter < 100*time.Millisecond || f.RetryAfter > time.Second {
					t.Fatalf("refusal: got %+v, want downstream, not run, 503, after 0.1 s to 1 s", f)
				}
			}
			v := retry.Decide(retry.FailedAttempt{Kind: outcome.NotRun, Code: outcome.Downstream, Retries: 2, Share: 2, Now: time.Now(), Deadline: time.Now().Add(time.Second)}, retry.NewBudget())
			if v.Action != retry.Stop {
				t.Errorf("after the refusal: got action %d, want none", v.Action)
			}
		})
	}
}

// Guards against results of nested calls that are taken for a lack of room although a lower load would not change them, or the reverse.
func TestNestedResults(t *testing.T) {
	tests := []struct {
		f    caller.Finished
		want string
	}{
		{caller.Finished{}, "served"},
		{caller.Finished{Shed: true}, "refused"},
		{caller.Finished{Code: outcome.Busy, Kind: outcome.NotRun}, "refused"},
		{caller.Finished{Code: outcome.Overload, Kind: outcome.Unknown}, "refused"},
		{caller.Finished{Code: outcome.Downstream, Kind: outcome.NotRun}, "refused"},
		{caller.Finished{Code: outcome.NoEndpoint, Kind: outcome.NotRun}, "refused"},
		{caller.Finished{Code: outcome.DeadlineExceeded, Kind: outcome.NotRun}, "refused"},
		{caller.Finished{Code: outcome.DeadlineExceeded, Kind: outcome.Unknown}, "late"},
		{caller.Finished{Code: outcome.Declined, Kind: outcome.NotRun}, "failed"},
		{caller.Finished{Code: outcome.Reset, Kind: outcome.Unknown}, "failed"},
		{caller.Finished{Code: outcome.Truncated, Kind: outcome.Lost}, "failed"},
		{caller.Finished{Code: outcome.NoRoute, Kind: outcome.NotRun}, "failed"},
		{caller.Finished{Code: outcome.Quarantined, Kind: outcome.NotRun}, "failed"},
	}
	for _, c := range tests {
		c.f.Route = &config.Route{}
		if got := nestedResult(c.f).String(); got != c.want {
			t.Errorf("%+v: got %s, want %s", c.f, got, c.want)
		}
	}
}

// Guards against a refusal of a backend server that had room, a fault of its own, being taken for a lack of room, and against the reverse.
func TestDeclined(t *testing.T) {
	n := newNestedCalls(func(string) bool { return true }, process.NewMetrics(), logr.Discard())
	n.enabled = func(endpoint string) bool { return endpoint == "store/a" }
	overload := &outcome.Failure{Code: outcome.Overload, Kind: outcome.NotRun, RetryAfter: time.Second}
	tests := []struct {
		name     string
		endpoint string
		err      error
		stats    admission.Stats
		want     outcome.Code
	}{
		{"room", "a", overload, admission.Stats{Running: 3, Limit: 12}, outcome.Declined},
		{"last slot", "a", overload, admission.Stats{Running: 11, Limit: 12}, outcome.Overload},
		{"limit below the slots", "a", overload, admission.Stats{Running: 5, Limit: 6, Slots: 12}, outcome.Overload},
		{"calls wait", "a", overload, admission.Stats{Running: 3, Queued: 1, Limit: 12}, outcome.Overload},
		{"no pace", "b", overload, admission.Stats{Running: 3, Limit: 12}, outcome.Overload},
		{"may have run", "a", &outcome.Failure{Code: outcome.Overload, Kind: outcome.Unknown}, admission.Stats{Limit: 12}, outcome.Overload},
		{"another failure", "a", &outcome.Failure{Code: outcome.Busy, Kind: outcome.NotRun}, admission.Stats{Limit: 12}, outcome.Busy},
	}
	for _, c := range tests {
		err := n.classifyRefusal(hop.Meta{Service: "store", Endpoint: c.endpoint}, c.err, func() admission.Stats { return c.stats })
		f := hop.AsFailure(err, "")
		if f.Code != c.want || f.RetryAfter != hop.AsFailure(c.err, "").RetryAfter {
			t.Errorf("%s: got %+v, want code %s and the same time to return", c.name, f, c.want)
		}
	}
}

// Guards against nested calls that are refused for good because they count as movable although no other endpoint follows, and against
// an effect on requests of callers or at endpoints that have stated no pace.
func TestMovable(t *testing.T) {
	n := newNestedCalls(func(string) bool { return true }, process.NewMetrics(), funcr.New(func(string, string) {}, funcr.Options{}))
	n.enabled = func(endpoint string) bool { return endpoint == "store/a" }
	tests := []struct {
		endpoint string
		m        hop.Meta
		want     bool
	}{
		{"store/a", hop.Meta{Depth: 2, Objective: time.Second}, true},
		{"store/a", hop.Meta{Depth: 2, Objective: time.Second, LastAttempt: true}, false},
		{"store/a", hop.Meta{Depth: 2}, false},
		{"store/a", hop.Meta{Depth: 1, Objective: time.Second}, false},
		{"store/b", hop.Meta{Depth: 2, Objective: time.Second}, false},
	}
	for _, c := range tests {
		if got := n.movable(c.endpoint, c.m); got != c.want {
			t.Errorf("%s %+v: got %v, want %v", c.endpoint, c.m, got, c.want)
		}
	}
}

// Guards against a host that does not ask the throttle before it admits a parent, or does not tell it about calls and ends of runs, and
// against a nested call that waits at a full endpoint while others may have room.
func TestNestedCallsOfHost(t *testing.T) {
	metrics := process.NewMetrics()
	h := &Host{metrics: metrics, locals: map[string]*localEndpoint{}, stop: newStopRecord(logr.Discard(), metrics.StopRequests)}
	h.nested = newNestedCalls(func(string) bool { return true }, metrics, logr.Discard())
	h.nested.enabled = func(string) bool { return true }
	for _, key := range []string{"front/a", "store/a"} {
		h.locals[key] = &localEndpoint{queue: newAdmissionQueue(1, 0, admission.WithFixedLimit(), admission.WithShares())}
	}
	refused := 0
	for i := range 50 {
		m := hop.Meta{Call: fmt.Sprint(i), Service: "front", Endpoint: "a", Route: "order", Depth: 1}
		release, f := h.admit(t.Context(), "front/a", m)
		if f != nil && f.Code == outcome.Downstream {
			refused++
			continue
		}
		if f != nil {
			t.Fatal(f)
		}
		h.countCall(caller.Finished{Service: "store", Parent: m.Call, Code: outcome.Busy, Kind: outcome.NotRun})
		release(backend.Result{Status: http.StatusBadGateway, OK: true, Took: time.Millisecond})
	}
	if refused < 25 {
		t.Errorf("refused parents: got %d of 50, want at least 25", refused)
	}
	ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer stop()
	call := func(id string, lastAttempt bool) *outcome.Failure {
		_, f := h.admit(ctx, "store/a", hop.Meta{Call: id, Service: "store", Endpoint: "a", Route: "check", Depth: 2, Objective: time.Second, LastAttempt: lastAttempt})
		return f
	}
	if f := call("running", false); f != nil {
		t.Fatal(f)
	}
	begin := time.Now()
	if f := call("movable", false); f == nil || f.Code != outcome.Busy || time.Since(begin) > 150*time.Millisecond {
		t.Errorf("movable call at a full endpoint: got %v after %s, want busy while time is left", f, time.Since(begin))
	}
	if f := call("last", true); f == nil || f.Code != outcome.DeadlineExceeded {
		t.Errorf("last try at a full endpoint: got %v, want deadline", f)
	}
}

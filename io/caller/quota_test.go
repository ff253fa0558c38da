package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
)

// Guards against a request that is taken off a quota twice or not at all, a refusal that a caller cannot tell from others, and quota that
// a request which did not run keeps.
func TestQuota(t *testing.T) {
	refusal := outcome.Failure{Code: outcome.Quota, Kind: outcome.NotRun, Status: http.StatusTooManyRequests, RetryAfter: 1500 * time.Millisecond}
	for _, c := range []struct {
		name         string
		customer     string
		local        bool
		depth        int
		over         bool
		failure      *outcome.Failure // of the request after it was taken off the quota
		taken, given int
	}{
		{"without a customer", "", false, 1, true, nil, 0, 0},
		{"call of a backend server for a request", "a", true, 2, true, nil, 0, 0},
		{"request of a backend server", "a", true, 1, true, nil, 1, 0},
		{"over the quota", "a", false, 1, true, nil, 1, 0},
		{"admitted", "a", false, 1, false, nil, 1, 0},
		{"admitted and not run", "a", false, 1, false, &outcome.Failure{Code: outcome.Overload, Kind: outcome.NotRun, Status: 503}, 1, 1},
		{"admitted, may have run", "a", false, 1, false, &outcome.Failure{Code: outcome.Reset, Kind: outcome.Unknown, Status: 502}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			taken, given := 0, 0
			h := New(WithLocalCalls(c.local), WithQuota(func(_ context.Context, customer string, _ bool) (func(), *outcome.Failure) {
				taken++
				if customer != c.customer {
					t.Errorf("customer: got %q, want %q", customer, c.customer)
				}
				if c.over {
					f := refusal
					return nil, &f
				}
				return func() { given++ }, nil
			}))
			w := httptest.NewRecorder()
			k := &call{handler: h, w: w, r: httptest.NewRequest(http.MethodGet, "/", nil), id: "c", customer: customerCalled(c.customer), depth: c.depth, began: time.Now()}
			f := k.takeQuota()
			if f == nil {
				f = c.failure
			}
			if f != nil {
				k.refuse(f)
			}
			if taken != c.taken || given != c.given {
				t.Errorf("got %d taken and %d given back, want %d and %d", taken, given, c.taken, c.given)
			}
			if c.over && c.taken > 0 && (w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" ||
				w.Header().Get(outcome.HeaderCode) != "quota" || w.Header().Get(outcome.HeaderOutcome) != "notrun") {
				t.Errorf("refusal: got %d %v, want 429 with Retry-After 2, code quota and outcome notrun", w.Code, w.Header())
			}
		})
	}
}

func customerCalled(name string) *config.Customer {
	if name == "" {
		return nil
	}
	return &config.Customer{Name: name, Priority: -1}
}

// Guards against a request that counts as late although it can be answered within its objective, or the reverse.
func TestLate(t *testing.T) {
	now := time.Unix(1000, 0)
	h := New(WithNow(func() time.Time { return now }))
	route := &config.Route{Latency: time.Second}
	for _, c := range []struct {
		name      string
		objective time.Time
		want      bool
	}{
		{"first attempt", now.Add(time.Second), false},
		{"more than half left", now.Add(501 * time.Millisecond), false},
		{"less than half left", now.Add(499 * time.Millisecond), true},
		{"objective passed", now.Add(-time.Second), true},
		{"no objective", time.Time{}, false},
	} {
		k := &call{handler: h, match: Match{Route: route}, objective: c.objective}
		if got := k.isLate(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

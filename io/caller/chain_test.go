package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/io/hop"
)

// Guards against retries that multiply along a call chain: the deepest endpoint fails each attempt, and every node above it
// wants to retry.
func TestDeepChain(t *testing.T) {
	for retries := range 4 {
		deepest, all := 0, 0
		var h *Handler
		budget := retry.NewBudget()
		for range 10_000 {
			budget.Count(time.Now()) // fills the node's own retry budget, so that it never runs out
		}
		route := &config.Route{Name: "r", Service: "s", Idempotent: true, Deadline: 10 * time.Second, Retries: retries}
		h = New(
			WithLocalCalls(true),
			WithMatch(func(string, string, string) (Match, *outcome.Failure) {
				return Match{Route: route, Service: &config.Service{Name: "s"}}, nil
			}),
			WithPick(func(PickRequest) (config.Endpoint, string, error) {
				return config.Endpoint{Service: "s", Name: "e"}, "only", nil
			}),
			WithDecide(func(a Attempt) Verdict {
				v := retry.Decide(retry.FailedAttempt{
					Kind: a.Failure.Kind, Code: a.Failure.Code, Idempotent: true, Retries: a.Route.Retries, Used: a.Retries,
					Repicks: a.Repicks, Share: a.Budget, Now: a.Now, Deadline: a.Deadline,
				}, budget)
				return Verdict{Retry: v.Action != retry.Stop, Repick: v.Action == retry.Repick, Reason: v.Reason}
			}),
			WithSend(func(_ context.Context, _ config.Endpoint, m hop.Meta, _ *http.Request) (*http.Response, error) {
				all++
				if m.Depth == outcome.MaxDepth {
					deepest++
				} else {
					r := httptest.NewRequest("GET", "/", nil)
					r.Header.Set(HeaderContext, Context{Depth: m.Depth, Deadline: time.Now().Add(m.Remaining), Budget: m.Budget}.String())
					h.ServeHTTP(httptest.NewRecorder(), r)
				}
				return nil, &outcome.Failure{Code: outcome.Reset, Kind: outcome.Unknown}
			}),
		)
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil))
		if deepest < 1 || deepest > 1+retries || all > outcome.MaxDepth*(1+retries) {
			t.Errorf("%d retries: got %d attempts at the deepest endpoint and %d in all, want at most %d and %d",
				retries, deepest, all, 1+retries, outcome.MaxDepth*(1+retries))
		}
		t.Logf("%d retries: %d attempts at the deepest endpoint, %d in all", retries, deepest, all)
	}
}

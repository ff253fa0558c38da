package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
	"godwitspindle/io/hop"
)

// Load pattern: all endpoints of a service refuse a call as busy. Guards against a nested call that is not kept by the last endpoint which
// is asked, against calls of callers that are marked as such, and against an end of a call that does not name its parent.
func TestLastAttempt(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		reason    string // of the choice of each endpoint
		nested    bool
		want      []bool // LastAttempt of each attempt
	}{
		{"three of four endpoints are asked", 4, routing.ReasonScore, true, []bool{false, false, true}},
		{"two endpoints", 2, routing.ReasonScore, true, []bool{false, true}},
		{"one usable endpoint", 4, routing.ReasonOnly, true, []bool{true, true, true}},
		{"only a last resort", 4, routing.ReasonLastResort, true, []bool{true, true, true}},
		{"of a caller", 4, routing.ReasonScore, false, []bool{false, false, false}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			route := &config.Route{Name: "r", Service: "s", Deadline: time.Second, Latency: time.Second, Idempotent: true}
			service := &config.Service{Name: "s"}
			for i := range c.endpoints {
				service.Endpoints = append(service.Endpoints, config.Endpoint{Service: "s", Name: fmt.Sprint(i)})
			}
			var got []bool
			var end Finished
			h := New(
				WithLocalCalls(true),
				WithMatch(func(string, string, string) (Match, *outcome.Failure) {
					return Match{Route: route, Service: service}, nil
				}),
				WithPick(func(p PickRequest) (config.Endpoint, string, error) {
					if len(p.Tried) == c.endpoints {
						return config.Endpoint{}, "", storeError{}
					}
					return service.Endpoints[len(p.Tried)], c.reason, nil
				}),
				WithDecide(func(a Attempt) Verdict {
					v := retry.Decide(retry.FailedAttempt{Kind: a.Failure.Kind, Code: a.Failure.Code, Repicks: a.Repicks, Now: a.Now, Deadline: a.Deadline}, nil)
					return Verdict{Retry: v.Action != retry.Stop, Repick: v.Action == retry.Repick}
				}),
				WithSend(func(_ context.Context, _ config.Endpoint, m hop.Meta, _ *http.Request) (*http.Response, error) {
					got = append(got, m.LastAttempt)
					return nil, &outcome.Failure{Code: outcome.Busy, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable}
				}),
				WithFinished(func(f Finished) { end = f }),
			)
			r := httptest.NewRequest("GET", "/", nil)
			parent := ""
			if c.nested {
				parent = "run-1"
				r.Header.Set(HeaderContext, Context{Depth: 1, Deadline: time.Now().Add(time.Second), Parent: parent}.String())
			}
			h.ServeHTTP(httptest.NewRecorder(), r)
			if !slices.Equal(got, c.want) {
				t.Errorf("last attempts: got %v, want %v", got, c.want)
			}
			if end.Parent != parent || end.Service != "s" || end.Code != outcome.Busy {
				t.Errorf("end: got parent %q, service %q, code %q, want parent %q, service s, code busy", end.Parent, end.Service, end.Code, parent)
			}
		})
	}
}

package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
	"godwitspindle/io/standin"
)

// Callers retry after a refusal, on a route whose own deadline is shorter than the time that callers wait. Guards against
// taking a resend for a first attempt, and against the assumption that callers never retry: then their requests would stay
// queued until the deadline and be answered late.
func TestAgainOnShortRoute(t *testing.T) {
	const latency = 600 * time.Millisecond
	tests := []struct {
		name  string
		route time.Duration // the route's own deadline
		left  time.Duration // Mesh-Deadline: how long the caller still waits
		again bool
		want  time.Duration // time left to the objective
	}{
		{"first attempt", 1200 * time.Millisecond, 2500 * time.Millisecond, false, latency},
		{"resend while the caller waits longer than the route allows", 1200 * time.Millisecond, 2100 * time.Millisecond, true, latency - 400*time.Millisecond},
		{"first attempt after the route's deadline was shortened", 800 * time.Millisecond, 2500 * time.Millisecond, false, latency},
		{"resend with little time left", 800 * time.Millisecond, 700 * time.Millisecond, true, latency - 1800*time.Millisecond},
	}
	route := config.Route{Name: "r", Service: "archive", Idempotent: true, Latency: latency}
	var sent hop.Meta
	h := New(
		WithMatch(func(string, string, string) (Match, *outcome.Failure) {
			return Match{Route: &route, Service: &config.Service{Name: "archive"}}, nil
		}),
		WithPick(func(PickRequest) (config.Endpoint, string, error) { return config.Endpoint{Name: "e"}, "only", nil }),
		WithSend(func(_ context.Context, _ config.Endpoint, m hop.Meta, _ *http.Request) (*http.Response, error) {
			sent = m
			return nil, &outcome.Failure{Code: outcome.Busy, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable}
		}),
		WithDecide(func(Attempt) Verdict { return Verdict{} }),
	)
	ask := func(left time.Duration) {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			route.Deadline = c.route
			ask(c.left)
			if off := sent.Objective - c.want; sent.Resent != c.again || off > 0 || off < -100*time.Millisecond {
				t.Errorf("got resend %v with %v left to the objective, want %v with %v", sent.Resent, sent.Objective, c.again, c.want)
			}
		})
	}
	for range 100 {
		ask(2500 * time.Millisecond)
		ask(2100 * time.Millisecond)
	}
	if sent.LastAttempt {
		t.Error("callers that send again: got LastAttempt true, want false")
	}
}

// Guards against a request with a body whose time is over and that is answered as cancelled by its caller (499): the read deadline of
// its connection must not end it before its own deadline does.
func TestDeadlineWithBody(t *testing.T) {
	m := newMesh(t, 1, testRoute(false))
	var wait sync.WaitGroup
	for i := range 40 {
		wait.Go(func() {
			body := strings.Repeat("x", 1+i%2*100<<10)
			if got := m.do("POST", "/x", body, standin.HeaderFault, standin.FaultStall); got.err != nil || got.status != http.StatusGatewayTimeout {
				t.Errorf("body of %d bytes: got status %d, code %q, %v, want 504", len(body), got.status, got.header.Get("Mesh-Code"), got.err)
			}
		})
	}
	wait.Wait()
}

package host

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/config"
	"godwitspindle/core/notice"
	"godwitspindle/core/outcome"
	"godwitspindle/core/routing"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

// stoppingHost returns a host whose planned stop begins now, with the given requests in flight.
func stoppingHost(t *testing.T, notice, grace time.Duration, inFlight ...caller.Progress) *Host {
	t.Helper()
	log, metrics := logr.Discard(), process.NewMetrics()
	h := &Host{
		settings: &process.Settings{Name: "upper-1"}, log: log, hops: hop.New(), stop: newStopRecord(log, metrics.StopRequests),
		shutdown: shutdown.New(shutdown.WithNotice(notice), shutdown.WithGrace(grace)),
	}
	t.Cleanup(func() { _ = h.hops.Close() })
	h.shutdown.Begin(time.Now())
	for _, p := range inFlight {
		h.stop.callers.Add(&caller.Request{}, p)
	}
	return h
}

// Guards against a withdrawal that names calls which may still begin, were not sent, have begun to be answered or are at this host.
func TestCallsToWithdraw(t *testing.T) {
	now := time.Now()
	lower, kochi := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	sent := func(call, host string, address netip.AddrPort, deadline time.Duration) caller.Progress {
		return caller.Progress{Call: call, Endpoint: "counter/e1", Host: host, Address: address, Sent: now, Deadline: now.Add(deadline)}
	}
	answered := sent("answered", "lower-1", lower, 8*time.Second)
	answered.Answered = true
	h := stoppingHost(t, time.Second, 3*time.Second,
		caller.Progress{Call: "body", Deadline: now.Add(8 * time.Second)}, answered, sent("here", "upper-1", kochi, 8*time.Second),
		sent("fits", "lower-1", lower, 3*time.Second), sent("late", "lower-1", lower, 8*time.Second), sent("close", "kochi-1", kochi, 3900*time.Millisecond))
	if got := h.callsToWithdraw(now.Add(900 * time.Millisecond)); len(got) != 0 {
		t.Errorf("in the notice: got %v, want none", got)
	}
	want := map[netip.AddrPort][]hop.Withdrawn{
		lower: {{Endpoint: "counter/e1", Call: "late"}}, kochi: {{Endpoint: "counter/e1", Call: "close"}},
	}
	if got := h.callsToWithdraw(now.Add(1100 * time.Millisecond)); !maps.EqualFunc(got, want, slices.Equal) {
		t.Errorf("after the notice: got %v, want %v", got, want)
	}
}

// Guards against a call that stays in a queue because one withdrawal was lost or came before the call did, and against rounds that end
// before the last one shortly before the end of the stop.
func TestWithdrawalRounds(t *testing.T) {
	var mu sync.Mutex
	var at []time.Duration
	now := time.Now()
	calls := hop.NewServer(hop.WithWithdraw(func([]hop.Withdrawn) int {
		mu.Lock()
		defer mu.Unlock()
		at = append(at, time.Since(now))
		if len(at) == 1 {
			panic(http.ErrAbortHandler) // the message has no effect and no answer
		}
		return 1
	}))
	s := httptest.NewUnstartedServer(calls)
	s.Config = hop.HTTPServer(calls)
	s.Start()
	defer s.Close()
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	h := stoppingHost(t, 50*time.Millisecond, 1500*time.Millisecond,
		caller.Progress{Call: "c1", Endpoint: "counter/e1", Host: "lower-1", Address: address, Sent: now, Deadline: now.Add(time.Minute)})
	h.withdrawCalls(t.Context())
	if len(at) != 4 || at[0] < 50*time.Millisecond || at[3] < 1450*time.Millisecond {
		t.Errorf("got withdrawals at %v, want 4, the first after the notice (50ms) and the last at 1.45s", at)
	}
}

// Guards against a stopping node that takes an endpoint for draining because a call was withdrawn from its queue, and then refuses
// requests that could still end in time there.
func TestWithdrawnCallKeepsEndpoint(t *testing.T) {
	now := time.Now()
	service := &config.Service{Name: "counter", Endpoints: []config.Endpoint{{Service: "counter", Name: "e1", Slots: 1, Incarnation: 1}}}
	refused := caller.Observation{Incarnation: 1, Failure: &outcome.Failure{Code: outcome.Draining, Kind: outcome.NotRun}}
	for _, c := range []struct {
		phase   string
		at      time.Duration // after the beginning of the stop
		avoided bool
	}{
		{"notice", 500 * time.Millisecond, true},
		{"finish", 1500 * time.Millisecond, false},
	} {
		h := stoppingHost(t, time.Second, 3*time.Second)
		h.picker, h.notices, h.rollouts = routing.New(), notice.NewTable(), newRollouts(rolloutParts{})
		if _, err := h.picker.Decide(routing.Call{Service: service, Now: now}); err != nil {
			t.Fatal(err)
		}
		refused.At = now.Add(c.at)
		h.observe("counter/e1", refused)
		if _, _, avoided := h.picker.Avoided("counter/e1", refused.At); avoided != c.avoided {
			t.Errorf("refusal in the %s phase: got endpoint avoided %t, want %t", c.phase, avoided, c.avoided)
		}
	}
}

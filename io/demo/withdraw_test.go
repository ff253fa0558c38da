package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/host"
	"godwitspindle/io/operator"
)

// setDeadline changes the deadline of the route "buy" and waits until it is in force on each node.
func (m *testMesh) setDeadline(t *testing.T, deadline time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	ops := m.OperatorClient()
	defer ops.Close()
	rules := strings.Replace(testRules, `"deadline":"1s"`, `"deadline":"`+deadline.String()+`"`, 1)
	base := m.Hosts[firstEntry].View().Snapshot.Version()
	c := operator.Change{ID: "deadline", Author: "test", Reason: "test", Base: base, Rules: json.RawMessage(rules)}
	if _, err := ops.Apply(ctx, c); err != nil {
		t.Fatal(err)
	}
	err := m.Await(ctx, func(h *host.Host) bool {
		r, ok := h.View().Table.Match("", "/passes", http.MethodPost)
		return ok && r.Deadline == deadline
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a request that a stopping node has sent to another host and that waits there for a slot: it began to run too late,
// or never, and was cut at the end of the stop. It must be refused as not run when the notice (1 s) ends and never run, and the request
// that runs before it must be answered whole.
func TestDrainWithdrawsQueuedCall(t *testing.T) {
	m := startMesh(t, 1, WithSlots(1))
	m.setDeadline(t, 8*time.Second)
	if err := m.Stop(firstEntry); err != nil {
		t.Fatal(err)
	}
	m.settings[firstEntry].Grace = 3 * time.Second
	if err := m.Start(firstEntry); err != nil {
		t.Fatal(err)
	}
	m.awaitCounters(t, 1)
	send := func(id string) chan reply {
		answer := make(chan reply, 1)
		go func() {
			answer <- m.send(t.Context(), clientFrom("127.0.0.1"), firstEntry, request{path: "/passes", body: id, latency: 2500 * time.Millisecond})
		}()
		return answer
	}
	backend := m.Backends[firstCounter]
	running := send("running")
	eventually(t, 5*time.Second, "the first request runs", func() bool { return backend.Served() == 1 })
	queued := send("queued")
	time.Sleep(200 * time.Millisecond)
	began, ended := time.Now(), make(chan error, 1)
	go func() { ended <- m.Drain(firstEntry) }()
	r, took := <-queued, time.Since(began)
	if r.status != http.StatusServiceUnavailable || r.kind != outcome.NotRun || r.code != outcome.Draining {
		t.Errorf("queued request: got status %d, outcome %q, code %q, error %v, want 503, notrun, draining", r.status, r.kind, r.code, r.err)
	}
	if took < 900*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("queued request: got its end %s after the beginning of the stop, want it at the end of the notice (1s)", took)
	}
	if r := <-running; r.status != http.StatusOK || r.err != nil || r.mismatched {
		t.Errorf("running request: got status %d, error %v, want its whole answer", r.status, r.err)
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want none", err)
	}
	time.Sleep(100 * time.Millisecond)
	if n := backend.Served(); n != 1 {
		t.Errorf("got %d requests run, want only the one that ran before the stop", n)
	}
}

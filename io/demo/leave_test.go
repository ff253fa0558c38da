package demo

import (
	"context"
	"testing"
	"time"

	"godwitspindle/io/host"
)

// Guards R7 and R8 when one backend server leaves under load: new work reaches it more than a second after the leave, or a
// call fails.
func TestBackendLeaves(t *testing.T) {
	r := start(t, Places())
	l := r.run(8, r.callers)
	time.Sleep(500 * time.Millisecond)
	leaver := r.index(func(i int, _ *host.Host) bool { return r.places[i].Service == "counter" })
	b := r.Backends[leaver]
	if err := b.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	at, last, served := time.Now(), time.Duration(0), b.Served()
	for time.Since(at) < 3*time.Second {
		if n := b.Served(); n != served {
			last, served = time.Since(at), n
		}
		time.Sleep(time.Millisecond)
	}
	r.end(l)
	t.Logf("last new work %s after the leave", last)
	if last > time.Second {
		t.Errorf("last new work: got %s after the leave, want within 1s", last)
	}
}

// Guards R8 and R6 when a node stops as planned under load: a call in flight is cut, or one fails.
func TestNodeDrains(t *testing.T) {
	r := start(t, Places(), WithLatency(20*time.Millisecond))
	l := r.run(8, r.callers)
	time.Sleep(500 * time.Millisecond)
	i := r.index(func(i int, h *host.Host) bool { return r.places[i].Service == "counter" && !h.Leads() })
	began := time.Now()
	if err := r.Drain(i); err != nil {
		t.Errorf("drain: got %v, want none", err)
	}
	took := time.Since(began)
	time.Sleep(500 * time.Millisecond)
	r.end(l)
	t.Logf("drained in %s", took)
	if took > 3*time.Second {
		t.Errorf("drain: got %s, want at most 3s (1s for callers to move away, and calls of 20ms)", took)
	}
}

// Guards R8 in a rolling restart of all nodes under load: a call is lost or cut, or a node does not come back.
func TestRollingRestart(t *testing.T) {
	r := start(t, herd(6), WithLatency(5*time.Millisecond))
	l := r.run(6, r.callers)
	for i := range r.places {
		if err := r.Drain(i); err != nil {
			t.Errorf("drain %s: got %v, want none", r.places[i].Name, err)
		}
		if err := r.Start(i); err != nil {
			t.Fatal(err)
		}
		r.await("all nodes and endpoints agreed", 10*time.Second, func(h *host.Host) bool {
			_, e := h.View().Snapshot.Members()
			return h.Serving() && len(h.View().Table.Nodes()) == len(r.places) && len(e) == len(r.places)
		})
	}
	r.end(l)
}

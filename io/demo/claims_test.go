package demo

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/standin"
)

// consistent reports whether the outcome of a purchase with a key agrees with the number of its runs over all attempts.
func consistent(a reply, runs int) bool {
	switch {
	case a.mismatched || runs > 1:
		return false
	case a.status == http.StatusOK || a.kind == outcome.Lost:
		return runs == 1
	case a.kind == outcome.NotRun:
		return runs == 0
	}
	return true // unknown, or no answer
}

func (m *testMesh) inFlight() int {
	return m.Backends[firstCounter].Running() + m.Backends[firstCounter+1].Running()
}

// occupySlots fills the only slot of each of two counters with a stalled request for 600 ms.
func (m *testMesh) occupySlots(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	t.Cleanup(cancel)
	eventually(t, time.Second, "both counters busy", func() bool {
		go m.send(ctx, http.DefaultClient, firstEntry, request{path: "/history", body: "busy", fault: standin.FaultStall})
		time.Sleep(20 * time.Millisecond) // a request may also queue behind the first at the same counter
		return m.inFlight() == 2
	})
}

func (m *testMesh) awaitIdle(t *testing.T) {
	eventually(t, 2*time.Second, "both counters idle", func() bool { return m.inFlight() == 0 })
}

// Guards against a purchase that runs twice, or is reported as not run after it ran, when the node that a caller uses stops at one
// step of the claim and the caller resends the same key through another node.
func TestNodeDiesAtEachStepOfAClaim(t *testing.T) {
	m := startMesh(t, 2, WithSlots(1), WithLatency(time.Millisecond))
	c := clientFrom("127.0.0.1")
	awaitRun := func(key string) func() {
		return func() { eventually(t, time.Second, "the purchase runs", func() bool { return m.runs(key) == 1 }) }
	}
	loseMajority := func() { // without a majority of replicas no claim is granted
		_, _ = m.Stop(0), m.Stop(1)
	}
	restoreMajority := func() {
		if err := errors.Join(m.Start(0), m.Start(1)); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		name        string
		latency     time.Duration
		setup       func()
		awaitStep   func() // waits for the step at which the node is stopped
		awaitAnswer bool   // stops the node only after the caller has got its answer
		restore     func()
		victim      int
	}{
		{name: "before the claim", setup: loseMajority, awaitStep: func() { time.Sleep(200 * time.Millisecond) }, restore: restoreMajority, victim: firstEntry + 1},
		{name: "claimed and queued", setup: func() { m.occupySlots(t) }, awaitStep: func() { time.Sleep(200 * time.Millisecond) }, victim: firstEntry + 2},
		{name: "running", setup: func() { m.awaitIdle(t) }, latency: 400 * time.Millisecond, awaitStep: awaitRun("running"), victim: firstEntry + 3},
		{
			name: "answered before finish", latency: 300 * time.Millisecond, awaitAnswer: true, restore: restoreMajority, victim: firstEntry + 4,
			awaitStep: func() { awaitRun("answered before finish")(); loseMajority() },
		},
		{name: "answered", awaitAnswer: true, awaitStep: func() {}, victim: firstEntry + 5},
		{name: "running beside the server", latency: 400 * time.Millisecond, awaitStep: awaitRun("running beside the server"), victim: firstCounter},
	}
	var resends sync.WaitGroup // each lasts until the deadline of the claim, so they run in parallel to the next cases
	parent := t
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			if tt.setup != nil {
				tt.setup()
			}
			q := request{path: "/passes", key: tt.name, body: "pass " + tt.name, latency: tt.latency}
			from := tt.victim
			if from >= firstCounter {
				from = firstEntry
			}
			first := make(chan reply, 1)
			go func() { first <- m.send(t.Context(), c, from, q) }()
			tt.awaitStep()
			var a reply
			if tt.awaitAnswer {
				a = <-first
			}
			if err := m.Stop(tt.victim); err != nil {
				t.Log("stop:", err)
			}
			if !tt.awaitAnswer {
				a = <-first
			}
			if tt.restore != nil {
				tt.restore()
			}
			if !consistent(a, m.runs(tt.name)) {
				t.Errorf("first outcome: got %+v after %d runs, want one that agrees with the runs", a, m.runs(tt.name))
			}
			runs := m.runs(tt.name)
			resends.Go(func() {
				last := m.resendUntilFinal(parent, c, q)
				parent.Logf("%s: first %d %s %s after %d runs, last %d %s %s replay=%t after %d runs", tt.name, a.status, a.kind, a.code, runs,
					last.status, last.kind, last.code, last.replay, m.runs(tt.name))
			})
		})
	}
	resends.Wait()
}

// resendUntilFinal sends a purchase through the first entry node, up to five times, until its outcome is final: a stored answer, or
// unknown at once.
func (m *testMesh) resendUntilFinal(t *testing.T, c *http.Client, q request) reply {
	var last reply
	for range 5 { // the deadline of the claim passes within four attempts
		last = m.send(t.Context(), c, firstEntry, q)
		if !consistent(last, m.runs(q.key)) {
			t.Errorf("resend: got %+v after %d runs, want an outcome that agrees with the runs", last, m.runs(q.key))
		}
		if last.status == http.StatusOK || last.kind == outcome.Unknown && last.took < 200*time.Millisecond {
			return last
		}
	}
	t.Errorf("%s: got %+v, want a stored answer or unknown at once", q.key, last)
	return last
}

// Guards against a second run and a wrong outcome on concurrent and conflicting resends: the same key at once through two nodes
// while the leader stops, a key that is reused with another body, and a purchase that the backend server shed.
func TestResends(t *testing.T) {
	m := startMesh(t, 2, WithLatency(20*time.Millisecond))
	c := clientFrom("127.0.0.1")
	t.Run("at once through two nodes while the leader dies", func(t *testing.T) {
		var wait sync.WaitGroup
		const keys = 60
		var outcomes [keys][2]reply
		key := func(i int) string { return "resend-" + string(rune('A'+i)) }
		for i := range keys {
			for j, node := range []int{firstEntry + 1, firstEntry} {
				wait.Go(func() {
					outcomes[i][j] = m.send(t.Context(), c, node, request{path: "/passes", key: key(i), body: key(i)})
				})
			}
			if i == keys/2 {
				for k := range 3 {
					if m.Hosts[k].Leads() {
						_ = m.Stop(k)
						defer func() {
							if err := m.Start(k); err != nil {
								t.Fatal(err)
							}
						}()
						break
					}
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		wait.Wait()
		answered := 0
		for i, pair := range outcomes {
			for _, a := range pair {
				if !consistent(a, m.runs(key(i))) && a.kind != outcome.NotRun {
					t.Errorf("%s: got %+v after %d runs, want an outcome that agrees with the runs", key(i), a, m.runs(key(i)))
				}
				if a.status == http.StatusOK {
					answered++
				}
			}
			if m.runs(key(i)) > 1 || pair[0].kind == outcome.NotRun && pair[1].kind == outcome.NotRun && m.runs(key(i)) > 0 {
				t.Errorf("%s: got %d runs with outcomes %+v, want at most one and none when both say notrun", key(i), m.runs(key(i)), pair)
			}
		}
		t.Logf("%d of %d requests answered", answered, 2*keys)
	})
	m.awaitCounters(t, 2)
	t.Run("another body", func(t *testing.T) {
		eventually(t, 5*time.Second, "a purchase is answered", func() bool {
			return m.send(t.Context(), c, firstEntry+1, request{path: "/passes", key: "k", body: "one"}).status == http.StatusOK
		})
		a := m.send(t.Context(), c, firstEntry, request{path: "/passes", key: "k", body: "two"})
		if a.status != http.StatusUnprocessableEntity || a.code != outcome.Mismatch || m.runs("k") != 1 {
			t.Errorf("got %+v after %d runs, want 422 mismatch after one", a, m.runs("k"))
		}
	})
	t.Run("a shed purchase", func(t *testing.T) {
		// A 503 with Retry-After must not be replayed for 24 h, nor count as proof that the request did not run.
		q := request{path: "/passes", key: "shed", body: "shed", fault: standin.FaultShed}
		if a := m.send(t.Context(), c, firstEntry+1, q); a.status != http.StatusServiceUnavailable || a.kind != outcome.None {
			t.Errorf("first: got %+v, want the backend server's own 503", a)
		}
		q.fault = ""
		var a reply
		eventually(t, 5*time.Second, "the claim's deadline passes", func() bool {
			a = m.send(t.Context(), c, firstEntry, q)
			return a.code == outcome.Claimed
		})
		if a.kind != outcome.Unknown || a.replay || m.runs("shed") != 0 {
			t.Errorf("resend: got %+v after %d runs, want unknown and no run", a, m.runs("shed"))
		}
	})
}

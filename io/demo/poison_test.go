package demo

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/io/standin"
)

// Guards against repeated crashes by one request: a request that crashes its backend server is sent 30 times through different
// nodes, in parallel to harmless requests. Crashes must stay within the bound, later attempts must be refused as notrun, and
// harmless requests must be served again afterwards.
func TestPoisonRequest(t *testing.T) {
	const (
		counters = 4
		bound    = 2 + counters // the first crash, the confirming one, and one per endpoint before the mark reaches its node
	)
	m := startMesh(t, counters, WithLatency(10*time.Millisecond), WithBackendOptions(func(int) []standin.Option {
		return []standin.Option{standin.WithRestart(150 * time.Millisecond)}
	}))
	c := clientFrom("127.0.0.1")
	crashes := func() (n uint64) {
		for _, b := range m.Backends[firstCounter:] {
			n += b.Crashes()
		}
		return n
	}
	for _, path := range []string{"/fares", "/passes"} {
		t.Run(path[1:], func(t *testing.T) {
			crashesBefore := crashes()
			stop := make(chan struct{})
			var wait sync.WaitGroup
			var served, refused atomic.Int64
			for i := range 12 {
				wait.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						a := m.send(t.Context(), c, n%len(m.Hosts), request{path: "/fares", body: fmt.Sprintf("innocent %d %d", i, n%5)})
						if a.mismatched {
							t.Errorf("got the answer of another request: %+v", a)
						}
						if a.status == http.StatusOK {
							served.Add(1)
							continue
						}
						refused.Add(1)
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			poison := request{path: path, body: "poison", fault: standin.FaultCrash}
			last := map[outcome.Code]int{}
			for n := range 30 {
				before := crashes()
				a := m.send(t.Context(), c, n%len(m.Hosts), poison)
				last[a.code]++
				if a.kind == outcome.NotRun && crashes() > before {
					t.Errorf("send %d: got notrun (%s) although a backend server crashed", n, a.code)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := crashes() - crashesBefore; got > bound {
				t.Errorf("got %d crashes, want at most %d", got, bound)
			}
			t.Logf("%d crashes, codes of the poison request %v, harmless requests %d served %d refused", crashes()-crashesBefore, last, served.Load(), refused.Load())
			for i := range m.Hosts {
				if a := m.send(t.Context(), c, i, poison); a.kind != outcome.NotRun || a.code != outcome.Quarantined {
					t.Errorf("node %d: got %s %s, want notrun quarantined", i, a.kind, a.code)
				}
			}
			close(stop)
			wait.Wait()
			eventually(t, 5*time.Second, "every harmless request is served", func() bool {
				for i := range 12 {
					for n := range 5 {
						a := m.send(t.Context(), c, n%len(m.Hosts), request{path: "/fares", body: fmt.Sprintf("innocent %d %d", i, n)})
						if a.status != http.StatusOK {
							t.Logf("harmless request %d %d: %s %s", i, n, a.kind, a.code)
							return false
						}
					}
				}
				return true
			})
		})
	}
}

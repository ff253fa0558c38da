package demo

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/wire"
	"godwitspindle/io/peer"
)

var measureTime = flag.Duration("measure", 0, "duration of each measurement of claims; 0 skips them")

// measureRate calls f from n goroutines for -measure and logs the rate and the latency percentiles of the calls that succeeded.
func measureRate(t *testing.T, n int, f func(i, k int) bool) {
	t.Helper()
	var wait sync.WaitGroup
	var failed atomic.Int64
	took := make([][]time.Duration, n)
	begin := time.Now()
	for i := range n {
		wait.Go(func() {
			for k := 0; time.Since(begin) < *measureTime; k++ {
				at := time.Now()
				if !f(i, k) {
					failed.Add(1)
					continue
				}
				took[i] = append(took[i], time.Since(at))
			}
		})
	}
	wait.Wait()
	all := slices.Concat(took...)
	slices.Sort(all)
	if len(all) == 0 {
		t.Fatalf("got no successful call, %d failed", failed.Load())
	}
	t.Logf("%7.0f/s  p50 %9s  p99 %9s  failed %d", float64(len(all))/time.Since(begin).Seconds(), all[len(all)/2].Round(time.Microsecond),
		all[len(all)*99/100].Round(time.Microsecond), failed.Load())
}

// Measures, for docs/claims.md, the rate and latency of claims (batched by a node, sent by RPC, replicated by three replicas)
// and of purchases with and without an idempotency key. Run with -measure 3s.
func TestMeasureClaims(t *testing.T) {
	if *measureTime == 0 {
		t.Skip("run with -measure")
	}
	m := startMesh(t, 4, WithSlots(256), WithLatency(time.Millisecond))
	for _, n := range []int{1, 64, 512} {
		t.Run(fmt.Sprintf("batched,claimants=%d", n), func(t *testing.T) {
			var addresses []netip.AddrPort
			for i := range 3 {
				a := m.settings[i].Listen.Peer
				if m.Hosts[i].Leads() {
					addresses = slices.Insert(addresses, 0, a)
					continue
				}
				addresses = append(addresses, a)
			}
			clients := peer.NewClients()
			defer clients.Close()
			p := peer.NewProposer(clients, func() []netip.AddrPort { return addresses }, logr.Discard())
			defer p.Close()
			measureRate(t, n, func(i, k int) bool {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				c := &wire.Claim{
					Kind: wire.ClaimKind_CLAIM_KIND_ACQUIRE, Route: "buy", Key: fmt.Sprintf("%08d-%08d-%016d", i, k, n), Fingerprint: make([]byte, 16),
					Owner: fmt.Sprintf("%016d-%d", i, k), Deadline: time.Now().Add(10 * time.Second).UnixMilli(),
				}
				r, err := p.Claim(ctx, c)
				return err == nil && r.GetState() == wire.ClaimState_CLAIM_STATE_GRANTED
			})
		})
	}
	for _, n := range []int{1, 64, 256} {
		for _, key := range []string{"", "key"} {
			t.Run(fmt.Sprintf("purchase,callers=%d,key=%t", n, key != ""), func(t *testing.T) {
				c := clientFrom("127.0.0.1")
				defer c.CloseIdleConnections()
				measureRate(t, n, func(i, k int) bool {
					q := request{path: "/passes", body: fmt.Sprintf("%d %d %d", n, i, k)}
					if key != "" {
						q.key = q.body
					}
					return m.send(t.Context(), c, firstEntry, q).status == http.StatusOK
				})
			})
		}
	}
}

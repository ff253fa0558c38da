package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"godwitspindle/io/host"
	"godwitspindle/io/operator"
)

const (
	pairRegister = `{"services": [{"name": "counter", "internal": false, "slots": 64, "connections": 130}],
		"domains": [{"name": "lower", "region": "munnar"}]}`
	pairRules = `{"set": "main", "routes": [{"name": "fares", "service": "counter", "host": "", "path": "/", "methods": ["GET"],
		"idempotent": true, "late": false, "priority": 7, "deadline": "2s", "retries": 1}], "limits": [], "drains": []}`
)

// startTwoNodes starts a mesh of two nodes: callers use the first, and the second has a backend server.
func startTwoNodes(t testing.TB, operators []operator.ClientOption, opts ...Option) *Mesh {
	t.Helper()
	specs := []HostSpec{
		{Name: "entry", Region: "munnar", Domain: "lower", Replica: true},
		{Name: "desk", Region: "munnar", Domain: "lower", Service: "counter"},
	}
	m, err := New(t.TempDir(), specs, logr.Discard(), append([]Option{WithLatency(0), WithSlots(64)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	s := &demoRun{out: io.Discard, mesh: m, ops: m.OperatorClient(operators...)}
	defer s.ops.Close()
	for _, err := range []error{
		s.start(ctx),
		s.apply(ctx, "register", operator.Change{Reason: "test", Register: []byte(pairRegister)}),
		s.apply(ctx, "rules", operator.Change{Reason: "test", Rules: []byte(pairRules)}),
		m.Await(ctx, func(h *host.Host) bool {
			c, ok := h.View().Table.Service("counter")
			return ok && len(c.Endpoints) == 1
		}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	return m
}

type resourceUsage struct {
	latency *hdr.Histogram // in nanoseconds
	cpu     time.Duration  // processor time of the test process
	memory  runtime.MemStats
}

func readUsage() (u resourceUsage) {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	runtime.ReadMemStats(&u.memory)
	return u
}

// callAtRate sends n calls at a constant rate over 16 connections and returns their latencies and the resources used meanwhile.
func callAtRate(b *testing.B, address netip.AddrPort, n, rate int) resourceUsage {
	b.Helper()
	const workers = 16
	t := &http.Transport{MaxIdleConnsPerHost: workers, MaxConnsPerHost: workers}
	defer t.CloseIdleConnections()
	all, begin, before := hdr.New(1000, int64(10*time.Second), 3), time.Now(), readUsage()
	var next atomic.Int64
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				r, _ := http.NewRequest(http.MethodGet, "http://"+address.String()+"/", nil)
				start := time.Now()
				p, err := t.RoundTrip(r)
				if err != nil {
					b.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
				if took := time.Since(start); err == nil && p.StatusCode == http.StatusOK {
					mu.Lock()
					_ = all.RecordValue(int64(took))
					mu.Unlock()
					continue
				}
				b.Errorf("got status %d, %v", p.StatusCode, err)
			}
		})
	}
	wait.Wait()
	u := readUsage()
	u.latency, u.cpu = all, u.cpu-before.cpu
	u.memory.Mallocs -= before.memory.Mallocs
	u.memory.TotalAlloc -= before.memory.TotalAlloc
	return u
}

// BenchmarkPath measures what the path through two nodes adds to direct calls in the same run. Processor time and memory cover
// client, nodes and backend server, less those of direct calls.
func BenchmarkPath(b *testing.B) {
	m := startTwoNodes(b, nil)
	forwarded, direct := m.Hosts[0].Listen().Caller, m.Backends[1].Address()
	callAtRate(b, forwarded, 500, 1000)
	for _, rate := range []int{500, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			n := max(b.N, 2*rate)
			d, f := callAtRate(b, direct, n, rate), callAtRate(b, forwarded, n, rate)
			for _, q := range []float64{50, 99} {
				b.ReportMetric(float64(f.latency.ValueAtQuantile(q)-d.latency.ValueAtQuantile(q))/1e3, fmt.Sprintf("p%.0f-added-us", q))
				b.ReportMetric(float64(d.latency.ValueAtQuantile(q))/1e3, fmt.Sprintf("p%.0f-direct-us", q))
			}
			cpu := max(f.cpu-d.cpu, 1)
			b.ReportMetric(float64(cpu)/1e3/float64(n), "added-cpu-us/call")
			b.ReportMetric(float64(n)/cpu.Seconds(), "calls/s/core")
			b.ReportMetric(float64(f.memory.Mallocs-d.memory.Mallocs)/float64(n), "added-allocs/call")
			b.ReportMetric(float64(f.memory.TotalAlloc-d.memory.TotalAlloc)/float64(n), "added-B/call")
		})
	}
}

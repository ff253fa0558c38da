package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"godwitspindle/core/config"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// measure sends n calls from concurrent workers at a fixed rate or, with rate 0, without a limit. It returns latencies in
// nanoseconds, calls per second, and processor time per call.
func measure(b *testing.B, url string, n, workers, rate int) (*hdr.Histogram, float64, time.Duration) {
	b.Helper()
	t := &http.Transport{MaxIdleConnsPerHost: workers, MaxConnsPerHost: workers, DialContext: (&net.Dialer{}).DialContext}
	defer t.CloseIdleConnections()
	all := hdr.New(1000, int64(10*time.Second), 3)
	var mu sync.Mutex
	var next atomic.Int64
	var wg sync.WaitGroup
	begin, used := time.Now(), processor()
	for range workers {
		wg.Go(func() {
			own := hdr.New(1000, int64(10*time.Second), 3)
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				if rate > 0 {
					time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				}
				start := time.Now()
				if err := get(t, url); err != nil {
					b.Error(err)
					return
				}
				_ = own.RecordValue(int64(time.Since(start)))
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	wg.Wait()
	return all, float64(n) / time.Since(begin).Seconds(), (processor() - used) / time.Duration(n)
}

func get(t *http.Transport, url string) error {
	r, err := http.NewRequestWithContext(context.Background(), "GET", url+"/lookup", nil)
	if err != nil {
		return err
	}
	p, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = p.Body.Close() }()
	if _, err = io.Copy(io.Discard, p.Body); err == nil && p.StatusCode != 200 {
		err = storeError{}
	}
	return err
}

// processor returns the user and system time of this process.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward compares calls through two nodes with direct calls in the same run: at fixed rates, and without a limit from
// four workers. The added processor time is that of client, both nodes and server, minus that of a direct call.
func BenchmarkForward(b *testing.B) {
	for _, rate := range []int{2000, 8000, 0} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			m := newMesh(b, 1, config.Route{Name: "r", Service: "counter", Idempotent: true, Deadline: 2 * time.Second})
			direct := "http://" + m.servers[0].Address().String()
			n, workers := max(b.N, 4000), 16
			if rate == 0 {
				workers = 4
			}
			for _, url := range []string{direct, m.url} {
				measure(b, url, 500, workers, 0) // opens connections and warms up code paths
			}
			var before, middle, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			d, dspeed, dused := measure(b, direct, n, workers, rate)
			runtime.ReadMemStats(&middle)
			f, fspeed, fused := measure(b, m.url, n, workers, rate)
			runtime.ReadMemStats(&after)
			b.StopTimer()
			allocs := float64(after.Mallocs-middle.Mallocs) - float64(middle.Mallocs-before.Mallocs)
			for _, q := range []float64{50, 99} {
				b.ReportMetric(float64(f.ValueAtQuantile(q)-d.ValueAtQuantile(q))/1000, fmt.Sprintf("p%.0f-added-us", q))
				b.ReportMetric(float64(d.ValueAtQuantile(q))/1000, fmt.Sprintf("p%.0f-direct-us", q))
			}
			b.ReportMetric(dspeed, "direct/s")
			b.ReportMetric(fspeed, "forwarded/s")
			b.ReportMetric(float64(fused-dused)/1000, "added-cpu-us/call")
			b.ReportMetric(float64(dused)/1000, "direct-cpu-us/call")
			b.ReportMetric(float64(time.Second)/float64(max(fused-dused, 1)), "calls/s/core")
			b.ReportMetric(allocs/float64(n), "added-allocs/call")
		})
	}
}

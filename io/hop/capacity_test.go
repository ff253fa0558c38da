package hop

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"
)

func heapKB() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / 1024
}

// BenchmarkCapacityPeers measures the memory held for two connections to each peer after calls. It includes both ends of each
// connection, since about as many peers call a node as it calls.
func BenchmarkCapacityPeers(b *testing.B) {
	for _, n := range []int{8, 32, 64} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			do := func(_ context.Context, _ Meta, _ *http.Request) (*http.Response, error) {
				time.Sleep(5 * time.Millisecond) // calls overlap, so that the second connection is opened
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
			}
			s := HTTPServer(NewServer(WithDo(do)))
			var addresses []netip.AddrPort
			for range n {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				go func() { _ = s.Serve(l) }()
				addresses = append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
			}
			c := New()
			before := heapKB()
			done := make(chan error)
			for i := range 40 * n {
				go func() {
					p, err := c.Call(b.Context(), addresses[i%n], testMeta(fmt.Sprint("call-", i)), request("GET", "/", ""))
					if err == nil {
						_, err = io.Copy(io.Discard, p.Body)
						_ = p.Body.Close()
					}
					done <- err
				}()
			}
			for range 40 * n {
				if err := <-done; err != nil {
					b.Fatal(err)
				}
			}
			time.Sleep(200 * time.Millisecond) // waits until all streams have ended
			b.ReportMetric((heapKB()-before)/float64(n), "KB/peer")
			b.ReportMetric(float64(c.Stats().Dialed)/float64(n), "connections/peer")
			b.ReportMetric(0, "ns/op")
			_ = c.Close()
			_ = s.Close()
		})
	}
}

package standin

import (
	"runtime"
	"time"
)

// heapPeriod is the time between two looks at the memory.
const heapPeriod = 50 * time.Millisecond

// WatchHeap measures the memory of the process until the returned function is called, which returns how many bytes of live objects there
// were at most above those at the start.
func WatchHeap() (growth func() int64) {
	ended, result := make(chan struct{}), make(chan int64)
	before := liveBytes()
	go func() {
		most := int64(0)
		for {
			most = max(most, liveBytes()-before)
			select {
			case <-ended:
				result <- most
				return
			case <-time.After(heapPeriod):
			}
		}
	}()
	return func() int64 { close(ended); return <-result }
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

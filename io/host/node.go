package host

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/go-logr/logr"

	"godwitspindle/io/process"
)

// Garbage collection of a node. With Go's defaults, its heap of 4 MB is collected seven times a second at 3,000 calls/s.
const (
	collectPercent = 400
	// memoryBytes limits the memory of the Go runtime. Together with 13 MB of program text a node stays below 32 MB; a limit
	// of 28 MiB gave 35 MB resident.
	memoryBytes = 18 << 20
	// If 1/memoryShare of the host's memory is known to be more than memoryBytes, that share is the limit: a heap near its limit is
	// collected continuously, and a burst of versions or waiting calls then takes the processor from everything else. The
	// lower collection percentage keeps the heap small.
	memoryShare  = 4
	sharePercent = 200
)

// RunNode runs one process with the given settings until ctx ends, then drains it.
func RunNode(ctx context.Context, s *process.Settings, log logr.Logger) error {
	Tune(s)
	h, err := New(s, log)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// Tune configures garbage collection unless GOGC or GOMEMLIMIT is set. A replica keeps Go's defaults, because it holds the log,
// and a heap above a limit would be collected continuously.
func Tune(s *process.Settings) {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" || s.IsReplica() {
		return
	}
	percent, limit := collection(s.Memory)
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(limit)
}

// collection returns the collection percentage and the memory limit for a host with the given bytes of memory, 0 if unknown.
func collection(memory int64) (percent int, limit int64) {
	if share := memory / memoryShare; share > memoryBytes {
		return sharePercent, share
	}
	return collectPercent, memoryBytes
}

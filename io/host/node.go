package host

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/go-logr/logr"

	"godwitspindle/io/process"
)

// Garbage collection of a node. With Go's defaults the heap of a node, 4 MB, is collected seven times a second at 3,000 calls/s.
const (
	collectPercent = 400
	// memoryBytes bounds Go's memory; with 13 MB of program text a node stays below 32 MB. 28 MiB gave 35 MB resident.
	memoryBytes = 18 << 20
	// On a host whose memory is known, the bound is a share of it: near its bound a heap is collected without end, and a burst of
	// versions or waiting calls then takes the processor from all others. The heap stays small by the collection's percentage.
	memoryShare  = 4
	sharePercent = 200
)

// RunNode runs one process with the given settings until ctx ends, and then stops it gracefully.
func RunNode(ctx context.Context, s *process.Settings, log logr.Logger) error {
	Tune(s)
	h, err := New(s, log)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// Tune sets the garbage collection unless the environment does. A replica holds the log and gets no limit, since a heap above
// the limit would be collected without end.
func Tune(s *process.Settings) {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" || s.IsReplica() {
		return
	}
	percent, limit := collection(s.Memory)
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(limit)
}

// collection returns the percentage and the bound of the heap for a host's memory in bytes, 0 when it is not known.
func collection(memory int64) (percent int, limit int64) {
	if share := memory / memoryShare; share > memoryBytes {
		return sharePercent, share
	}
	return collectPercent, memoryBytes
}

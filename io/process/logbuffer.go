package process

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferedLines = 4096                   // default size of the buffer, for a slow reader of the log
	successShare  = 2                      // success lines are dropped while 1/successShare of the buffer is full
	dropInterval  = time.Second            // time between two reports of dropped lines
	closeTimeout  = 500 * time.Millisecond // longest wait for the buffered lines to be written when the process ends
)

// LogBuffer is an io.Writer for log lines that never blocks. When its buffer is full, it drops lines, success lines first, and
// logs how many were dropped.
type LogBuffer struct {
	out         io.Writer
	successMark []byte // text that only success lines contain
	lines       chan []byte
	stop        chan struct{}
	wait        sync.WaitGroup
	once        sync.Once

	dropped, droppedSuccesses atomic.Uint64 // dropped counts the lines without the success mark
}

// LogBufferOption changes a default of NewLogBuffer.
type LogBufferOption func(*LogBuffer)

// WithSuccessMark sets the text that identifies success lines.
func WithSuccessMark(mark string) LogBufferOption {
	return func(l *LogBuffer) { l.successMark = []byte(mark) }
}

// WithBuffer sets how many lines are buffered.
func WithBuffer(n int) LogBufferOption { return func(l *LogBuffer) { l.lines = make(chan []byte, n) } }

// NewLogBuffer starts writing lines to out in the background until Close.
func NewLogBuffer(out io.Writer, opts ...LogBufferOption) *LogBuffer {
	l := &LogBuffer{out: out, lines: make(chan []byte, bufferedLines), stop: make(chan struct{})}
	for _, o := range opts {
		o(l)
	}
	l.wait.Go(l.run)
	return l
}

// Write buffers or drops one line; it never blocks and never fails.
func (l *LogBuffer) Write(p []byte) (int, error) {
	success := len(l.successMark) > 0 && bytes.Contains(p, l.successMark)
	if success && len(l.lines) >= cap(l.lines)/successShare {
		l.droppedSuccesses.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- bytes.Clone(p):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped, and how many of those were success lines.
func (l *LogBuffer) Dropped() (all, successes uint64) {
	n := l.droppedSuccesses.Load()
	return l.dropped.Load() + n, n
}

// Close waits at most closeTimeout for the buffered lines to be written; lines not written by then may be lost.
func (l *LogBuffer) Close() error {
	l.once.Do(func() { close(l.stop) })
	done := make(chan struct{})
	go func() {
		l.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout): // the reader of the log does not read
	}
	return nil
}

func (l *LogBuffer) run() {
	t := time.NewTicker(dropInterval)
	defer t.Stop()
	var reported uint64
	for {
		select {
		case p := <-l.lines:
			_, _ = l.out.Write(p)
		case <-t.C:
			reported = l.reportDropped(reported)
		case <-l.stop:
			for len(l.lines) > 0 {
				_, _ = l.out.Write(<-l.lines)
			}
			l.reportDropped(reported)
			return
		}
	}
}

// reportDropped logs the number of dropped lines if it has grown since the last report, and returns the number.
func (l *LogBuffer) reportDropped(reported uint64) uint64 {
	all, successes := l.Dropped()
	if all > reported {
		_, _ = fmt.Fprintf(l.out, `{"time":%q,"level":"ERROR","msg":"log lines dropped","dropped":%d,"successes":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), all, successes)
	}
	return all
}

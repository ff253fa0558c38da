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
	lineBuffer   = 4096                   // lines that wait for a slow reader of the log
	ordinaryPart = 2                      // lines about successes take at most one in this many places
	dropInterval = time.Second            // between two lines that tell how many were dropped
	closeLimit   = 500 * time.Millisecond // to write what waits at the end of the process
)

// Lines passes log lines on without making their writers wait. When its buffer is full, lines are dropped and counted, those
// about successes first, and the counts are logged.
type Lines struct {
	out      io.Writer
	ordinary []byte // mark of lines about successes
	lines    chan []byte
	stop     chan struct{}
	wait     sync.WaitGroup
	once     sync.Once

	dropped, droppedOrdinary atomic.Uint64
}

// LinesOption sets up Lines.
type LinesOption func(*Lines)

// WithOrdinary sets the text by which lines about successes are told.
func WithOrdinary(mark string) LinesOption { return func(l *Lines) { l.ordinary = []byte(mark) } }

// WithBuffer sets how many lines may wait.
func WithBuffer(n int) LinesOption { return func(l *Lines) { l.lines = make(chan []byte, n) } }

// NewLines starts passing lines on to out; Close writes what waits and ends.
func NewLines(out io.Writer, opts ...LinesOption) *Lines {
	l := &Lines{out: out, lines: make(chan []byte, lineBuffer), stop: make(chan struct{})}
	for _, o := range opts {
		o(l)
	}
	l.wait.Go(l.run)
	return l
}

// Write takes one line; it never blocks and never fails.
func (l *Lines) Write(p []byte) (int, error) {
	ordinary := len(l.ordinary) > 0 && bytes.Contains(p, l.ordinary)
	if ordinary && len(l.lines) >= cap(l.lines)/ordinaryPart {
		l.droppedOrdinary.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- bytes.Clone(p):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped, and how many of them were about successes.
func (l *Lines) Dropped() (all, ordinary uint64) {
	o := l.droppedOrdinary.Load()
	return l.dropped.Load() + o, o
}

// Close writes what waits, within a short time, and ends.
func (l *Lines) Close() error {
	l.once.Do(func() { close(l.stop) })
	done := make(chan struct{})
	go func() {
		l.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeLimit): // the reader of the log does not read
	}
	return nil
}

func (l *Lines) run() {
	t := time.NewTicker(dropInterval)
	defer t.Stop()
	var told uint64
	for {
		select {
		case p := <-l.lines:
			_, _ = l.out.Write(p)
		case <-t.C:
			told = l.tell(told)
		case <-l.stop:
			for len(l.lines) > 0 {
				_, _ = l.out.Write(<-l.lines)
			}
			l.tell(told)
			return
		}
	}
}

// tell logs the count of dropped lines when it has grown.
func (l *Lines) tell(told uint64) uint64 {
	all, ordinary := l.Dropped()
	if all > told {
		_, _ = fmt.Fprintf(l.out, `{"time":%q,"level":"ERROR","msg":"log lines dropped","dropped":%d,"successes":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), all, ordinary)
	}
	return all
}

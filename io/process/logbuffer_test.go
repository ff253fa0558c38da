package process

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards against a process that blocks because nobody reads its log, against failures dropped in favor of successes, and against
// lines dropped without a report.
func TestLinesNeverBlock(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	l := NewLogBuffer(out, WithBuffer(8), WithSuccessMark("fine"))
	began := time.Now()
	for range 100 {
		_, _ = l.Write([]byte("fine\n"))
	}
	for range 3 {
		_, _ = l.Write([]byte("failure\n"))
	}
	if _, successes := l.Dropped(); successes < 90 {
		t.Errorf("dropped successes: got %d, want at least 90", successes)
	}
	const tooMany = 20
	for range tooMany {
		_, _ = l.Write([]byte("more\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("123 lines without a reader: got %s, want no wait", took)
	}
	if all, successes := l.Dropped(); all-successes < tooMany/2 {
		t.Errorf("other lines dropped: got %d, want at least %d of those that did not fit", all-successes, tooMany/2)
	}
	close(out.open)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.got.String()
	if got := strings.Count(text, "failure"); got != 3 {
		t.Errorf("failures in the log: got %d, want 3", got)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Errorf("log: got %q, want the count of dropped lines", text)
	}
}

// Guards against a process that ends before the last lines of its stop are written, although its log is read.
func TestLastLinesWritten(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	close(out.open)
	l := NewLogBuffer(out)
	const lines = 500
	for range lines {
		_, _ = l.Write([]byte("request cut\n"))
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out.got.String(), "request cut"); got != lines {
		t.Errorf("lines written when the buffer was closed: got %d, want %d", got, lines)
	}
}

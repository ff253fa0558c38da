package process

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowReader takes nothing until it is opened.
type slowReader struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *slowReader) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards against a process that stands still since nobody reads its log, against failures that are dropped for successes,
// and against lines that go missing without a word.
func TestLinesNeverBlock(t *testing.T) {
	out := &slowReader{open: make(chan struct{})}
	l := NewLines(out, WithBuffer(8), WithOrdinary("fine"))
	began := time.Now()
	for range 100 {
		_, _ = l.Write([]byte("fine\n"))
	}
	for range 3 {
		_, _ = l.Write([]byte("failure\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("103 lines without a reader: got %s, want no wait", took)
	}
	all, ordinary := l.Dropped()
	if all != ordinary || ordinary < 90 {
		t.Errorf("dropped: got %d, of them %d successes, want only successes and at least 90", all, ordinary)
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

package backend

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Guards against bytes without end that use memory without a limit or keep a call until its deadline, where they cannot become a valid
// response.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, tt := range []struct{ name, begin, more string }{
		{"odd bytes in place of a head", "", "\x00\x01\xff"},
		{"odd lines in place of a head", "", "odd\r\n"},
		{"a status line", "HTTP/1.1 200 ", "O"},
		{"a name", "HTTP/1.1 200 OK\r\n", "X"},
		{"a value", "HTTP/1.1 200 OK\r\nX: ", "y"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"a chunk size", chunked, "0"},
		{"a chunk extension", chunked + "1;", "x"},
		{"chunks with long extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		{"trailers", chunked + "0\r\n", "X: y\r\n"},
		{"a trailer", chunked + "0\r\nX: ", "y"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, tt.begin, closes)
			s.endless = tt.more
			go s.run()
			b := announceRaw(t, s, WithBufferedAnswers(1<<10))
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			got := do(ctx, b, call("/"))
			if got.err == nil {
				t.Fatalf("got status %d as complete, want a failure", got.status)
			}
			wantUnknown(t, got)
			if ctx.Err() != nil {
				t.Errorf("got %v at the deadline, want a failure before", got.err)
			}
		})
	}
}

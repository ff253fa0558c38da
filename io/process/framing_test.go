package process

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

// Guards against a body whose end is found elsewhere than net/http finds it: bytes behind it would run as a request that nobody sent,
// or a request would be taken for the rest of a body.
func TestWholeLength(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := []struct {
		name, request string
		whole         bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
		{"lines that end with LF", "GET / HTTP/1.1\nHost: x\n\n", true},
		{"length behind a line that ends with LF", fmt.Sprintf("GET / HTTP/1.1\r\nHost: x\nContent-Length: %d\r\n\r\n%s", len(next), next), true},
		{"length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", true},
		{"length 0", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", true},
		{"equal lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", true},
		{"chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nA;x=y \r\n0123456789\r\n0\r\n\r\n", true},
		{"chunks that hold a request", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(next), next), true},
		{"trailers", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		{"HTTP/1.0", "POST / HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", true},
		{"chunk size behind a bare LF", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n", false},
		{"chunk size that is no number", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n", false},
		{"trailer that net/http refuses", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("y", maxTrailerBytes) + "\r\n\r\n", false},
		{"trailers that net/http refuses", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", maxTrailerBytes/4+1) + "\r\n", false},
		{"long trailer", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("y", maxTrailerBytes-9) + "\r\n\r\n", true},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			want := -1
			if c.whole {
				want = len(c.request)
				if got := lengthByLibrary(t, c.request+next); got != want {
					t.Fatalf("net/http: got %d, want %d", got, want)
				}
			}
			if got := wholeLength([]byte(c.request + next)); got != want {
				t.Errorf("got %d, want %d", got, want)
			}
			for cut := range len(c.request) {
				if got := wholeLength([]byte(c.request[:cut])); got != -1 {
					t.Errorf("first %d bytes: got %d, want -1", cut, got)
				}
			}
			for seed := range uint64(20) {
				if got := lengthInPieces(c.request+next, rand.New(rand.NewPCG(seed, 1))); c.whole && got != want {
					t.Errorf("in pieces, seed %d: got %d, want %d", seed, got, want)
				}
			}
		})
	}
}

// lengthByLibrary returns how many bytes net/http reads for the first request of a text.
func lengthByLibrary(t *testing.T, text string) int {
	t.Helper()
	in := strings.NewReader(text)
	reader := bufio.NewReader(in)
	r, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Fatal(err)
	}
	return len(text) - in.Len() - reader.Buffered()
}

// lengthInPieces returns how many bytes a pipeline passes on for the first request of a text that comes in random pieces.
func lengthInPieces(text string, random *rand.Rand) int {
	l := &pipeline{atBoundary: true}
	passed := 0
	for passed < len(text) {
		piece := text[passed : passed+1+random.IntN(min(9, len(text)-passed))]
		n := l.follow([]byte(piece))
		passed += n
		if l.atBoundary {
			return passed
		}
	}
	return -1
}

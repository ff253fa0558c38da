package process

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// Guards against an answer that the end of a planned stop cuts and that looks complete: for a client of HTTP/1.0, the end of an answer
// without a length is the end of its connection, so only a reset shows that the answer broke off.
func TestCutAnswerShowsInHTTP10(t *testing.T) {
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c := dial(t, s)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if s.Shutdown(ctx, time.Now().Add(200*time.Millisecond)) == nil {
		t.Error("shutdown: got no error, want one for the cut request")
	}
	if body, err := io.ReadAll(p.Body); err == nil {
		t.Errorf("got %q as a complete answer, want an error", body)
	}
}

package process

import (
	"bufio"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Guards against an answer whose end is destroyed by a reset because its client sends another request on the connection that closes
// behind it: before the answer ends, after it, or both.
func TestAnswerSurvivesCrossingRequest(t *testing.T) {
	const size = 2 << 20
	for _, c := range []struct {
		name          string
		before, after string
	}{
		{"before the close", getRequests("/b")[:20], ""},
		{"after the close", "", getRequests("/b")},
		{"both", getRequests("/b")[:20], getRequests("/c")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Close() })
			conn := dial(t, s)
			_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
			_, _ = io.WriteString(conn, getRequests("/a"))
			reader := bufio.NewReader(conn)
			p, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, c.before)
			_, err = io.CopyN(io.Discard, p.Body, size/4)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // the server writes the rest into its buffer and closes
			_, _ = io.WriteString(conn, c.after)
			time.Sleep(100 * time.Millisecond)
			rest, err := io.Copy(io.Discard, p.Body)
			if err != nil || rest != size-size/4 {
				t.Errorf("got %d bytes and %v, want %d", rest, err, size-size/4)
			}
		})
	}
}

// Guards against a refusal of net/http itself that a reset destroys while its client still sends.
func TestErrorSurvivesBytesBehindIt(t *testing.T) {
	for _, c := range []struct{ name, send, want string }{
		{"no request", "BAD\r\n\r\n", "400"},
		{"unknown transfer coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: odd\r\n\r\n", "501"},
		{"long head", "GET / HTTP/1.1\r\nX: ", "431"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			conn := dial(t, s)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err := io.WriteString(conn, c.send)
			for range 64 {
				if err == nil {
					_, err = io.WriteString(conn, strings.Repeat("x", 4<<10))
				}
				time.Sleep(time.Millisecond)
			}
			if err != nil {
				t.Errorf("got %v while sending, want the connection ended only towards the client", err)
			}
			got, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), "HTTP/1.1 "+c.want) {
				t.Errorf("got %q, want %s", got, c.want)
			}
		})
	}
}

package caller

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

const (
	uploadBytes = 1 << 20
	uploadBlock = 4 << 10 // each block of an upload begins with its number
)

func numberedBlocks() []byte {
	b := make([]byte, uploadBytes)
	for at := 0; at < len(b); at += uploadBlock {
		binary.BigEndian.PutUint64(b[at:], uint64(at/uploadBlock))
	}
	return b
}

// upload is what an endpoint got of a body, and how the body ended.
type upload struct {
	body []byte
	err  error
}

// earlyEndpoint returns the address of an endpoint that sends early bytes of its answer before it reads the body, and what it got. With
// leaves, it ends its answer without reading on, and reads what comes afterwards.
func earlyEndpoint(t *testing.T, early int, leaves bool) (netip.AddrPort, chan upload) {
	t.Helper()
	got := make(chan upload, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		if leaves {
			w.Header().Set("Content-Length", fmt.Sprint(early))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", early))
		_ = rc.Flush()
		body, err := io.ReadAll(r.Body)
		got <- upload{body, err}
		if !leaves {
			_, _ = io.WriteString(w, "end")
		}
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), got
}

// Guards against a body of which an endpoint gets other bytes than were sent, or an end that was not sent, while its answer is passed on
// before the body is read. net/http discards up to 256 KiB of a body when the header of an answer is written.
func TestAnswerBeforeBody(t *testing.T) {
	whole := numberedBlocks()
	for _, c := range []struct {
		name   string
		early  int
		leaves bool
		sent   int // bytes of the body that the caller sends before it closes the connection
	}{
		{"short answer first", 1 << 10, false, uploadBytes},
		{"long answer first", 100 << 10, false, uploadBytes},
		{"short answer, body left", 1 << 10, true, uploadBytes},
		{"long answer, body left", 100 << 10, true, uploadBytes},
		{"long answer first, caller leaves", 100 << 10, false, uploadBytes / 2},
		{"caller leaves", 0, false, uploadBytes / 2},
	} {
		for _, chunked := range []bool{true, false} {
			for _, remote := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, chunked %v, remote %v", c.name, chunked, remote), func(t *testing.T) {
					t.Parallel()
					address, got := earlyEndpoint(t, c.early, c.leaves)
					n := dialUpload(t, address, remote)
					sendUpload(n, whole[:c.sent], chunked)
					if c.sent == len(whole) && !c.leaves {
						p, err := http.ReadResponse(bufio.NewReader(n), nil)
						if err != nil {
							t.Fatal(err)
						}
						if b, err := io.ReadAll(p.Body); err != nil || len(b) != c.early+len("end") {
							t.Errorf("answer: got %d bytes, %v, want %d", len(b), err, c.early+len("end"))
						}
					}
					_ = n.Close()
					checkUpload(t, <-got, whole, c.sent == len(whole) && !c.leaves)
				})
			}
		}
	}
}

// checkUpload checks that the endpoint got the start of the body that was sent, and its end only with the whole body.
func checkUpload(t *testing.T, u upload, sent []byte, complete bool) {
	t.Helper()
	for at := 0; at < len(u.body); at += uploadBlock {
		if part := u.body[at:min(at+uploadBlock, len(u.body))]; string(part) != string(sent[at:at+len(part)]) {
			t.Errorf("byte %d of the body: got %x, want %x", at, part[:8], sent[at:at+8])
			break
		}
	}
	if u.err == nil && len(u.body) != len(sent) {
		t.Errorf("got a complete body of %d bytes, want it broken", len(u.body))
	}
	if complete && u.err != nil {
		t.Errorf("got %d bytes and %v, want the complete body", len(u.body), u.err)
	}
}

// dialUpload connects to a caller listener in front of the endpoint; with remote, the endpoint is beside another node.
func dialUpload(t *testing.T, address netip.AddrPort, remote bool) net.Conn {
	t.Helper()
	b := backend.New(backend.WithBufferedAnswers(64<<10), backend.WithRenew(time.Minute))
	t.Cleanup(func() { _ = b.Close() })
	if f := b.Announce(backend.Announcement{Service: "counter", Endpoint: "a", Address: address, Slots: 1, Connections: 1}); f != nil {
		t.Fatal(f)
	}
	send := func(ctx context.Context, _ config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error) {
		return b.Do(ctx, m, r)
	}
	if remote {
		peer := httptest.NewUnstartedServer(nil)
		peer.Config = hop.HTTPServer(hop.NewServer(hop.WithDo(b.Do)))
		peer.Start()
		client := hop.New()
		t.Cleanup(func() {
			_ = client.Close()
			peer.Close()
		})
		send = func(ctx context.Context, _ config.Endpoint, m hop.Meta, r *http.Request) (*http.Response, error) {
			return client.Call(ctx, netip.MustParseAddrPort(peer.Listener.Addr().String()), m, r)
		}
	}
	h := New(
		WithMatch(func(_, _, _ string) (Match, *outcome.Failure) {
			return Match{Route: &config.Route{Service: "counter", Deadline: 10 * time.Second}, Service: &config.Service{Name: "counter"}}, nil
		}),
		WithPick(func(PickRequest) (config.Endpoint, string, error) {
			return config.Endpoint{Service: "counter", Name: "a"}, "", nil
		}),
		WithSend(send),
	)
	s, err := process.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), h, process.WithServer(HTTPServer(h)), process.WithPipelining(func(*http.Request) bool { return false }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	n, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = n.SetDeadline(time.Now().Add(15 * time.Second))
	return n
}

// sendUpload sends a request with the body in parts. It sends the last chunk only after the whole body.
func sendUpload(n net.Conn, body []byte, chunked bool) {
	framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(n, "POST /x HTTP/1.1\r\nHost: h.example\r\n%s\r\n\r\n", framing)
	const part = 16 << 10
	for at := 0; at < len(body); at += part {
		p := body[at:min(at+part, len(body))]
		if chunked {
			_, _ = fmt.Fprintf(n, "%x\r\n%s\r\n", len(p), p)
		} else {
			_, _ = n.Write(p)
		}
		time.Sleep(2 * time.Millisecond)
	}
	if chunked && len(body) == uploadBytes {
		_, _ = io.WriteString(n, "0\r\n\r\n")
	}
}

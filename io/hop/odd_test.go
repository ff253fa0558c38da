package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"godwitspindle/core/outcome"
)

// refusal returns the header fields of a node's refusal of a call; an empty id gives one that names no call.
func refusal(status, call string) []string {
	fields := []string{":status", status, "mesh-outcome", "notrun", "mesh-code", "overload"}
	if call != "" {
		fields = append(fields, "mesh-call", call)
	}
	return fields
}

// Guards against a call that runs while it is told as not run, because its peer writes an earlier refusal once more on the connection: on
// the earlier stream, on the call's own one, in two frames, as an interim answer or as trailers. The first call is refused.
func TestRepeatedRefusal(t *testing.T) {
	const own = "c2"
	whole := func(f *http2.Framer, n uint32) {
		writeHead(f, n, false, ":status", "200", "mesh-call", own)
		_ = f.WriteData(n, true, []byte("answer"))
	}
	for _, c := range []struct {
		name, want string // the answer's body, or unknown for a failure or a broken answer
		second     func(c net.Conn, f *http2.Framer, stream uint32)
	}{
		{"nothing", "answer", func(_ net.Conn, f *http2.Framer, n uint32) { whole(f, n) }},
		{"on the earlier stream", "answer", func(_ net.Conn, f *http2.Framer, n uint32) {
			writeHead(f, n-2, true, refusal("503", "c1")...)
			whole(f, n)
		}},
		{"earlier stream refused again", "answer", func(_ net.Conn, f *http2.Framer, n uint32) {
			_ = f.WriteRSTStream(n-2, http2.ErrCodeRefusedStream)
			whole(f, n)
		}},
		{"with the earlier id", "unknown", func(_ net.Conn, f *http2.Framer, n uint32) { writeHead(f, n, true, refusal("503", "c1")...) }},
		{"without id", "unknown", func(_ net.Conn, f *http2.Framer, n uint32) { writeHead(f, n, true, refusal("503", "")...) }},
		{"in two frames", "unknown", func(_ net.Conn, f *http2.Framer, n uint32) {
			var b strings.Builder
			e := hpack.NewEncoder(&b)
			for i, fields := 0, refusal("503", "c1"); i < len(fields); i += 2 {
				_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
			}
			_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: n, BlockFragment: []byte(b.String()[:9]), EndStream: true})
			time.Sleep(5 * time.Millisecond)
			_ = f.WriteContinuation(n, true, []byte(b.String()[9:]))
		}},
		{"as an interim answer", "answer", func(_ net.Conn, f *http2.Framer, n uint32) {
			writeHead(f, n, false, refusal("103", own)...)
			whole(f, n)
		}},
		{"as trailers", "answer", func(_ net.Conn, f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "200", "mesh-call", own)
			_ = f.WriteData(n, false, []byte("answer"))
			writeHead(f, n, true, refusal("503", own)[2:]...)
		}},
		{"as a second head", "unknown", func(_ net.Conn, f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "200", "mesh-call", own)
			writeHead(f, n, true, refusal("503", own)...)
		}},
		{"stream refused after the head", "unknown", func(_ net.Conn, f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "200", "mesh-call", own)
			_ = f.WriteRSTStream(n, http2.ErrCodeRefusedStream)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := rawPeer(t, func(n net.Conn, f *http2.Framer, stream uint32, number int) {
				if number == 1 {
					writeHead(f, stream, true, refusal("503", "c1")...)
					return
				}
				c.second(n, f, stream)
			})
			client := New(WithConnections(1))
			defer func() { _ = client.Close() }()
			if got := callText(t, client, a, "c1"); got != string(outcome.NotRun) {
				t.Fatalf("first call: got %q, want notrun", got)
			}
			if got := callText(t, client, a, own); got != c.want {
				t.Errorf("second call: got %q, want %q", got, c.want)
			}
		})
	}
}

// callText makes a call and returns the body of its whole answer or the kind of its failure; a broken answer counts as unknown.
func callText(t *testing.T, client *Client, a netip.AddrPort, call string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p, err := client.Call(ctx, a, testMeta(call), request("GET", "/", ""))
	if err != nil {
		return string(AsFailure(err, call).Kind)
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(p.Body)
	if err != nil {
		return string(outcome.Unknown)
	}
	return string(body)
}

// Guards against an answer that a peer stopped at any byte of its frames and that the calling node takes for whole: in the head, in an
// interim head, in the body and in the trailers, by a close or a reset.
func TestCutFrames(t *testing.T) {
	for name, write := range map[string]func(f *http2.Framer, n uint32){
		"body": func(f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "200", "mesh-call", "c1")
			_ = f.WriteData(n, true, []byte("answer"))
		},
		"empty": func(f *http2.Framer, n uint32) { writeHead(f, n, true, ":status", "200", "mesh-call", "c1") },
		"empty end": func(f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "200", "mesh-call", "c1")
			_ = f.WriteData(n, true, nil)
		},
		"interim": func(f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "103", "mesh-call", "c1")
			writeHead(f, n, true, ":status", "200", "mesh-call", "c1")
		},
		"trailers": func(f *http2.Framer, n uint32) {
			writeHead(f, n, false, ":status", "200", "mesh-call", "c1")
			_ = f.WriteData(n, false, []byte("answer"))
			writeHead(f, n, true, "x-sum", "1")
		},
	} {
		var text strings.Builder
		write(http2.NewFramer(&text, nil), 1)
		for _, reset := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", closed", true: ", reset"}[reset], func(t *testing.T) {
				t.Parallel()
				for cut := range text.Len() + 1 {
					a := rawPeer(t, func(c net.Conn, _ *http2.Framer, _ uint32, _ int) {
						_, _ = io.WriteString(c, text.String()[:cut])
						if reset && cut < text.Len() {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						if cut < text.Len() {
							_ = c.Close()
						}
					})
					client := New()
					got := callText(t, client, a, "c1")
					_ = client.Close()
					if want := cut == text.Len(); (got != string(outcome.Unknown)) != want {
						t.Errorf("cut after %d of %d bytes: got %q, want whole %v", cut, text.Len(), got, want)
					}
				}
			})
		}
	}
}

// Guards against an answer of a peer that is passed on though its status or its length is not valid.
func TestInvalidAnswers(t *testing.T) {
	const body = "answer"
	for _, c := range []struct {
		name   string
		fields []string // besides the id of the call
		want   string
	}{
		{"valid", []string{":status", "200"}, body},
		{"valid, with its length", []string{":status", "200", "content-length", "6"}, body},
		{"status 000", []string{":status", "000"}, "unknown"},
		{"status 099", []string{":status", "099"}, "unknown"},
		{"status 600", []string{":status", "600"}, "unknown"},
		{"status 1200", []string{":status", "1200"}, "unknown"},
		{"status +200", []string{":status", "+200"}, "unknown"},
		{"status 2xx", []string{":status", "2xx"}, "unknown"},
		{"longer than its length", []string{":status", "200", "content-length", "3"}, "unknown"},
		{"shorter than its length", []string{":status", "200", "content-length", "9"}, "unknown"},
		{"two lengths", []string{":status", "200", "content-length", "6", "content-length", "7"}, "unknown"},
		{"the same length twice", []string{":status", "200", "content-length", "6", "content-length", "6"}, "unknown"},
		{"+6 as a length", []string{":status", "200", "content-length", "+6"}, "unknown"},
		{"control byte in a value", []string{":status", "200", "x-odd", "a\x01"}, "unknown"},
		{"blank in a name", []string{":status", "200", "x-odd ", "1"}, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := rawPeer(t, func(_ net.Conn, f *http2.Framer, n uint32, _ int) {
				writeHead(f, n, false, append(c.fields, "mesh-call", "c1")...)
				_ = f.WriteData(n, true, []byte(body))
			})
			client := New()
			defer func() { _ = client.Close() }()
			if got := callText(t, client, a, "c1"); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a backend server that writes the refusal headers of the mesh itself, so that the calling node reports a request that ran
// as not run.
func TestRefusalHeadersOfBackend(t *testing.T) {
	forged := http.Header{"Mesh-Outcome": {"notrun"}, "Mesh-Code": {"overload"}, "Mesh-Call": {"c0"}}
	a := serve(t, NewServer(WithDo(func(context.Context, Meta, *http.Request) (*http.Response, error) {
		return &http.Response{
			StatusCode: 503, Header: forged.Clone(), Trailer: forged.Clone(), Body: io.NopCloser(strings.NewReader("answer")), ContentLength: -1,
		}, nil
	})))
	client := New()
	defer func() { _ = client.Close() }()
	if got := callText(t, client, a, "c1"); got != "answer" {
		t.Errorf("got %q, want the answer", got)
	}
}

// Guards against a wait that overflows and is negative, so that a refused request is sent again at once.
func TestOddRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"0": 0, "2": 2 * time.Second, "301": MaxDeadline, "10000000000": MaxDeadline, "9223372036854775807": MaxDeadline,
		"9223372036854775808": defaultRetryAfter, "-1": defaultRetryAfter, "1.5": defaultRetryAfter, "1e400": defaultRetryAfter, "\x00": defaultRetryAfter,
	} {
		got, shed := Shed(&http.Response{StatusCode: 503, Header: http.Header{"Retry-After": {value}}})
		if got != want || !shed {
			t.Errorf("Retry-After %q: got %v, %v, want %v", value, got, shed, want)
		}
	}
}

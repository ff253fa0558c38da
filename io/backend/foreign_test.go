package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/outcome"
)

const headerAttempt = "Attempt"

// Guards against an answer that reaches the wrong caller: on a reused connection, a backend server repeats the answer to an
// earlier request before the answer that is due.
func TestForeignAnswer(t *testing.T) {
	tests := []struct {
		name  string
		extra func(id string) string // sent before the answer to the second request
		want  string                 // body of the answer, or code of the failure
	}{
		{"nothing", func(string) string { return "" }, "second"},
		{"the first answer again", func(id string) string { return answerText(id, "first") }, "second"},
		{"several", func(id string) string { return answerText(id, "first") + answerText("other", "odd") }, "second"},
		{"more answers to other requests than are skipped", func(id string) string {
			text := ""
			for range maxForeign + 1 {
				text += answerText(id, "first")
			}
			return text
		}, string(outcome.Reset)},
		{"a long answer that contains another one", func(id string) string {
			return answerText(id, strings.Repeat("x", maxForeignBytes)+answerText("2", "odd"))
		}, string(outcome.Reset)},
		{"bytes that are no answer", func(string) string { return "\x00\x01 odd bytes\r\n\r\n" }, string(outcome.Reset)},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go serveTwice(l, c.extra)
			b := New(
				WithForeign(func(r *http.Request, p *http.Response) bool {
					return p.Header.Get(headerAttempt) != r.Header.Get(headerAttempt)
				}),
				WithBufferedAnswers(1<<10),
			)
			defer func() { _ = b.Close() }()
			a := Announcement{Service: "counter", Endpoint: "a", Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 2, Connections: 1}
			if f := b.Announce(a); f != nil {
				t.Fatal(f)
			}
			if got := bodyOrCode(t, b, "1"); got != "first" {
				t.Fatalf("first request: got %q, want first", got)
			}
			time.Sleep(20 * time.Millisecond) // the connection is idle when the second request follows
			if got := bodyOrCode(t, b, "2"); got != c.want {
				t.Errorf("second request: got %q, want %q", got, c.want)
			}
		})
	}
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, len(body), body)
}

// serveTwice answers two requests on one connection, with the extra bytes before the second answer.
func serveTwice(l net.Listener, extra func(id string) string) {
	n, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = n.Close() }()
	in := bufio.NewReader(n)
	for _, body := range []string{"first", "second"} {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := answerText(r.Header.Get(headerAttempt), body)
		if body == "second" {
			text = extra("1") + text
		}
		_, _ = io.WriteString(n, text)
	}
	_, _ = in.ReadByte() // waits until the client closes the connection
}

func bodyOrCode(t *testing.T, b *Backend, id string) string {
	t.Helper()
	p, err := b.Do(t.Context(), testMeta(id), call("/x", headerAttempt, id))
	var f *outcome.Failure
	if err != nil {
		f, _ = err.(*outcome.Failure)
		return string(f.Code)
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(p.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against announcements and leaves that arrive out of order: a late one must not restore a process that left, nor
// replace one that started later.
func TestAnnouncementOrder(t *testing.T) {
	b := New()
	defer func() { _ = b.Close() }()
	at := netip.MustParseAddrPort("127.0.0.1:9")
	announce := func(id string, incarnation, sequence uint64) func() {
		return func() {
			_ = b.Announce(Announcement{Service: "counter", Endpoint: id, Address: at, Slots: 1, Connections: 1, Incarnation: incarnation, Sequence: sequence})
		}
	}
	leave := func(id string, incarnation uint64) func() {
		return func() { b.Leave(Announcement{Service: "counter", Endpoint: id, Address: at, Incarnation: incarnation}) }
	}
	adopt := func(id string, incarnation uint64) func() {
		return func() {
			b.Adopt(Announcement{Service: "counter", Endpoint: id, Address: at, Slots: 1, Connections: 1, Incarnation: incarnation}, time.Second)
		}
	}
	for _, c := range []struct {
		name string
		do   func()
		want string // ENDPOINT/INCARNATION/SEQUENCE of each endpoint
	}{
		{"first", announce("a", 100, 1), "a/100/1"},
		{"next", announce("a", 100, 3), "a/100/3"},
		{"late", announce("a", 100, 2), "a/100/3"},
		{"leave", leave("a", 100), ""},
		{"late after the leave", announce("a", 100, 4), ""},
		{"later start, same name", announce("a", 200, 1), "a/200/1"},
		{"leave of the earlier start", leave("a", 100), "a/200/1"},
		{"earlier start", announce("a", 100, 9), "a/200/1"},
		{"later start, other name", announce("b", 300, 1), "b/300/1"},
		{"late, with the earlier name", announce("a", 200, 2), "b/300/1"},
		{"leave before any announcement", leave("c", 400), "b/300/1"},
		{"announcement after that leave", announce("c", 400, 1), "b/300/1"},
		{"adoption of an earlier start", adopt("a", 200), "b/300/1"},
		{"leave of the last one", leave("b", 300), ""},
		{"adoption of one that left", adopt("b", 300), ""},
	} {
		c.do()
		got := ""
		for _, a := range b.Endpoints() {
			got += fmt.Sprintf("%s/%d/%d", a.Endpoint, a.Incarnation, a.Sequence)
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

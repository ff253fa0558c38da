package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// parts is a connection whose reads return the given parts, and then the end of the connection.
type parts struct {
	net.Conn
	left [][]byte
}

func (p *parts) Read(b []byte) (int, error) {
	for len(p.left) > 0 && len(p.left[0]) == 0 {
		p.left = p.left[1:]
	}
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[0])
	p.left[0] = p.left[0][n:]
	return n, nil
}

// noSocket is a connection without a socket, so that the end of its bytes counts as an orderly close.
type noSocket struct{ syscall.RawConn }

func (noSocket) Control(func(uintptr)) error { return errors.ErrUnsupported }

// reading is a response as a caller gets it; taken is the number of bytes that belong to it.
type reading struct {
	status          int
	header, trailer http.Header
	body            string
	complete        bool
	framed          bool // the response states its end
	taken           int
}

func read(method string, data ...[]byte) reading {
	all := 0
	for _, d := range data {
		all += len(d)
	}
	in := &parts{left: data}
	w := &trackedConn{Conn: in}
	x := &exchange{request: &http.Request{Method: method}, conn: &conn{
		tracked: w, reader: bufio.NewReaderSize(w, bufferBytes), raw: noSocket{}, isForeign: func(*http.Request, *http.Response) bool { return false },
	}}
	p, err := x.readHead()
	if err != nil {
		return reading{}
	}
	body, err := io.ReadAll(p.Body)
	unread := x.conn.reader.Buffered()
	for _, d := range in.left {
		unread += len(d)
	}
	_, isClosed := p.Body.(*closedBody)
	return reading{
		status: p.StatusCode, header: p.Header, trailer: p.Trailer, body: string(body), complete: err == nil, framed: !isClosed, taken: all - unread,
	}
}

// Guards against bytes that are read differently when they arrive in other parts, a response that is complete before its end, and
// fields that may not be passed on.
func FuzzResponse(f *testing.F) {
	for _, c := range responseCases {
		f.Add([]byte(c.response), uint16(len(c.response)/2), c.method == http.MethodHead)
	}
	f.Fuzz(func(t *testing.T, data []byte, at uint16, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		cut := min(int(at), len(data))
		whole := read(method, data)
		apart := read(method, data[:cut], data[cut:])
		short := read(method, data[:cut])
		if whole.complete != apart.complete || whole.status != apart.status || whole.complete && (whole.body != apart.body || whole.taken != apart.taken) {
			t.Errorf("in two parts: got %+v, want %+v", apart, whole)
		}
		if whole.complete && whole.framed && cut < whole.taken && short.complete {
			t.Errorf("the first %d of %d bytes: got a complete response", cut, whole.taken)
		}
		if whole.status == 0 {
			return
		}
		if whole.status < 100 || whole.status > 599 {
			t.Errorf("got status %d, want 100 to 599", whole.status)
		}
		for _, h := range []http.Header{whole.header, whole.trailer} {
			checkFields(t, h)
		}
	})
}

func checkFields(t *testing.T, h http.Header) {
	t.Helper()
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			t.Errorf("got field %q with values %q, want no others than valid ones", name, values)
		}
	}
}

package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// conn is one HTTP/1.1 connection to a backend server. It carries one request at a time and sends nothing twice.
type conn struct {
	wire   *wire
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time // when it became idle
	peek   func(fd uintptr) bool
	peeked error // of the last peek
	// foreign recognizes the answer to another request.
	foreign func(*http.Request, *http.Response) bool
}

// wire notes writes, by which a request that broke is proven not to have been sent, and bounds the head of an answer.
type wire struct {
	net.Conn
	wrote   atomic.Bool
	heading bool // the head of an answer is being read
	left    int  // bytes that the head may still take
}

// HeadError says that the head of a backend server's answer is longer than Limit bytes.
type HeadError struct{ Limit int }

// Error gives the limit.
func (e *HeadError) Error() string {
	return fmt.Sprintf("head of the answer: want at most %d bytes", e.Limit)
}

// Bounds of answers to other requests that are passed over on one connection.
const (
	maxForeign      = 4
	maxForeignBytes = 1 << 20
)

// ForeignError says that a connection brought only answers to other requests.
type ForeignError struct{}

// Error says so.
func (*ForeignError) Error() string { return "too many answers to other requests" }

// Write notes that bytes may leave before it writes them.
func (w *wire) Write(b []byte) (int, error) {
	w.wrote.Store(true)
	return w.Conn.Write(b)
}

// Read fails once the head of an answer is too long.
func (w *wire) Read(b []byte) (int, error) {
	if w.heading && w.left <= 0 {
		return 0, &HeadError{Limit: maxHeaderBytes}
	}
	n, err := w.Conn.Read(b)
	w.left -= n
	return n, err
}

// quiet reports whether an idle connection is open and has nothing to read. Without the check, each request after the
// backend server closed an idle connection would end as Unknown, since its bytes can be written.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	err := c.raw.Read(c.peek)
	return err == nil && (c.peeked == syscall.EAGAIN || c.peeked == syscall.EINTR)
}

// newConn returns a connection without a request.
func newConn(n *net.TCPConn, foreign func(*http.Request, *http.Response) bool) (*conn, error) {
	raw, err := n.SyscallConn()
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: n}
	c := &conn{foreign: foreign, wire: w, raw: raw, reader: bufio.NewReaderSize(w, bufferBytes), writer: bufio.NewWriterSize(w, bufferBytes)}
	b := make([]byte, 1)
	c.peek = func(fd uintptr) bool {
		_, _, c.peeked = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return c, nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	conn    *conn
	request *http.Request
	stop    func() bool   // ends the watch on the request's context
	written chan struct{} // closed when the request is written; nil once that is known
	failure error         // of the writing, valid after written
}

// start sends a request and returns the head of its answer. A body is written beside, since the backend server may answer
// before it has read it. After an error nothing is written any more.
func (c *conn) start(ctx context.Context, r *http.Request) (*exchange, *http.Response, error) {
	x := &exchange{conn: c, request: r}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	if r.Body == nil {
		if err := x.write(); err != nil {
			return x, nil, err
		}
	} else {
		x.written = make(chan struct{})
		go func() {
			defer close(x.written)
			x.failure = x.write()
			if x.failure != nil && !c.wire.wrote.Load() {
				_ = c.wire.SetDeadline(past) // no answer will come
			}
		}()
	}
	p, err := x.head()
	if err != nil {
		x.interrupt()
		x.settled(true)
		if x.failure != nil && ctx.Err() == nil && !c.wire.wrote.Load() {
			err = x.failure
		}
	}
	return x, p, err
}

func (x *exchange) write() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// head reads up to the first final answer to the request. A backend server may send the answer to an earlier request once
// more where the next one is due.
func (x *exchange) head() (*http.Response, error) {
	w := x.conn.wire
	w.heading, w.left = true, maxHeaderBytes
	defer func() { w.heading = false }()
	for passed := 0; ; {
		p, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, err
		}
		if p.StatusCode < http.StatusOK && p.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if !x.conn.foreign(x.request, p) {
			return p, nil
		}
		if passed++; passed > maxForeign {
			return nil, &ForeignError{}
		}
		w.heading = false
		if _, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxForeignBytes)); err != nil {
			return nil, err
		}
		w.heading, w.left = true, maxHeaderBytes
	}
}

// interrupt ends all reads and writes of the exchange.
func (x *exchange) interrupt() {
	_ = x.conn.wire.SetDeadline(past)
	if x.request.Body != nil {
		_ = x.request.Body.Close() // ends a read that waits for the caller
	}
}

// settled reports whether the request is written; with wait it waits for the end of the writing.
func (x *exchange) settled(wait bool) bool {
	if x.written == nil {
		return true
	}
	if wait {
		<-x.written
		return true
	}
	select {
	case <-x.written:
		return x.failure == nil
	default:
		return false
	}
}

// end reports whether the connection can carry another request after the answer was read whole.
func (x *exchange) end(p *http.Response) bool {
	if !x.stop() {
		return false // the interruption may still run
	}
	if !x.settled(false) {
		x.interrupt()
		return false
	}
	return p != nil && !p.Close && !x.request.Close && x.conn.reader.Buffered() == 0
}

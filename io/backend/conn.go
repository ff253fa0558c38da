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

// expiredDeadline is a deadline in the past, which ends pending reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// conn is an HTTP/1.1 connection to a backend server. It carries one request at a time and never resends a request.
type conn struct {
	tracked   *trackedConn
	raw       syscall.RawConn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time // time of the end of the last request
	reused    bool      // it has carried a request before
	peek      func(fd uintptr) bool
	peekErr   error // result of the last peek
	// isForeign reports whether an answer belongs to another request.
	isForeign func(*http.Request, *http.Response) bool
}

// trackedConn records whether anything was written, since a failed request of which nothing was written did not run. It also
// limits the size of response headers.
type trackedConn struct {
	net.Conn
	written       atomic.Bool
	readingHead   bool // response headers are being read
	headBytesLeft int  // bytes that the response headers may still have
}

// HeadError reports that the headers of a backend server's answer exceed Limit bytes.
type HeadError struct{ Limit int }

// Error names the limit in bytes.
func (e *HeadError) Error() string {
	return fmt.Sprintf("response headers of the backend server: want at most %d bytes", e.Limit)
}

// Limits on the answers to other requests that are skipped before the answer to a request.
const (
	maxForeign      = 4
	maxForeignBytes = 1 << 20
)

// ForeignError reports that a backend server sent too many or too long answers to other requests in place of the one that was due.
type ForeignError struct{}

// Error names the limits on such answers.
func (*ForeignError) Error() string {
	return fmt.Sprintf("backend server: want at most %d answers of %d bytes to other requests before the one that is due", maxForeign, maxForeignBytes)
}

// Write records that bytes may have been sent, before it writes them.
func (w *trackedConn) Write(b []byte) (int, error) {
	w.written.Store(true)
	return w.Conn.Write(b)
}

// Read fails with a *HeadError once the response headers exceed maxHeaderBytes.
func (w *trackedConn) Read(b []byte) (int, error) {
	if w.readingHead && w.headBytesLeft <= 0 {
		return 0, &HeadError{Limit: maxHeaderBytes}
	}
	n, err := w.Conn.Read(b)
	w.headBytesLeft -= n
	return n, err
}

// reusable reports whether an idle connection is open and has nothing to read. Without this check, a request on a connection
// that the backend server has closed would end as Unknown, because its bytes can still be written.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	err := c.raw.Read(c.peek)
	return err == nil && (c.peekErr == syscall.EAGAIN || c.peekErr == syscall.EINTR)
}

// resetOnClose makes the close of the connection reset it. A port that is closed in the usual way stays taken for a minute, so under
// hundreds of refusals a second there would be no port for new connections.
func (c *conn) resetOnClose() {
	if n, ok := c.tracked.Conn.(*net.TCPConn); ok {
		_ = n.SetLinger(0)
	}
}

// newConn prepares a new TCP connection for requests.
func newConn(n *net.TCPConn, isForeign func(*http.Request, *http.Response) bool) (*conn, error) {
	raw, err := n.SyscallConn()
	if err != nil {
		return nil, err
	}
	w := &trackedConn{Conn: n}
	c := &conn{isForeign: isForeign, tracked: w, raw: raw, reader: bufio.NewReaderSize(w, bufferBytes), writer: bufio.NewWriterSize(w, bufferBytes)}
	b := make([]byte, 1)
	c.peek = func(fd uintptr) bool {
		_, _, c.peekErr = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return c, nil
}

// exchange is a request and its answer on a connection.
type exchange struct {
	conn     *conn
	request  *http.Request
	stop     func() bool   // cancels the call of interrupt at the context's end; false if it has begun
	written  chan struct{} // closed when writing has ended; nil for a request without body, which start writes itself
	writeErr error         // write error of the request, valid once written is closed
}

// start sends a request and returns its answer once the response headers are read. A goroutine writes the request if it has a
// body, since the backend server may answer before it has read the body. When start returns an error, all writing has ended.
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
			x.writeErr = x.write()
			if x.writeErr != nil && !c.tracked.written.Load() {
				_ = c.tracked.SetDeadline(expiredDeadline) // ends the read of an answer that cannot come
			}
		}()
	}
	p, err := x.readHead()
	if err != nil {
		x.interrupt()
		x.requestWritten(true)
		if x.writeErr != nil && ctx.Err() == nil && !c.tracked.written.Load() {
			err = x.writeErr
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

// readHead skips interim answers and answers to other requests, and returns the final answer to the request. A backend server
// may repeat the answer to an earlier request on the connection.
func (x *exchange) readHead() (*http.Response, error) {
	w := x.conn.tracked
	w.readingHead, w.headBytesLeft = true, maxHeaderBytes
	defer func() { w.readingHead = false }()
	for skipped := 0; ; {
		p, err := x.readResponse()
		if err != nil {
			return nil, err
		}
		if p.StatusCode < http.StatusOK && p.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if !x.conn.isForeign(x.request, p) {
			return p, nil
		}
		if skipped++; skipped > maxForeign {
			return nil, &ForeignError{}
		}
		w.readingHead = false
		n, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxForeignBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxForeignBytes {
			return nil, &ForeignError{} // the rest of the body must not be read as an answer
		}
		w.readingHead, w.headBytesLeft = true, maxHeaderBytes
	}
}

// interrupt makes all reads and writes of the exchange fail.
func (x *exchange) interrupt() {
	_ = x.conn.tracked.SetDeadline(expiredDeadline)
	if x.request.Body != nil {
		_ = x.request.Body.Close() // ends a read that waits for bytes from the caller
	}
}

// requestWritten reports whether the whole request is written. With wait it returns true once writing has ended, even after
// a write error.
func (x *exchange) requestWritten(wait bool) bool {
	if x.written == nil {
		return true
	}
	if wait {
		<-x.written
		return true
	}
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// finish ends the exchange and reports whether the connection can carry another request, provided that the answer was read to
// its end.
func (x *exchange) finish(p *http.Response) bool {
	if !x.stop() {
		return false // interrupt has started and may still be running
	}
	if !x.requestWritten(false) {
		x.interrupt()
		return false
	}
	return p != nil && !p.Close && !x.request.Close && x.conn.reader.Buffered() == 0
}

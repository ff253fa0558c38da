package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lingerTime      = 500 * time.Millisecond // longest wait for a client to close its side
	maxLingerTime   = 5 * time.Second        // the same while a part of an answer is not acknowledged, or the rest of a body arrives
	firstLingerWait = time.Millisecond       // time until the second look whether the client has closed its side; it doubles
	maxLingerWait   = 16 * time.Millisecond  // longest time between two such looks
	discardBuffer   = 4 << 10                // bytes of a body that are dropped at once
	maxDiscards     = 64                     // buffers that are dropped between two such looks
)

// longAgo is a read deadline that ends a blocked read at once.
var longAgo = time.Unix(1, 0)

// stoppedError ends the read of a request that is not read any more. As a timeout, it makes net/http close the connection without
// an answer.
type stoppedError struct{}

// Error describes the cause.
func (stoppedError) Error() string { return "no further request is read" }

// Timeout makes net/http treat the error like a late request.
func (stoppedError) Timeout() bool { return true }

// Temporary completes net.Error.
func (stoppedError) Temporary() bool { return false }

// interruptedError ends a read whose conditions have changed.
type interruptedError struct{}

// Error describes the cause.
func (interruptedError) Error() string { return "read interrupted" }

var errInterrupted error = interruptedError{}

// countedConn leaves the count of open connections when it is closed. During a shutdown, net/http closes connections
// that it considers idle although a request may just have been read from them. With countedConn, either the connection closes
// and the request is not handled, or the request is handled and the connection closes after its answer.
type countedConn struct {
	net.Conn
	listener *countingListener
	release  func()    // removes the connection from the count of open ones
	pipeline *pipeline // nil if the connection may carry HTTP/2

	mu          sync.Mutex
	active      bool      // a request is running
	used        bool      // a request was read
	idleSince   time.Time // end of the last request; zero before
	pending     bool      // the connection closes once the request has ended
	abandoned   bool      // the connection was closed while no request was running
	hijacked    bool      // the handler closes the connection, maybe with a reset
	untilClose  bool      // a handler runs whose answer may end with the connection, as in HTTP/1.0
	ended       bool      // Close has begun
	stopped     bool      // no further request is read
	silent      bool      // it was stopped within the head of a request, to which net/http would invent an answer
	interrupted bool      // the read deadline is replaced by longAgo until the next read
	deadline    time.Time // read deadline that net/http has set
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NetConn returns the connection that is counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection, or from its pipeline one request at a time.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.pipeline != nil {
		return c.pipeline.Read(p)
	}
	return c.Conn.Read(p)
}

// Write sends a part of an answer.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return 0, stoppedError{}
	}
	return c.Conn.Write(p)
}

// SetReadDeadline sets the time after which reads fail.
func (c *countedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.interrupted {
		return nil // the next read restores the deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt ends a blocked read, so that it looks at its conditions again. Bytes that the read has taken are not lost.
func (c *countedConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(longAgo)
}

// receiveOnce reads bytes of requests, as long as further ones may be read. It returns errInterrupted after interrupt.
func (c *countedConn) receiveOnce(p []byte) (int, error) {
	if !c.mayReceive() {
		return 0, stoppedError{}
	}
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return 0, err
	}
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.deadline)
	return 0, errInterrupted
}

// mayReceive reports whether bytes of requests may be read.
func (c *countedConn) mayReceive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active && !c.stopped {
		c.stopped = c.mustStop()
		c.silent = c.stopped && c.pipeline != nil && c.pipeline.begun()
	}
	return !c.ended && (c.active || !c.stopped)
}

// mustStop reports whether no further request may be read from a connection without a running one. Before the end of all reads, one
// that has been sent in part or lies in the receive buffer is read.
func (c *countedConn) mustStop() bool {
	l := c.listener
	switch {
	case l.readOver.Load():
		return true
	case !l.graceful.Load(), !c.used && !l.unusedOver.Load(), c.pipeline != nil && c.pipeline.begun():
		return false
	}
	return !hasUnread(c.Conn)
}

// hasUnread reports whether the receive buffer of a connection holds bytes.
func hasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	return err == nil && n > 0
}

// CloseWrite ends the connection towards the client; net/http does so before it closes a connection with a body that it has not read.
func (c *countedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection. During a graceful shutdown, one with a running request closes once the request has ended.
func (c *countedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && c.listener.graceful.Load() {
		c.pending = true
		return nil
	}
	return c.end()
}

// end closes the connection. A close with unread bytes, and bytes that arrive behind it, make the kernel reset the connection, which
// may destroy an answer on its way. Therefore the connection first ends towards the client. The caller holds the mutex.
func (c *countedConn) end() error {
	c.abandoned = c.abandoned || !c.active
	if c.ended {
		return nil
	}
	c.ended = true
	t, ok := c.Conn.(*net.TCPConn)
	if ok && c.untilClose {
		_ = t.SetLinger(0) // only a reset shows that the answer broke off
	}
	orderly := ok && !c.untilClose && c.pipeline != nil && !c.hijacked && !c.listener.cut.Load() && !c.isQuiet()
	if c.pipeline != nil {
		c.pipeline.abort()
	}
	if orderly && t.CloseWrite() == nil {
		c.interrupted = true
		_ = t.SetReadDeadline(longAgo)
		go c.linger(t)
		return nil
	}
	c.release()
	return c.Conn.Close()
}

// isQuiet reports whether nothing on its way could be lost by a close at once: no byte of a request, and no answer of late. The caller
// holds the mutex.
func (c *countedConn) isQuiet() bool {
	return !c.active && !c.pipeline.begun() && time.Since(c.idleSince) > lingerTime && !hasUnread(c.Conn)
}

// linger closes a connection that has ended towards the client once the client has closed its side, after lingerTime at the latest,
// or after maxLingerTime if a close would reset it before the client's system has the whole answer, or while the rest of a body whose
// request was answered arrives, as a client may send that before it looks at the answer. It reads nothing else.
func (c *countedConn) linger(t *net.TCPConn) {
	defer c.release()
	defer func() { _ = t.Close() }()
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	buffer, ended := make([]byte, discardBuffer), false
	began := time.Now()
	for wait := firstLingerWait; !ended; wait = min(2*wait, maxLingerWait) {
		if err := raw.Control(func(fd uintptr) {
			var dropped bool
			dropped, ended = c.discardBody(int(fd), buffer)
			limit := lingerTime
			if dropped {
				wait = firstLingerWait
			}
			if dropped || hasUnsent(int(fd)) {
				limit = maxLingerTime
			}
			ended = ended || time.Since(began) > limit
		}); err != nil {
			return
		}
		if !ended {
			time.Sleep(wait)
		}
	}
}

// hasUnsent reports whether the client's system has not acknowledged all bytes of the answers.
func hasUnsent(fd int) bool {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	return err == nil && n > 0
}

// discardBody drops received bytes of a body whose request was answered, at most maxDiscards buffers, since more may arrive for as long
// as it looks. It reports whether there were any and whether the client has closed its side.
func (c *countedConn) discardBody(fd int, buffer []byte) (dropped, ended bool) {
	for range maxDiscards {
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != nil {
			return dropped, !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		}
		rest := c.pipeline.bodyRest(buffer[:n])
		if rest == 0 {
			return dropped, n == 0 || hasHungUp(fd)
		}
		if _, _, err := unix.Recvfrom(fd, buffer[:rest], unix.MSG_DONTWAIT); err != nil {
			return dropped, true
		}
		dropped = true
	}
	return dropped, false
}

// hasHungUp reports whether the client has closed its side, whatever the receive buffer holds before that.
func hasHungUp(fd int) bool {
	set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(set, 0)
	return err == nil && n > 0
}

// cutNow closes the connection at once.
func (c *countedConn) cutNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
	_ = c.Conn.Close()
}

// track follows the state that net/http reports for the connection.
func (c *countedConn) track(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.active = !c.abandoned
		c.used = true
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.active = false
		if s == http.StateIdle {
			c.idleSince = time.Now()
		}
		c.hijacked = c.hijacked || s == http.StateHijacked
		if c.pending || s == http.StateClosed {
			_ = c.end()
		}
	}
}

// setUntilClose records whether a handler runs whose answer may end with the connection.
func (c *countedConn) setUntilClose(is bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.untilClose = is
}

// isAbandoned reports whether the connection was closed before its request started.
func (c *countedConn) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// dropAbandoned drops requests whose connection was closed before they started. Their callers know that the requests did not
// run and send them again, so the requests must not be forwarded.
func dropAbandoned(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*countedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.isAbandoned() {
			panic(http.ErrAbortHandler)
		}
		if !r.ProtoAtLeast(1, 1) {
			c.setUntilClose(true)
			next.ServeHTTP(w, r)
			c.setUntilClose(false) // not after a panic, which breaks the answer off
		} else {
			next.ServeHTTP(w, r)
		}
		if c.listener.graceful.Load() {
			_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // net/http reads the rest of a body behind its answer
		}
	})
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

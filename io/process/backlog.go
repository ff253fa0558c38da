package process

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxBacklogTime = 200 * time.Millisecond // longest wait until the listener is closed
	handshakeWait  = 20 * time.Millisecond  // time in which a handshake that has begun ends; a round trip to callers takes up to 16 ms
	emptyWait      = time.Millisecond       // time without a connection after which the backlog counts as empty
	floodWait      = 50 * time.Microsecond  // the same while new handshakes may begin, short so that a flood of them has such gaps
	shortageTime   = 2 * maxBacklogTime     // longest wait for a descriptor; connections without a request close after maxBacklogTime
	emptyTries     = 3                      // waits in a row, because a wait that a busy machine begins late ends without a look at the backlog
)

// backlogDrain is the state of a planned close of a listener.
type backlogDrain struct {
	filtered bool          // the kernel begins no new handshakes
	settled  time.Time     // handshakes that began before the filter have ended
	lastTry  time.Time     // end of the wait for a descriptor
	closed   chan struct{} // closed once the accept loop has closed the listener
}

// deadliner is implemented by TCP listeners.
type deadliner interface{ SetDeadline(t time.Time) error }

// DrainBacklog makes Accept return the connections that wait in the backlog, then closes the listener, at most maxBacklogTime
// later. A close resets the connections in the backlog and those whose handshake has not ended, and a caller whose request was reset
// cannot know that the request did not run. Therefore new handshakes are kept out first. Where the system refuses that, the listener
// closes at the first moment with an empty backlog.
func (l *countingListener) DrainBacklog(ctx context.Context) {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return
	}
	keepOut := l.keepOut
	if keepOut == nil {
		keepOut = dropHandshakes
	}
	began := time.Now()
	drain := &backlogDrain{lastTry: began.Add(shortageTime), closed: make(chan struct{})}
	if l.drain.Load() != nil {
		return
	}
	if keepOut(l.Listener) == nil {
		drain.filtered, drain.settled = true, time.Now().Add(handshakeWait)
	}
	if !l.drain.CompareAndSwap(nil, drain) || d.SetDeadline(began) != nil {
		return
	}
	select {
	case <-drain.closed:
	case <-l.closed:
	case <-ctx.Done():
	case <-time.After(time.Until(began.Add(maxBacklogTime))):
		if !drain.filtered {
			_ = l.Listener.Close()
			l.onClosed()
		}
	}
}

// accept returns the next connection. After DrainBacklog, it closes the listener once the backlog is empty, and waits for Close.
func (l *countingListener) accept() (net.Conn, error) {
	for tries := 0; ; {
		c, err := l.Listener.Accept()
		drain := l.drain.Load()
		if err == nil || drain == nil {
			return c, err
		}
		if isShortage(err) && time.Now().Before(drain.lastTry) {
			time.Sleep(emptyWait)
			_ = l.Listener.(deadliner).SetDeadline(time.Now().Add(emptyWait))
			tries = 0
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || tries == emptyTries {
			_ = l.Listener.Close()
			l.onClosed()
			close(drain.closed)
			<-l.closed
			return nil, net.ErrClosed
		}
		next := time.Now().Add(floodWait)
		switch {
		case drain.filtered && time.Now().Before(drain.settled):
			next = drain.settled
		case drain.filtered:
			next = time.Now().Add(emptyWait)
			tries++
		default:
			tries++
		}
		if err := l.Listener.(deadliner).SetDeadline(next); err != nil {
			continue // the listener is closed, which the next Accept reports
		}
	}
}

// isShortage reports whether a connection could not be accepted for lack of descriptors, so that it is still in the backlog.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// dropHandshakes makes the kernel drop segments that ask for a new connection (SYN without ACK). Handshakes that have begun end as
// usual. The client sends a dropped segment again after a second, when the listener is closed and refuses it.
func dropHandshakes(l net.Listener) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	const flagsOffset, syn, ack = 13, 0x02, 0x10 // in the TCP header, at which the filter of a TCP socket begins
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var refused error
	if err := raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	}); err != nil {
		return err
	}
	return refused
}

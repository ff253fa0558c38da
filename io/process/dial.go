package process

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall lacks: how many milliseconds sent bytes
// may stay unacknowledged before the connection is closed.
const tcpUserTimeout = 0x12

// Dial returns a function that opens TCP connections which close if the peer does not acknowledge bytes within ackTimeout,
// so that callers do not hang on a peer behind a silent partition. Opening a connection has the same timeout.
func Dial(ackTimeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: ackTimeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext
}

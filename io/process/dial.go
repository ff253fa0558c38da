package process

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name: the longest time in milliseconds that
// sent bytes may stay unacknowledged before the connection ends.
const tcpUserTimeout = 0x12

// Dial returns a function that opens TCP connections which end when the peer has not acknowledged bytes for the given
// time, so that a peer behind a silent partition does not hold its callers. The same time bounds the opening.
func Dial(silence time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: silence,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext
}

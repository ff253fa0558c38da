package platform

import (
	"net"
	"sync"
	"sync/atomic"
)

// countingListener closes connections over its limit at once: a client then learns that nothing was read, where one left
// in the backlog would wait for its own timeout.
type countingListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused func()
}

// Accept returns the next connection within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: c, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.refused() // before the close, so that the count is not behind what the client sees
		_ = c.Close()
	}
}

// countedConn gives its place back when it is closed for the first time.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

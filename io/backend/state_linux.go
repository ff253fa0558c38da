package backend

import "golang.org/x/sys/unix"

// stateCloseWait is the state of a socket whose peer has closed the connection in order; after a reset it is closed (7).
const stateCloseWait = 8 // TCP_CLOSE_WAIT in linux/include/net/tcp_states.h

// closedByPeer reports whether the backend server has closed the connection in order; known is false if the state cannot be read.
func (c *conn) closedByPeer() (closed, known bool) {
	var info *unix.TCPInfo
	var err error
	if e := c.raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); e != nil || err != nil {
		return false, false
	}
	return info.State == stateCloseWait, true
}

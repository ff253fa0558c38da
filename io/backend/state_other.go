//go:build !linux

package backend

// closedByPeer reports that the state of the socket is not known.
func (*conn) closedByPeer() (closed, known bool) { return false, false }

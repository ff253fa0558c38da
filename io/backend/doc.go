// Package backend serves the backend servers beside the node: the announce API through which they join and leave, and the
// forwarding of admitted calls to them over HTTP/1.1 on loopback, with detection of their crashes.
package backend

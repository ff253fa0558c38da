// Package backend connects a node to the backend servers on its host. They register endpoints through the announce API, and
// admitted calls are forwarded to them over HTTP/1.1 on loopback. The package also detects their crashes.
package backend

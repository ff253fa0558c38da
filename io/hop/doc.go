// Package hop carries calls between two nodes over HTTP/2: the client with its connection pool, the server, and the
// call metadata in Mesh-* headers.
package hop

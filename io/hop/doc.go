// Package hop sends calls from one node to another over HTTP/2. It holds the client with its connection pool, the server, and
// the encoding of call metadata in Mesh-* headers.
package hop

// Package caller handles requests from callers and from the backend servers on the node's own host: it matches routes, claims
// idempotency keys, picks endpoints, retries where that is safe, and streams answers back.
package caller

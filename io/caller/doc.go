// Package caller handles requests from callers and from the backend servers beside the node: it matches routes, claims
// idempotency keys, picks endpoints, repeats what may be repeated, and streams answers back.
package caller

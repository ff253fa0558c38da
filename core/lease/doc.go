// Package lease keeps the leases of nodes and endpoints on the leader and turns joins, leaves and expiries into commands for the
// replicated log.
package lease

// Package relay selects relays and upstreams, spreads reconnects by backoff and transfer limits, and aggregates the status
// reports of nodes.
package relay

// Package relay chooses relays and upstreams, limits reconnect storms, and aggregates the reports of nodes.
package relay

// Package lease keeps the leases of nodes and endpoints at the leader and turns joins, leaves and expiries into commands.
package lease

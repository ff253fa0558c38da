// Package config holds the register, the rules, versioned snapshots with their deltas, and the routing table.
package config

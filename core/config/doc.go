// Package config parses the register and the rules and implements versioned snapshots, deltas and the routing table.
package config

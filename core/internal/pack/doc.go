// Package pack writes and reads the compact binary form of state that never leaves a replica's own snapshots.
package pack

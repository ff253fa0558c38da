// Package pack encodes and decodes the compact binary format of a replica's own snapshots.
package pack

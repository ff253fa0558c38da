// Package demo runs a whole small mesh in one process on loopback addresses.
package demo

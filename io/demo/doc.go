// Package demo runs a whole small mesh in one process on loopback addresses: Run shows it to people, and Mesh lets tests stop,
// drain and cut off single nodes.
package demo

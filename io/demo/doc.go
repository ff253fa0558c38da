// Package demo runs a small mesh in one process on loopback addresses. Run demonstrates it step by step; Mesh lets tests stop,
// drain and partition single nodes.
package demo

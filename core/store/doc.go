// Package store is the agreed state that every replica builds from the log: operators' changes with their history, nodes and
// endpoints, claims and suspects, and the snapshot that follows from them.
package store

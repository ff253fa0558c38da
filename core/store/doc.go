// Package store is the replicated state machine. Every replica applies the committed log to it and gets the same state: the
// history of operators' changes, the nodes and endpoints, the claims, the suspects, and the configuration snapshot made of them.
package store

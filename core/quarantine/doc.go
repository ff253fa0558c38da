// Package quarantine finds requests that crash backend servers and refuses them: Table is the replicated state, EndpointState
// the state that a node keeps for one of its endpoints.
package quarantine

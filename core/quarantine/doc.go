// Package quarantine finds requests that crash backend servers and refuses them: Table is the replicated state, Local the
// state of the node beside one endpoint.
package quarantine

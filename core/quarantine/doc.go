// Package quarantine finds requests that crash backend servers and keeps them out: Table is the agreed part, Local the part
// of a node beside a backend server.
package quarantine

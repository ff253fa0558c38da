// Package examples embeds the registers and rules of two deployments, and the customers of a third.
package examples

import _ "embed" // for the files below

// Registers and rules of Sahyadri Ropeway Passes and Karrakatta Cold Chain Compliance, in JSON.
var (
	//go:embed sahyadri-register.json
	SahyadriRegister []byte
	//go:embed sahyadri-rules.json
	SahyadriRules []byte
	//go:embed karrakatta-register.json
	KarrakattaRegister []byte
	//go:embed karrakatta-rules.json
	KarrakattaRules []byte
)

// BureauCustomers are customers of a translation bureau, in JSON: one whose key is being replaced, one without a priority of its own,
// and one without a quota.
//
//go:embed bureau-customers.json
var BureauCustomers []byte

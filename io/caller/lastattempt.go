package caller

import (
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
)

// isLastAttempt reports whether no other endpoint would be tried after a busy refusal of the next attempt. It is always false for requests
// of callers. The endpoint queues a last attempt until its deadline can no longer be met.
func (c *call) isLastAttempt() bool {
	if c.depth <= 1 {
		return false
	}
	onlyEndpoint := c.pickReason == routing.ReasonOnly || c.pickReason == routing.ReasonLastResort
	return onlyEndpoint || len(c.tried) >= len(c.match.Service.Endpoints) || c.repicks >= retry.MaxBusyRepicks || !c.body.resendable()
}

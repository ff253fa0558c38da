package caller

import (
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
)

// isLastTry reports whether no other endpoint would be tried after a busy refusal of the next attempt, which is possible only for the
// calls of backend servers: their endpoint then keeps them as long as it can.
func (c *call) isLastTry() bool {
	if c.depth <= 1 {
		return false
	}
	onlyEndpoint := c.pickReason == routing.ReasonOnly || c.pickReason == routing.ReasonLastResort
	return onlyEndpoint || len(c.tried) >= len(c.match.Service.Endpoints) || c.repicks >= retry.MaxBusyRepicks || !c.body.resendable()
}

package caller

import (
	"context"
	"time"

	"godwitspindle/core/outcome"
)

// lateShare is the part of a route's latency objective that must be left when a request arrives. With less, the request counts as late,
// since its response is unlikely to meet the objective even if it runs at once.
const lateShare = 0.5

// WithQuota sets the function that charges a request to the quota of its customer. It is called once per request of a caller, not for
// calls of backend servers, and returns a failure if the quota is used up. late says that the request can hardly be answered within its
// objective any more. giveBack, if not nil, is called when the request ends without having run.
func WithQuota(take func(ctx context.Context, customer string, late bool) (giveBack func(), f *outcome.Failure)) Option {
	return func(h *Handler) { h.takeQuota = take }
}

// takeQuota charges the request to the quota of its customer. A nested call has no charge: the request that it is made for has been
// charged.
func (c *call) takeQuota() *outcome.Failure {
	if c.customer == nil || c.depth > 1 {
		return nil
	}
	giveBack, f := c.handler.takeQuota(c.ctx, c.customer.Name, c.isLate())
	if f != nil {
		f.Call = c.id
		return f
	}
	c.giveBack = giveBack
	return nil
}

// isLate reports whether little of the objective is left, mostly since the caller was refused before.
func (c *call) isLate() bool {
	left := c.objective.Sub(c.handler.now())
	return !c.objective.IsZero() && left < time.Duration(lateShare*float64(c.match.Route.Latency))
}

// returnQuota gives the request back to the quota if it ends without having run.
func (c *call) returnQuota(f *outcome.Failure) {
	if c.giveBack != nil && f.Kind == outcome.NotRun {
		c.giveBack()
	}
}

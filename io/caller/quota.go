package caller

import (
	"context"
	"time"

	"godwitspindle/core/outcome"
)

// lateShare is the part of a route's objective below which a request counts as late: little of it is left for the work itself.
const lateShare = 0.5

// WithQuota sets the function that takes a request of a customer off its quota. It is asked once per request of a caller, not for calls
// of backend servers, and returns a failure if the quota is used up. late says that the request can hardly be answered within its
// objective any more. giveBack, if not nil, is called when the request ends without having run.
func WithQuota(take func(ctx context.Context, customer string, late bool) (giveBack func(), f *outcome.Failure)) Option {
	return func(h *Handler) { h.takeQuota = take }
}

// takeQuota takes the request off the quota of its customer.
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

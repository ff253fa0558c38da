package caller

import (
	"context"

	"godwitspindle/core/outcome"
)

// WithQuota sets the function that takes a request of a customer off its quota. It is asked once per request of a caller, not for calls
// of backend servers, and returns a failure if the quota is used up. giveBack, if not nil, is called when the request ends without having
// run.
func WithQuota(take func(ctx context.Context, customer string) (giveBack func(), f *outcome.Failure)) Option {
	return func(h *Handler) { h.takeQuota = take }
}

// takeQuota takes the request off the quota of its customer.
func (c *call) takeQuota() *outcome.Failure {
	if c.customer == nil || c.handler.local {
		return nil
	}
	giveBack, f := c.handler.takeQuota(c.r.Context(), c.customer.Name)
	if f != nil {
		f.Call = c.id
		return f
	}
	c.giveBack = giveBack
	return nil
}

// returnQuota gives the request back to the quota if it ends without having run.
func (c *call) returnQuota(f *outcome.Failure) {
	if c.giveBack != nil && f.Kind == outcome.NotRun {
		c.giveBack()
	}
}

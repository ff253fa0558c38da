package caller

import (
	"fmt"
	"net/http"
	"strings"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// Customers finds the customers of one version of the configuration; *config.RoutingTable implements it.
type Customers interface {
	HasCustomers() bool
	Customer(name string) (*config.Customer, bool)
	CustomerByKey(key string) (*config.Customer, bool)
}

// headerAuthorization carries a caller's API key as a bearer token (RFC 6750, section 2.1).
const headerAuthorization = "Authorization"

const bearerScheme = "Bearer"

// authenticate finds the customer of the request, or returns the failure of a request that needs a key and has no valid one. A call
// that a backend server makes for a request has the customer of that request, whatever key it carries. Without customers in the
// configuration, no request needs a key.
func (c *call) authenticate(parent *Context) *outcome.Failure {
	customers := c.match.Customers
	if customers == nil || !customers.HasCustomers() {
		return nil
	}
	c.hideKey = true
	if parent != nil {
		c.customer = customerNamed(customers, parent.Customer)
		return nil
	}
	if c.match.Unconfirmed && !c.match.Route.Public {
		return c.fail(outcome.Unproven, http.StatusServiceUnavailable, "the node has not heard a majority for longer than withdrawn keys may be used", nil)
	}
	values := c.r.Header.Values(headerAuthorization)
	key, wellFormed := bearerKey(values)
	if wellFormed && !c.match.Unconfirmed {
		c.customer, _ = customers.CustomerByKey(key)
	}
	if c.customer != nil || c.match.Route.Public {
		return nil
	}
	if len(values) == 0 && c.handler.nested(c.r) {
		return c.fail(outcome.Orphaned, http.StatusServiceUnavailable, "the call names a request that does not run on this host, and carries no key", nil)
	}
	detail := fmt.Sprintf("the API key is not that of a customer in version %d", c.match.Version)
	switch {
	case len(values) == 0:
		detail = "the route needs an API key, and the request carries none"
	case len(values) > 1:
		detail = "the request carries more than one " + headerAuthorization
	case !wellFormed:
		detail = headerAuthorization + " is not of the form " + bearerScheme + " KEY"
	}
	return c.fail(outcome.Unauthorized, http.StatusUnauthorized, detail, nil)
}

// customerNamed returns a customer that may have left the configuration while its request ran; nil without a name.
func customerNamed(customers Customers, name string) *config.Customer {
	if name == "" {
		return nil
	}
	if found, ok := customers.Customer(name); ok {
		return found
	}
	return &config.Customer{Name: name, Priority: -1}
}

// bearerKey returns the API key in the values of Authorization; false if there is not exactly one well-formed value.
func bearerKey(values []string) (string, bool) {
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	return key, strings.EqualFold(scheme, bearerScheme) && config.ValidKey(key)
}

// priority returns the customer's priority, or else that of the route.
func (c *call) priority() int {
	if c.customer != nil && c.customer.Priority >= 0 {
		return c.customer.Priority
	}
	return c.match.Route.Priority
}

func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// withCustomer appends the customer's name to the fields of a log line; lines of requests without a customer stay as they are.
func (c *call) withCustomer(fields ...any) []any {
	if c.customer == nil {
		return fields
	}
	return append(fields, "customer", c.customer.Name)
}

// cleanTrailer removes a key and the mesh's own headers from the trailers, which are complete once the body is read. A backend server may
// take a trailer for a header.
func (c *call) cleanTrailer() {
	hop.Strip(c.r.Trailer)
	if c.hideKey {
		delete(c.r.Trailer, headerAuthorization)
	}
}

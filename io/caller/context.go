package caller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
)

// HeaderContext is the header that a backend server copies from a request to the calls that it makes to handle the request.
const HeaderContext = "Mesh-Context"

// HeaderDeadline is the header that states how many milliseconds the caller waits; the route's own deadline also applies.
const HeaderDeadline = "Mesh-Deadline"

// Versions of the format, the first field of the header value. A context with a customer has a fifth field, the customer's name.
const (
	contextVersion  = "1"
	customerVersion = "2"
)

// Context is the value of Mesh-Context: what a request passes to the calls made to handle it. The value is read only on the
// host that wrote it, so the deadline can be a wall clock time.
type Context struct {
	Depth    int // position of the request in the call chain
	Deadline time.Time
	Budget   int    // retries left to the calls made to handle the request
	Customer string // name of the request's customer; empty without one
}

// ContextError reports a malformed Mesh-Context value.
type ContextError struct{ Value string }

// Error names the header and quotes the value.
func (e *ContextError) Error() string {
	return fmt.Sprintf("header %s: got %q, want 1.DEPTH.DEADLINE.BUDGET or 2.DEPTH.DEADLINE.BUDGET.CUSTOMER", HeaderContext, e.Value)
}

// String formats the context as a header value.
func (c Context) String() string {
	rest := "." + strconv.Itoa(c.Depth) + "." + strconv.FormatInt(c.Deadline.UnixMilli(), 10) + "." + strconv.Itoa(c.Budget)
	if c.Customer == "" {
		return contextVersion + rest
	}
	return customerVersion + rest + "." + c.Customer
}

// ParseContext parses a Mesh-Context value; the error is a *ContextError.
func ParseContext(value string) (Context, error) {
	parts := strings.SplitN(value, ".", 5) // a customer's name may contain dots
	plain := len(parts) == 4 && parts[0] == contextVersion
	named := len(parts) == 5 && parts[0] == customerVersion && config.ValidName(parts[4])
	if !plain && !named {
		return Context{}, &ContextError{Value: value}
	}
	depth, err1 := strconv.Atoi(parts[1])
	deadline, err2 := strconv.ParseInt(parts[2], 10, 64)
	budget, err3 := strconv.Atoi(parts[3])
	if err1 != nil || err2 != nil || err3 != nil || depth < 1 || depth > outcome.MaxDepth || budget < 0 {
		return Context{}, &ContextError{Value: value}
	}
	c := Context{Depth: depth, Deadline: time.UnixMilli(deadline), Budget: budget}
	if named {
		c.Customer = parts[4]
	}
	return c, nil
}

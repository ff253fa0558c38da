package caller

import (
	"encoding/base64"
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

// Versions of the format, the first field of the header value. A context with a parent or a customer has two more fields: the parent's
// call id in base64 and the customer's name, of which either may be empty.
const (
	plainVersion    = "1"
	extendedVersion = "2"
)

// Context is the value of Mesh-Context: what a request passes to the calls made to handle it. The value is read only on the
// host that wrote it, so the deadline can be a wall clock time.
type Context struct {
	Depth    int // position of the request in the call chain
	Deadline time.Time
	Budget   int    // retries left to the calls made to handle the request
	Customer string // name of the request's customer; empty without one
	// Parent is the call id of the request, by which its node knows the run that makes the calls; empty if that is not recorded.
	Parent string
}

// ContextError reports a malformed Mesh-Context value.
type ContextError struct{ Value string }

// Error names the header and quotes the value.
func (e *ContextError) Error() string {
	return fmt.Sprintf("header %s: got %q, want 1.DEPTH.DEADLINE.BUDGET or 2.DEPTH.DEADLINE.BUDGET.PARENT.CUSTOMER", HeaderContext, e.Value)
}

// String formats the context as a header value.
func (c Context) String() string {
	rest := "." + strconv.Itoa(c.Depth) + "." + strconv.FormatInt(c.Deadline.UnixMilli(), 10) + "." + strconv.Itoa(c.Budget)
	if c.Parent == "" && c.Customer == "" {
		return plainVersion + rest
	}
	return extendedVersion + rest + "." + base64.RawURLEncoding.EncodeToString([]byte(c.Parent)) + "." + c.Customer
}

// ParseContext parses a Mesh-Context value; the error is a *ContextError.
func ParseContext(value string) (Context, error) {
	parts := strings.SplitN(value, ".", 6) // a customer's name may contain dots
	plain := len(parts) == 4 && parts[0] == plainVersion
	extended := len(parts) == 6 && parts[0] == extendedVersion && (parts[5] == "" && parts[4] != "" || config.ValidName(parts[5]))
	if !plain && !extended {
		return Context{}, &ContextError{Value: value}
	}
	depth, err1 := strconv.Atoi(parts[1])
	deadline, err2 := strconv.ParseInt(parts[2], 10, 64)
	budget, err3 := strconv.Atoi(parts[3])
	if err1 != nil || err2 != nil || err3 != nil || depth < 1 || depth > outcome.MaxDepth || budget < 0 {
		return Context{}, &ContextError{Value: value}
	}
	c := Context{Depth: depth, Deadline: time.UnixMilli(deadline), Budget: budget}
	if plain {
		return c, nil
	}
	parent, err := base64.RawURLEncoding.DecodeString(parts[4])
	if err != nil {
		return Context{}, &ContextError{Value: value}
	}
	c.Parent, c.Customer = string(parent), parts[5]
	return c, nil
}

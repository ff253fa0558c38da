package caller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"godwitspindle/core/outcome"
)

// HeaderContext is the header that a backend server copies from a request to the calls that it makes for it.
const HeaderContext = "Mesh-Context"

// HeaderDeadline is the header in which a caller says for how many milliseconds it waits; a route's own deadline also holds.
const HeaderDeadline = "Mesh-Deadline"

// contextVersion starts the value, so that its form can change.
const contextVersion = "1"

// Context is what a call passes to the calls below it. It is only read on the host that wrote it, so the deadline is a wall
// clock time.
type Context struct {
	Depth    int
	Deadline time.Time
	Budget   int
}

// ContextError says that a Mesh-Context value cannot be read.
type ContextError struct{ Value string }

// Error quotes the value.
func (e *ContextError) Error() string {
	return fmt.Sprintf("header %s: bad value %q", HeaderContext, e.Value)
}

// String formats the context as a header value.
func (c Context) String() string {
	return contextVersion + "." + strconv.Itoa(c.Depth) + "." + strconv.FormatInt(c.Deadline.UnixMilli(), 10) + "." + strconv.Itoa(c.Budget)
}

// ParseContext reads a header value; the error is a *ContextError.
func ParseContext(value string) (Context, error) {
	parts := strings.Split(value, ".")
	if len(parts) != 4 || parts[0] != contextVersion {
		return Context{}, &ContextError{Value: value}
	}
	depth, err1 := strconv.Atoi(parts[1])
	deadline, err2 := strconv.ParseInt(parts[2], 10, 64)
	budget, err3 := strconv.Atoi(parts[3])
	if err1 != nil || err2 != nil || err3 != nil || depth < 1 || depth > outcome.MaxDepth || budget < 0 {
		return Context{}, &ContextError{Value: value}
	}
	return Context{Depth: depth, Deadline: time.UnixMilli(deadline), Budget: budget}, nil
}

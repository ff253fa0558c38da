package hop

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"godwitspindle/core/outcome"
)

// Prefix starts the names of all headers with a meaning inside the mesh.
const Prefix = "Mesh-"

// Names of the metadata headers.
const (
	headerCall     = outcome.HeaderCall
	headerKey      = "Mesh-Key"
	headerService  = "Mesh-Service"
	headerEndpoint = "Mesh-Endpoint"
	headerDeadline = "Mesh-Deadline"
	headerDepth    = "Mesh-Depth"
	headerBudget   = "Mesh-Budget"
	headerClass    = "Mesh-Class"
	headerPriority = "Mesh-Priority"
	headerCaller   = "Mesh-Caller"
	headerPrint    = "Mesh-Print"
)

// Limits of the metadata.
const (
	maxNameBytes = 256
	maxPriority  = 9
	maxBudget    = 3
	// MaxDeadline is the longest remaining time that is accepted, the longest that a route may state.
	MaxDeadline = 5 * time.Minute
)

// Print is the 128-bit fingerprint of a request.
type Print [16]byte

// String formats the fingerprint in hexadecimal.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// Meta is the metadata of one inner call.
type Meta struct {
	Call       string        // call id, echoed by the answer
	Service    string        // service name
	Endpoint   string        // endpoint name within the service
	Remaining  time.Duration // time left until the deadline
	Depth      int           // 1 for a call from outside the mesh
	Budget     int           // retries left for the call and the calls below it
	Idempotent bool
	Late       bool // a late answer is tolerated
	Priority   int  // 0 to 9
	Caller     string
	Print      Print
}

// MetaError says which metadata header is missing or out of range.
type MetaError struct {
	Header string
	Value  string
}

// Error names the header and its value.
func (e *MetaError) Error() string { return fmt.Sprintf("header %s: bad value %q", e.Header, e.Value) }

// Encode sets the metadata headers. Remaining time is rounded down to milliseconds, so that a deadline never grows.
func (m *Meta) Encode(h http.Header) {
	values := [...]string{
		m.Call, m.Service, m.Endpoint, strconv.FormatInt(m.Remaining.Milliseconds(), 10), strconv.Itoa(m.Depth),
		strconv.Itoa(m.Budget), m.class(), strconv.Itoa(m.Priority), m.Print.String(), m.Caller,
	}
	all := values[:] // one allocation holds all values
	for i, name := range encoded {
		if all[i] != "" {
			h[name] = all[i : i+1 : i+1]
		}
	}
}

// encoded are the headers in the order in which Encode sets them.
var encoded = [...]string{
	headerCall, headerService, headerEndpoint, headerDeadline, headerDepth,
	headerBudget, headerClass, headerPriority, headerPrint, headerCaller,
}

// Decode reads the metadata headers and checks their ranges; the error is a *MetaError.
func Decode(h http.Header) (Meta, error) {
	d := decoder{header: h}
	m := Meta{
		Call:     d.name(headerCall, true),
		Service:  d.name(headerService, true),
		Endpoint: d.name(headerEndpoint, true),
		Depth:    d.number(headerDepth, 1, outcome.MaxDepth),
		Budget:   d.number(headerBudget, 0, maxBudget),
		Priority: d.number(headerPriority, 0, maxPriority),
		Caller:   d.name(headerCaller, false),
	}
	ms := d.number(headerDeadline, 0, int(MaxDeadline/time.Millisecond))
	m.Remaining = time.Duration(ms) * time.Millisecond
	m.Idempotent, m.Late = d.class()
	m.Print = d.print()
	return m, d.err
}

func (m *Meta) class() string {
	switch {
	case m.Idempotent && m.Late:
		return "idempotent,late"
	case m.Idempotent:
		return "idempotent"
	case m.Late:
		return "late"
	}
	return "once"
}

type decoder struct {
	header http.Header
	err    error
}

func (d *decoder) fail(name string) {
	if d.err == nil {
		d.err = &MetaError{Header: name, Value: d.header.Get(name)}
	}
}

// name requires one value of visible ASCII characters.
func (d *decoder) name(header string, need bool) string {
	values := d.header[header]
	if len(values) == 0 && !need {
		return ""
	}
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxNameBytes {
		d.fail(header)
		return ""
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c >= 0x7f {
			d.fail(header)
			return ""
		}
	}
	return values[0]
}

func (d *decoder) number(header string, low, high int) int {
	n, err := strconv.Atoi(d.name(header, true))
	if err != nil || n < low || n > high {
		d.fail(header)
		return low
	}
	return n
}

func (d *decoder) class() (idempotent, late bool) {
	switch d.name(headerClass, true) {
	case "idempotent,late":
		return true, true
	case "idempotent":
		return true, false
	case "late":
		return false, true
	case "once":
		return false, false
	}
	d.fail(headerClass)
	return false, false
}

func (d *decoder) print() (p Print) {
	value := d.name(headerPrint, true)
	if len(value) != hex.EncodedLen(len(p)) {
		d.fail(headerPrint)
		return p
	}
	if _, err := hex.Decode(p[:], []byte(value)); err != nil {
		d.fail(headerPrint)
	}
	return p
}

// Strip removes all Mesh-* headers.
func Strip(h http.Header) {
	for k := range h {
		if len(k) >= len(Prefix) && strings.EqualFold(k[:len(Prefix)], Prefix) {
			delete(h, k)
		}
	}
}

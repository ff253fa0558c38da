package hop

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwitspindle/core/outcome"
)

// Prefix is the prefix of all headers that the mesh itself uses.
const Prefix = "Mesh-"

// Names of the metadata headers. The call id has its own header because the answer echoes it.
const (
	headerCall = outcome.HeaderCall
	headerKey  = "Mesh-Key"
	headerMeta = "Mesh-Meta"
	headerTook = "Mesh-Took" // on answers: the backend server's time in microseconds
	// headerRoute is separate from Mesh-Meta because HTTP/2 encodes a header that repeats on a connection in one byte.
	headerRoute     = "Mesh-Route"
	headerObjective = "Mesh-Aim"      // milliseconds left to the objective, optionally with a suffix
	headerLoad      = "Mesh-Load"     // on answers: calls running and waiting at the endpoint, in percent of its slots
	headerExpected  = "Mesh-Expect"   // on answers: milliseconds that the endpoint is expected to take for a request of the route now
	headerLimit     = "Mesh-Limit"    // on answers: requests per second that the endpoint takes; on calls: a KnownLimit
	headerLeaving   = "Mesh-Leaving"  // on answers: 1 if the endpoint has stated that it leaves
	headerCustomer  = "Mesh-Customer" // name, and RouteOffset after a semicolon unless it is 0
)

// answerHeaders are the headers that one node sends to another with an answer.
var answerHeaders = []string{headerTook, headerLoad, headerExpected, headerLimit, headerLeaving}

// Format of Mesh-Meta: all fields in the order of their positions below, separated by one space; only the caller may be empty.
// One header with all fields takes a tenth of the processing of separate headers.
const (
	metaVersion = "1"
	metaFields  = 10
)

// Positions of the fields in Mesh-Meta.
const (
	fieldVersion = iota
	fieldService
	fieldEndpoint
	fieldRemaining // time until the deadline in milliseconds
	fieldDepth
	fieldBudget
	fieldClass
	fieldPriority
	fieldCaller
	fieldFingerprint
)

// Limits of metadata values.
const (
	maxNameBytes = 256
	maxPriority  = 9
	maxBudget    = 3
	// MaxDeadline is the longest deadline of a route and the longest remaining time that a node accepts.
	MaxDeadline = 5 * time.Minute
)

// Fingerprint is a 128-bit fingerprint of a request; Identity lists what it covers.
type Fingerprint [16]byte

// String formats the fingerprint in hexadecimal.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }

// Meta is the metadata that one node sends to another with a call.
type Meta struct {
	Call        string        // call id, echoed by the answer
	Service     string        // service name
	Endpoint    string        // endpoint name within the service
	Remaining   time.Duration // time left until the deadline
	Depth       int           // position in the call chain; 1 for a call from outside the mesh
	Budget      int           // retries left for this call and the calls made to handle it
	Idempotent  bool
	Late        bool   // a late answer is tolerated; under load such calls are shed first
	Priority    int    // 0 (shed first) to 9 (shed last)
	Caller      string // IP address of the caller; empty when unknown
	Fingerprint Fingerprint
	Route       string        // name of the route; empty if the sender omits it
	Objective   time.Duration // time left to the latency objective, negative when that has passed; 0 for no objective
	Resent      bool          // the caller has sent this request before; transmitted only with an objective, without LastAttempt
	LastAttempt bool          // the caller does not retry after a refusal; transmitted only with an objective
	Limit       KnownLimit    // limit of the endpoint that the sender knows; zero for none
	Customer    string        // name of the customer; empty without one
	// RouteOffset is the priority of the route less Priority, if the customer has a priority of its own.
	RouteOffset int
}

// EndpointKey returns the key SERVICE/NAME of the endpoint that the call is sent to.
func (m *Meta) EndpointKey() string { return m.Service + "/" + m.Endpoint }

// MetaError reports a metadata header, or a field of Mesh-Meta, that is missing, malformed or out of range.
type MetaError struct {
	Header string
	Value  string
}

// Error names the header and its value.
func (e *MetaError) Error() string {
	return fmt.Sprintf("call metadata: %s: missing, malformed or out of range: %q", e.Header, e.Value)
}

// Encode sets the metadata headers. It rounds the remaining time down to milliseconds, so that no hop extends the deadline.
func (m *Meta) Encode(h http.Header) {
	b := make([]byte, 0, 128)
	b = append(b, metaVersion...)
	b = append(append(b, ' '), m.Service...)
	b = append(append(b, ' '), m.Endpoint...)
	b = strconv.AppendInt(append(b, ' '), m.Remaining.Milliseconds(), 10)
	b = strconv.AppendInt(append(b, ' '), int64(m.Depth), 10)
	b = strconv.AppendInt(append(b, ' '), int64(m.Budget), 10)
	b = append(append(b, ' '), m.class()...)
	b = strconv.AppendInt(append(b, ' '), int64(m.Priority), 10)
	b = append(append(b, ' '), m.Caller...)
	b = hex.AppendEncode(append(b, ' '), m.Fingerprint[:])
	values := []string{m.Call, string(b)} // one allocation holds both
	h[headerCall], h[headerMeta] = values[0:1:1], values[1:2:2]
	if m.Route != "" {
		h[headerRoute] = []string{m.Route}
	}
	if m.Objective != 0 {
		h[headerObjective] = []string{m.encodeObjective()}
	}
	if m.Customer != "" {
		h[headerCustomer] = []string{m.encodeCustomer()}
	}
	if m.Limit.Rate > 0 {
		h[headerLimit] = []string{m.Limit.encode()}
	}
}

// Decode parses and validates the metadata headers; the error is a *MetaError.
func Decode(h http.Header) (Meta, error) {
	var d decoder
	call := d.single(h, headerCall)
	meta := d.single(h, headerMeta)
	var fields [metaFields]string
	if d.err == nil && !splitFields(meta, &fields) || fields[fieldVersion] != metaVersion {
		d.fail(headerMeta, meta)
	}
	m := Meta{
		Call:     d.name(headerCall, call),
		Service:  d.name("service", fields[fieldService]),
		Endpoint: d.name("endpoint", fields[fieldEndpoint]),
		Depth:    d.number("depth", fields[fieldDepth], 1, outcome.MaxDepth),
		Budget:   d.number("budget", fields[fieldBudget], 0, maxBudget),
		Priority: d.number("priority", fields[fieldPriority], 0, maxPriority),
	}
	if c := fields[fieldCaller]; c != "" {
		m.Caller = d.name("caller", c)
	}
	ms := d.number("remaining", fields[fieldRemaining], 0, int(MaxDeadline/time.Millisecond))
	m.Remaining = time.Duration(ms) * time.Millisecond
	m.Idempotent, m.Late = d.class(fields[fieldClass])
	m.Fingerprint = d.fingerprint(fields[fieldFingerprint])
	if route := h[headerRoute]; len(route) > 0 {
		m.Route = d.name(headerRoute, route[0])
	}
	if customer := h[headerCustomer]; len(customer) > 0 {
		d.customer(customer[0], &m)
	}
	if values := h[headerObjective]; len(values) > 0 {
		d.objective(values[0], &m)
	}
	if values := h[headerLimit]; len(values) > 0 {
		d.limit(values[0], &m)
	}
	return m, d.err
}

// splitFields splits a Mesh-Meta value into its fields. It returns false if the number of fields is wrong.
func splitFields(value string, fields *[metaFields]string) bool {
	for i := range fields {
		field, rest, more := strings.Cut(value, " ")
		if more != (i < metaFields-1) {
			return false
		}
		fields[i], value = field, rest
	}
	return true
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

// decoder parses metadata and keeps the first error, so that Decode checks for errors only once.
type decoder struct{ err error }

func (d *decoder) fail(name, value string) {
	if d.err == nil {
		d.err = &MetaError{Header: name, Value: value}
	}
}

// single returns the value of a header that must occur exactly once.
func (d *decoder) single(h http.Header, header string) string {
	values := h[header]
	if len(values) != 1 {
		d.fail(header, strings.Join(values, ", "))
		return ""
	}
	return values[0]
}

// name accepts the values that validName accepts.
func (d *decoder) name(field, value string) string {
	if !validName(value) {
		d.fail(field, value)
		return ""
	}
	return value
}

// validName reports whether a name has 1 to maxNameBytes visible ASCII characters.
func validName(value string) bool {
	if value == "" || len(value) > maxNameBytes {
		return false
	}
	for _, c := range []byte(value) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

func (d *decoder) number(field, value string, low, high int) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		d.fail(field, value)
		return low
	}
	return n
}

func (d *decoder) class(value string) (idempotent, late bool) {
	switch value {
	case "idempotent,late":
		return true, true
	case "idempotent":
		return true, false
	case "late":
		return false, true
	case "once":
		return false, false
	}
	d.fail("class", value)
	return false, false
}

// customerSeparator stands between the two parts of Mesh-Customer; names do not contain it.
const customerSeparator = ";"

func (m *Meta) encodeCustomer() string {
	if m.RouteOffset == 0 {
		return m.Customer
	}
	return m.Customer + customerSeparator + strconv.Itoa(m.RouteOffset)
}

func (d *decoder) customer(value string, m *Meta) {
	name, offset, found := strings.Cut(value, customerSeparator)
	m.Customer = d.name(headerCustomer, name)
	if found {
		m.RouteOffset = d.number(headerCustomer, offset, -maxPriority, maxPriority)
	}
}

// Suffixes of Mesh-Aim for Meta.Resent and Meta.LastAttempt.
const (
	suffixResent      = ",again"
	suffixLastAttempt = ",final"
)

func (m *Meta) encodeObjective() string {
	text := strconv.FormatInt(m.Objective.Milliseconds(), 10)
	switch {
	case m.LastAttempt:
		text += suffixLastAttempt
	case m.Resent:
		text += suffixResent
	}
	return text
}

func (d *decoder) objective(value string, m *Meta) {
	text, resent := strings.CutSuffix(value, suffixResent)
	text, lastAttempt := strings.CutSuffix(text, suffixLastAttempt)
	bound := int(MaxDeadline / time.Millisecond)
	left := time.Duration(d.number(headerObjective, text, -bound, bound)) * time.Millisecond
	if left == 0 {
		left = -time.Millisecond // 0 would mean no objective
	}
	m.Objective, m.Resent, m.LastAttempt = left, resent, lastAttempt
}

func (d *decoder) fingerprint(value string) (p Fingerprint) {
	if len(value) != hex.EncodedLen(len(p)) {
		d.fail("print", value)
		return p
	}
	if _, err := hex.Decode(p[:], []byte(value)); err != nil {
		d.fail("print", value)
	}
	return p
}

// Strip removes all Mesh-* headers.
func Strip(h http.Header) { stripAllBut(h, nil) }

func stripAllBut(h http.Header, kept []string) {
	for k := range h {
		if len(k) >= len(Prefix) && strings.EqualFold(k[:len(Prefix)], Prefix) && !slices.Contains(kept, k) {
			delete(h, k)
		}
	}
}

package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Response headers that carry a failure between nodes and to callers, with their values.
const (
	HeaderOutcome = "Mesh-Outcome" // Kind of the failure
	HeaderCode    = "Mesh-Code"    // Code of the failure
	HeaderAfter   = "Mesh-After"   // suggested wait in milliseconds
	HeaderCall    = "Mesh-Call"    // call id
)

// maxDetailBytes is the maximum length of the detail that Parse copies from a peer's problem body.
const maxDetailBytes = 1024

// Problem is the RFC 9457 problem body of a failure.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Call    string `json:"call,omitempty"`
	Code    Code   `json:"code"`
	Outcome Kind   `json:"outcome"`
	After   int64  `json:"after,omitempty"` // suggested wait before a retry, in milliseconds
}

// Problem returns the failure as an RFC 9457 problem body, without its cause.
func (f *Failure) Problem() Problem {
	s := f.status()
	return Problem{
		Type:    "urn:godwitspindle:" + string(f.Code),
		Title:   http.StatusText(s),
		Status:  s,
		Detail:  f.Detail,
		Call:    f.Call,
		Code:    f.Code,
		Outcome: f.Kind,
		After:   f.RetryAfter.Milliseconds(),
	}
}

// Write sends the failure as a complete response with headers and problem body.
func (f *Failure) Write(w http.ResponseWriter) {
	body, err := json.Marshal(f.Problem())
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Kind))
	h.Set(HeaderCode, string(f.Code))
	if f.Call != "" {
		h.Set(HeaderCall, f.Call)
	}
	if f.RetryAfter > 0 {
		h.Set(HeaderAfter, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(f.status())
	_, _ = w.Write(body)
}

// Parse reads a failure from the status, headers and start of the body of a response. It returns false for a response
// without HeaderOutcome, which came from a backend server. An unrecognized kind is read as Unknown: the request may have run.
func Parse(status int, h http.Header, body []byte) (*Failure, bool) {
	kind := Kind(h.Get(HeaderOutcome))
	if kind == None {
		return nil, false
	}
	if kind != NotRun && kind != Lost {
		kind = Unknown
	}
	f := &Failure{Code: Code(h.Get(HeaderCode)), Kind: kind, Status: status, Call: h.Get(HeaderCall)}
	ms, err := strconv.ParseInt(h.Get(HeaderAfter), 10, 32)
	if err == nil && ms > 0 {
		f.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	var p Problem
	if json.Unmarshal(body, &p) == nil {
		f.Detail = p.Detail[:min(len(p.Detail), maxDetailBytes)]
	}
	return f, true
}

func (f *Failure) status() int {
	if f.Status < 400 || f.Status > 599 {
		return http.StatusBadGateway
	}
	return f.Status
}

package hop

import (
	"context"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// via is the Via value of forwarded requests; RFC 9110 section 7.6.3 requires it of a proxy.
const via = "1.1 godwitspindle"

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110 section 7.6.1 and earlier practice).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Authentication-Info",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// RemoveConnectionOptions removes Connection and the headers that it names (RFC 9110 section 7.6.1). Headers that are set afterwards can
// then not be removed because the sender named them. It keeps the hop-by-hop headers that Outbound and IsUpgrade read, and those in keep,
// which a sender must not name since they are meant for the final recipient; both have their canonical names.
func RemoveConnectionOptions(h http.Header, keep ...string) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(keep, name) {
				delete(h, name)
			}
		}
	}
	delete(h, "Connection")
}

// Clean removes hop-by-hop headers, including those that Connection names but for keep, and all Mesh-* headers.
func Clean(h http.Header, keep ...string) {
	RemoveConnectionOptions(h, keep...)
	for _, k := range hopByHopHeaders {
		delete(h, k)
	}
	Strip(h)
}

// Outbound returns the headers to forward for a received request: cleaned except for "Te: trailers", with Via, and
// without Expect, which the listener has already answered.
func Outbound(r *http.Request) http.Header {
	trailers := acceptsTrailers(r.Header["Te"])
	h := make(http.Header, len(r.Header)+3)
	maps.Copy(h, r.Header) // the value slices are shared with the received request and stay unchanged
	Clean(h)
	delete(h, "Expect")
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	h["Via"] = append(slices.Clip(h["Via"]), via)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from adding its default
	}
	return h
}

// IsUpgrade reports whether a request asks to switch its connection to another protocol or to a tunnel.
func IsUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || r.Header.Get("Upgrade") != ""
}

func acceptsTrailers(lines []string) bool {
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(part), "trailers") {
				return true
			}
		}
	}
	return false
}

// defaultRetryAfter is used for a Retry-After that is a date or malformed.
const defaultRetryAfter = time.Second

// Shed reports whether an answer is a backend server's refusal under load (503 with Retry-After), and the time to wait before the
// next attempt, at most MaxDeadline.
func Shed(p *http.Response) (time.Duration, bool) {
	value := p.Header.Get("Retry-After")
	if p.StatusCode != http.StatusServiceUnavailable || value == "" {
		return 0, false
	}
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		return defaultRetryAfter, true
	}
	return time.Duration(min(seconds, int(MaxDeadline/time.Second))) * time.Second, true // limited first, since the product may overflow
}

// SetBackendTime sets the answer's Mesh-Took header: the backend server's time until its response headers, in microseconds.
func SetBackendTime(p *http.Response, d time.Duration) {
	p.Header[headerTook] = []string{strconv.FormatInt(d.Microseconds(), 10)}
}

// BackendTime returns the time that SetBackendTime encoded in Mesh-Took; false if the header is missing or malformed.
func BackendTime(p *http.Response) (time.Duration, bool) {
	values := p.Header[headerTook]
	if len(values) != 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(values[0], 10, 32)
	return time.Duration(n) * time.Microsecond, err == nil
}

// SetLoad sets the answer's Mesh-Load header, in percent; share is the number of calls running and waiting at the endpoint,
// divided by its slots or, if it reports its pace, by those that it handles well at once.
func SetLoad(p *http.Response, share float64) {
	p.Header[headerLoad] = []string{strconv.Itoa(int(share * 100))}
}

// Load returns the share that SetLoad encoded in Mesh-Load; false if the header is missing or malformed.
func Load(p *http.Response) (float64, bool) {
	values := p.Header[headerLoad]
	if len(values) != 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(values[0], 10, 16)
	return float64(n) / 100, err == nil
}

// SetExpected sets the answer's Mesh-Expect header: the time that the endpoint is expected to take for a request of the same route
// now, in milliseconds. Nodes of earlier versions ignore it.
func SetExpected(p *http.Response, d time.Duration) {
	p.Header[headerExpected] = []string{strconv.FormatInt(d.Milliseconds(), 10)}
}

// Expected returns the time that SetExpected encoded in Mesh-Expect, 0 if the header is missing or malformed.
func Expected(p *http.Response) time.Duration {
	values := p.Header[headerExpected]
	if len(values) != 1 {
		return 0
	}
	n, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// SetLeaving sets the answer's Mesh-Leaving header: the endpoint has stated that it leaves.
func SetLeaving(p *http.Response) { p.Header[headerLeaving] = []string{"1"} }

// Leaving reports whether SetLeaving was called for an answer.
func Leaving(p *http.Response) bool { return len(p.Header[headerLeaving]) > 0 }

// SetLimit sets the answer's Mesh-Limit header: the requests per second that the endpoint takes from all hosts.
func SetLimit(p *http.Response, perSecond float64) {
	p.Header[headerLimit] = []string{strconv.FormatFloat(perSecond, 'f', -1, 64)}
}

// Limit returns the rate that SetLimit encoded in Mesh-Limit; 0 if the header is missing or malformed.
func Limit(p *http.Response) float64 {
	values := p.Header[headerLimit]
	if len(values) != 1 {
		return 0
	}
	perSecond, err := parseRate(values[0])
	if err != nil {
		return 0
	}
	return perSecond
}

// emptyRequest is copied for each forwarded request, because net/http has no constructor that only sets the context.
var emptyRequest http.Request

// Rebuild returns a copy of r for another address, without headers.
func Rebuild(ctx context.Context, r *http.Request, scheme, address string) *http.Request {
	out := emptyRequest.WithContext(ctx)
	out.Method = r.Method
	out.URL = &url.URL{
		Scheme: scheme, Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	out.Host = r.Host
	out.Body, out.ContentLength = r.Body, r.ContentLength
	out.Trailer = r.Trailer
	return out
}

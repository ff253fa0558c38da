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

// via is added to forwarded messages, as RFC 9110 section 7.6.3 asks of a proxy.
const via = "1.1 godwitspindle"

// perConnection are the headers that concern one connection only (RFC 9110 section 7.6.1 and earlier practice).
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Authentication-Info",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// Clean removes the headers that concern one connection only, those that Connection names, and all Mesh-* headers.
func Clean(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, k := range perConnection {
		delete(h, k)
	}
	Strip(h)
}

// Outbound returns the headers to forward for a received request: cleaned, with Via, and without Expect, which the
// receiving listener has answered.
func Outbound(r *http.Request) http.Header {
	trailers := acceptsTrailers(r.Header["Te"])
	h := make(http.Header, len(r.Header)+3)
	maps.Copy(h, r.Header) // lines are shared with the received request and not changed
	Clean(h)
	delete(h, "Expect")
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	h["Via"] = append(slices.Clip(h["Via"]), via)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return h
}

// IsUpgrade reports whether a request asks for another protocol on its connection.
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

// defaultShed is taken for a Retry-After that is a date or cannot be read.
const defaultShed = time.Second

// Shed reports whether a backend server's answer says that it sheds load (503 with Retry-After), and for how long.
func Shed(p *http.Response) (time.Duration, bool) {
	value := p.Header.Get("Retry-After")
	if p.StatusCode != http.StatusServiceUnavailable || value == "" {
		return 0, false
	}
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		return defaultShed, true
	}
	return min(time.Duration(seconds)*time.Second, MaxDeadline), true
}

// SetTook notes on an answer how long the backend server took until its head.
func SetTook(p *http.Response, d time.Duration) {
	p.Header[headerTook] = []string{strconv.FormatInt(d.Microseconds(), 10)}
}

// Took returns what SetTook noted; it reports false without a note.
func Took(p *http.Response) (time.Duration, bool) {
	values := p.Header[headerTook]
	if len(values) != 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(values[0], 10, 32)
	return time.Duration(n) * time.Microsecond, err == nil
}

// SetLoad notes on an answer how much of an endpoint is taken: calls running and waiting, as a share of its slots.
func SetLoad(p *http.Response, share float64) {
	p.Header[headerLoad] = []string{strconv.Itoa(int(share * 100))}
}

// Load returns what SetLoad noted; it reports false without a note.
func Load(p *http.Response) (float64, bool) {
	values := p.Header[headerLoad]
	if len(values) != 1 {
		return 0, false
	}
	n, err := strconv.ParseUint(values[0], 10, 16)
	return float64(n) / 100, err == nil
}

// blank is copied for each forwarded request; net/http has no way to make a request with a context in one step.
var blank http.Request

// Rebuild returns a request like r, without its headers, to be sent to another address.
func Rebuild(ctx context.Context, r *http.Request, scheme, address string) *http.Request {
	out := blank.WithContext(ctx)
	out.Method = r.Method
	out.URL = &url.URL{
		Scheme: scheme, Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	out.Host = r.Host
	out.Body, out.ContentLength = r.Body, r.ContentLength
	out.Trailer = r.Trailer
	return out
}

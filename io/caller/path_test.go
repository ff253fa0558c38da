package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// Guards against a path of which other bytes are matched than forwarded: an encoded slash belongs to its segment, and no byte of the
// target may change on the way, so that an endpoint sees the path that the route was chosen for.
func TestPathOfTarget(t *testing.T) {
	for _, c := range []struct{ target, matched, forwarded string }{
		{"/read/x", "/read/x", "/read/x"},
		{"/read/", "/read/", "/read/"},
		{"/", "/", "/"},
		{"/read/refund%2F1", "/read/refund%2F1", "/read/refund%2F1"},
		{"/read/refund%2f1", "/read/refund%2F1", "/read/refund%2f1"},
		{"/read%2Frefund/1", "/read%2Frefund/1", "/read%2Frefund/1"},
		{"/read/refund%2F", "/read/refund%2F", "/read/refund%2F"},
		{"/%2Fread/x", "/%2Fread/x", "/%2Fread/x"},
		{"/read/refund%2F1|", "/read/refund%2F1|", "/read/refund%2F1%7C"},
		{"/read/\"refund%2F1\"", "/read/\"refund%2F1\"", "/read/%22refund%2F1%22"},
		{"/read/caf\xc3\xa9%2F1", "/read/café%2F1", "/read/caf%C3%A9%2F1"},
		{"/read/^%3B%2C%40%3d", "/read/^;,@=", "/read/%5E%3B%2C%40%3d"},
		{"/read/%2525|%252F", "/read/%25|%2F", "/read/%2525%7C%252F"},
		{"/read/%zz", "", ""},
		{"/read/%72efund/1", "/read/refund/1", "/read/%72efund/1"},
		{"/read/a%20b", "/read/a b", "/read/a%20b"},
		{"/read/caf%C3%A9", "/read/café", "/read/caf%C3%A9"},
		{"/read/100%25/", "/read/100%/", "/read/100%25/"},
		{"/read/a;b,c=d:e@f+g&h!$'()*~-_.", "/read/a;b,c=d:e@f+g&h!$'()*~-_.", "/read/a;b,c=d:e@f+g&h!$'()*~-_."},
		{"/read/[1]%2F", "/read/[1]%2F", "/read/[1]%2F"},
		{"//read//x", "//read//x", "//read//x"},
		{"//read%2F/x", "//read%2F/x", "//read%2F/x"},
		{"/read/x?a=%2F|b", "/read/x", "/read/x?a=%2F|b"},
		{"http://records.example/read%2F1", "/read%2F1", "/read%2F1"},
		{"/read/%2e%2e/x", "", ""},
		{"/read/..%2Fx", "", ""},
		{"/read/x%2F.", "", ""},
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + c.target + " HTTP/1.1\r\nHost: records.example\r\n\r\n")))
		if err != nil {
			if c.matched != "" {
				t.Errorf("%s: got %v, want it served", c.target, err)
			}
			continue
		}
		matched, forwarded := "", ""
		h := New(
			WithMatch(func(_, path, _ string) (Match, *outcome.Failure) {
				matched = path
				return Match{Route: &config.Route{Service: "s", Deadline: time.Second, Idempotent: true}, Service: &config.Service{Name: "s"}}, nil
			}),
			WithPick(func(PickRequest) (config.Endpoint, string, error) { return config.Endpoint{Name: "a"}, "", nil }),
			WithSend(func(ctx context.Context, _ config.Endpoint, _ hop.Meta, r *http.Request) (*http.Response, error) {
				forwarded = hop.Rebuild(ctx, r, "http", "127.0.0.1:80").URL.RequestURI()
				return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
			}),
		)
		h.ServeHTTP(httptest.NewRecorder(), r)
		if matched != c.matched || forwarded != c.forwarded {
			t.Errorf("%s: got %q matched and %q forwarded, want %q and %q", c.target, matched, forwarded, c.matched, c.forwarded)
		}
	}
}

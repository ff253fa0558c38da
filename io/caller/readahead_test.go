package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/hop"
)

// Guards against a caller's connection that is closed without an answer, because the answer broke off between two nodes after its head:
// an idempotent request is sent again, and any other gets a failure of unknown outcome.
func TestAnswerBreaksOffBetweenNodes(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		length     int64 // stated length of the first answer
		read       int   // bytes of the first answer that arrive
		want       string
		attempts   int
	}{
		{"idempotent", true, 10, 4, "200 whole", 2},
		{"idempotent, unknown length", true, -1, 4, "200 whole", 2},
		{"not idempotent", false, 10, 4, "502 unknown", 1},
		{"longer than the buffer", true, 100, 40, "aborted", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempts := 0
			send := func(context.Context, config.Endpoint, hop.Meta, *http.Request) (*http.Response, error) {
				attempts++
				if attempts > 1 {
					return &http.Response{StatusCode: 200, Header: http.Header{}, ContentLength: 5, Body: io.NopCloser(strings.NewReader("whole"))}, nil
				}
				part := io.MultiReader(strings.NewReader(strings.Repeat("x", test.read)), iotest.ErrReader(io.ErrUnexpectedEOF))
				return &http.Response{StatusCode: 200, Header: http.Header{}, ContentLength: test.length, Body: io.NopCloser(part)}, nil
			}
			m := newMesh(t, 2, testRoute(test.idempotent), WithBufferedAnswers(20), WithSend(send))
			r := m.do(http.MethodPost, "/x", "")
			got := fmt.Sprint(r.status, " ", r.body)
			switch {
			case r.err != nil:
				got = "aborted"
			case r.header.Get(outcome.HeaderOutcome) != "":
				got = fmt.Sprint(r.status, " ", r.header.Get(outcome.HeaderOutcome))
			}
			if got != test.want || attempts != test.attempts {
				t.Errorf("got %q after %d attempts, want %q after %d", got, attempts, test.want, test.attempts)
			}
		})
	}
}

package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

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

// canceledBody fails once its request ends.
type canceledBody struct{ ctx context.Context }

// Read waits for the end of the request.
func (b canceledBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// Close does nothing.
func (canceledBody) Close() error { return nil }

// Guards against a caller that leaves during the answer and counts as a failure of the endpoint, which is then avoided or whose release is
// rolled back.
func TestCallerLeavesDuringAnswer(t *testing.T) {
	done := make(chan Observation, 1)
	send := func(ctx context.Context, _ config.Endpoint, _ hop.Meta, _ *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: 200, Header: http.Header{}, ContentLength: 10, Body: canceledBody{ctx}}, nil
	}
	observe := WithObserve(func(string, time.Time) {}, func(_ string, o Observation) { done <- o })
	m := newMesh(t, 1, config.Route{Name: "r", Service: "counter", Deadline: time.Minute}, WithBufferedAnswers(20), WithSend(send), observe)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, m.url+"/x", nil)
	if p, err := http.DefaultClient.Do(r); err == nil {
		_ = p.Body.Close()
		t.Fatal("got an answer, want none before the caller leaves")
	}
	if o := <-done; o.Failure == nil || o.Failure.Code != outcome.Canceled {
		t.Errorf("got %v, want a failure with code canceled", o.Failure)
	}
}

// Guards against an answer to HEAD that gets a length of 0, because its body is empty.
func TestHeadHasNoLength(t *testing.T) {
	send := func(context.Context, config.Endpoint, hop.Meta, *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: 200, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	m := newMesh(t, 1, testRoute(true), WithBufferedAnswers(20), WithSend(send))
	if r := m.do(http.MethodHead, "/x", ""); r.status != 200 || len(r.header["Content-Length"]) > 0 {
		t.Errorf("got status %d and length %q, want 200 without a length", r.status, r.header["Content-Length"])
	}
}

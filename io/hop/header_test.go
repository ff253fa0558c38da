package hop

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/outcome"

	"pgregory.net/rapid"
)

// Checks that metadata is decoded as it was encoded, that rounding never extends a deadline, and that a control character is
// refused in any header.
func TestMetaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[!-~]{1,40}`)
		want := Meta{
			Call: name.Draw(t, "call"), Service: name.Draw(t, "service"), Endpoint: name.Draw(t, "endpoint"), Caller: name.Draw(t, "caller"),
			Remaining: time.Duration(rapid.Int64Range(0, int64(MaxDeadline)).Draw(t, "remaining")),
			Depth:     rapid.IntRange(1, outcome.MaxDepth).Draw(t, "depth"), Budget: rapid.IntRange(0, maxBudget).Draw(t, "budget"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Late: rapid.Bool().Draw(t, "late"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Fingerprint: Identity{Service: name.Draw(t, "print")}.Fingerprint(),
		}
		if rapid.Bool().Draw(t, "limited") {
			want.Limit = KnownLimit{
				Rate: rapid.Float64Range(0.001, maxRate).Draw(t, "rate"), Age: time.Duration(rapid.IntRange(0, 60_000).Draw(t, "age")) * time.Millisecond,
				Incarnation: rapid.Uint64().Draw(t, "incarnation"), Node: name.Draw(t, "node"),
			}
		}
		if rapid.Bool().Draw(t, "of a customer") {
			want.Customer = strings.ReplaceAll(name.Draw(t, "customer"), customerSeparator, "-")
			want.RouteOffset = rapid.IntRange(-maxPriority, maxPriority).Draw(t, "offset")
		}
		h := http.Header{}
		want.Encode(h)
		got, err := Decode(h)
		want.Remaining = want.Remaining.Truncate(time.Millisecond)
		if err != nil || got != want {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
		for k := range h {
			n := h.Clone()
			n[k] = []string{"\x01"}
			if _, err := Decode(n); err == nil {
				t.Fatalf("header %s with a control character was accepted", k)
			}
		}
	})
}

// Guards against forwarding hop-by-hop headers, and Mesh-* headers in any case.
func TestOutbound(t *testing.T) {
	r := httptest.NewRequest("GET", "/", nil)
	r.Header = http.Header{
		"Connection": {"X-One, keep-alive", "x-two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "Te": {"trailers, deflate"},
		"Proxy-Authorization": {"p"}, "Upgrade": {"h2c"}, "Transfer-Encoding": {"chunked"}, "Mesh-Call": {"c"}, "mesh-key": {"k"}, "Expect": {"100-continue"},
	}
	got := fmt.Sprint(Outbound(r))
	if want := "map[Te:[trailers] User-Agent:[] Via:[1.1 godwitspindle] X-Three:[3]]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

package hop

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an expected time that is taken from a malformed header of another node, or from none.
func TestExpected(t *testing.T) {
	p := &http.Response{Header: http.Header{}}
	SetExpected(p, 213*time.Millisecond)
	if got := Expected(p); got != 213*time.Millisecond {
		t.Errorf("got %s, want 213ms", got)
	}
	for _, values := range [][]string{nil, {""}, {"-5"}, {"1.5"}, {"x"}, {"99999999999"}, {"1", "2"}} {
		p.Header[headerExpected] = values
		if got := Expected(p); got != 0 {
			t.Errorf("%q: got %s, want 0", values, got)
		}
	}
}

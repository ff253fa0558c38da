package outcome

import (
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a failure that changes between nodes, and against reading an unrecognized outcome of a peer as notrun.
func TestWriteParse(t *testing.T) {
	tests := []struct {
		name        string
		give        Failure
		kind        Kind
		after, want string
		status      int
	}{
		{"not run", Failure{Code: Overload, Kind: NotRun, Status: 503, Detail: "full", Call: "c", RetryAfter: 1500 * time.Millisecond}, NotRun, "2", "overload", 503},
		{"unknown", Failure{Code: Reset, Kind: Unknown, Status: 502, Call: "c"}, Unknown, "", "reset", 502},
		{"unrecognized kind", Failure{Code: Reset, Kind: "maybe", Status: 502, Call: "c"}, Unknown, "", "reset", 502},
		{"no status", Failure{Code: Reset, Kind: Lost, Call: "c"}, Lost, "", "reset", 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			tt.give.Write(w)
			got, ok := Parse(w.Code, w.Header(), w.Body.Bytes())
			if !ok || got.Kind != tt.kind || string(got.Code) != tt.want || got.Status != tt.status || got.Call != "c" || got.Detail != tt.give.Detail || got.RetryAfter != tt.give.RetryAfter {
				t.Errorf("Parse: got %+v, %v", got, ok)
			}
			if got := w.Header().Get("Retry-After"); got != tt.after {
				t.Errorf("got Retry-After %q, want %q", got, tt.after)
			}
		})
	}
	if _, ok := Parse(200, httptest.NewRecorder().Header(), nil); ok {
		t.Error("a response without Mesh-Outcome was parsed as a failure")
	}
}

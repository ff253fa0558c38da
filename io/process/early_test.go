package process

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a process that ends by a concurrent use of a header map: a handler that runs before its turn sets trailers while the
// turn begins. Without the race detector the fault shows only at times.
func TestTrailersWhileTurnBegins(t *testing.T) {
	l := &countingListener{}
	p := &pipeline{conn: &countedConn{listener: l}}
	e := newEarlyRequest(httptest.NewRequest(http.MethodGet, "/", nil), 0, p)
	begun := make(chan struct{})
	go e.run(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Head", "1")
		w.WriteHeader(http.StatusOK)
		close(begun)
		for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
			w.Header().Set(http.TrailerPrefix+"X-Sum", "1")
		}
	}))
	<-begun
	r := httptest.NewRecorder()
	e.serve(r)
	got := r.Result()
	if head, trailer := got.Header.Get("X-Head"), got.Trailer.Get("X-Sum"); head != "1" || trailer != "1" {
		t.Errorf("got header %q and trailer %q, want 1 and 1", head, trailer)
	}
}

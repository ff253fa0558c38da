package host

import (
	"bytes"
	"flag"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

var update = flag.Bool("update", false, "rewrite golden files")

// recordedStop returns the record of a stop that is logged to out, with its metrics and the time at which it began.
func recordedStop(out *bytes.Buffer) (*stopRecord, *process.Metrics, time.Time) {
	untimed := &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}}
	log := logr.FromSlogHandler(slog.NewJSONHandler(out, untimed))
	m := process.NewMetrics()
	return newStopRecord(log, m.StopRequests), m, time.Unix(1000, 0)
}

// Guards against a stop whose log does not show why a request was cut: when it began, when its body was whole, when it was sent
// where, and how much time was left then; and against a summary that misses or repeats a request.
func TestStopLines(t *testing.T) {
	const file = "testdata/stop.golden"
	var out bytes.Buffer
	s, metrics, began := recordedStop(&out)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	buy := &config.Route{Name: "buy"}
	s.finished(caller.Finished{Route: buy, Began: at(-9)}) // before the stop
	s.begin(began, 2500*time.Millisecond, 3*time.Second)
	s.begin(at(100), time.Second, time.Second) // a second signal changes nothing
	var running [4]caller.Request
	s.callers.Add(&running[0], caller.Progress{Call: "c1", Route: "buy", Began: at(1550), Deadline: at(9550)})
	s.callers.Add(&running[1], caller.Progress{Call: "c2", Route: "buy", Began: at(1500), Body: at(1500), Deadline: at(9500)})
	s.callers.Add(&running[2], caller.Progress{
		Call: "c3", Route: "buy", Endpoint: "counter/e1", Host: "upper-2", Began: at(-40), Body: at(5400), Sent: at(5410), Deadline: at(7960), Attempts: 2,
	})
	s.callers.Add(&running[3], caller.Progress{
		Call: "c4", Route: "fares", Endpoint: "counter/e2", Host: "upper-3", Began: at(3300), Body: at(3300), Sent: at(3301), Deadline: at(8300), Attempts: 1, Answered: true,
	})
	r := s.trackRemote(hop.Meta{Call: "d1", Service: "counter", Endpoint: "e0", Route: "buy", Remaining: 8 * time.Second}, "upper-1", at(700))
	r.Update(func(p *caller.Progress) { p.Sent = at(900) })
	s.finished(caller.Finished{Route: buy, Began: at(5)})
	s.finished(caller.Finished{Route: buy, Began: at(5), Code: outcome.Draining, Kind: outcome.NotRun})
	s.listenerClosed(at(2501), 61)
	s.finished(caller.Finished{Route: buy, Began: at(2600), Code: outcome.Reset, Kind: outcome.Unknown})
	s.cut(at(5502))
	s.cut(at(5503)) // the other listeners
	s.finished(caller.Finished{Route: buy, Began: at(1500), Code: outcome.Canceled, Kind: outcome.Unknown, Cut: true})
	s.stopped(at(5504), 62)
	if *update {
		if err := os.WriteFile(file, out.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	scrape := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`{result="answered",route="buy"} 1`, `{result="refused",route="buy"} 1`, `{result="failed",route="buy"} 1`,
		`{result="cut",route="buy"} 3`, `{result="cut",route="fares"} 1`,
	} {
		if want = "godwitspindle_stop_requests_total" + want + "\n"; !strings.Contains(scrape.Body.String(), want) {
			t.Errorf("metrics: got %s, want %s", scrape.Body.String(), want)
		}
	}
}

// Guards against a stop that cuts many requests and logs so many lines that others are dropped from the log buffer.
func TestStopLinesBounded(t *testing.T) {
	var out bytes.Buffer
	s, _, began := recordedStop(&out)
	s.begin(began, time.Second, time.Second)
	const extra = 7
	running := make([]caller.Request, maxCutLines+extra)
	for i := range running {
		s.callers.Add(&running[i], caller.Progress{Call: "c", Began: began})
	}
	s.cut(began.Add(2 * time.Second))
	s.stopped(began.Add(2*time.Second), 0)
	if got := strings.Count(out.String(), "request cut at the end of the stop"); got != maxCutLines {
		t.Errorf("got %d lines, want %d", got, maxCutLines)
	}
	if want := `"unlogged":7`; !strings.Contains(out.String(), want) {
		t.Errorf("got %s, want the summary to contain %s", out.String(), want)
	}
}

// Guards against a call of another node that is missing from the record of a stop while its answer is still passed on, or that
// stays in it after its end.
func TestStopTracksAnswers(t *testing.T) {
	var out bytes.Buffer
	s, _, began := recordedStop(&out)
	for name, c := range map[string]struct {
		answer *http.Response
		during int // calls in flight after the head of the answer
	}{
		"failure":  {nil, 0},
		"no body":  {&http.Response{Body: http.NoBody}, 0},
		"streamed": {&http.Response{Body: http.MaxBytesReader(nil, http.NoBody, 1)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := s.trackRemote(hop.Meta{Call: "d1"}, "upper-1", began)
			if got := s.remote.Len(); got != 1 {
				t.Errorf("calls in flight before the answer: got %d, want 1", got)
			}
			trackAnswer(r, c.answer)
			if got := s.remote.Len(); got != c.during {
				t.Errorf("calls in flight after the head of the answer: got %d, want %d", got, c.during)
			}
			if c.during > 0 {
				_ = c.answer.Body.Close()
				_ = c.answer.Body.Close()
			}
			if got := s.remote.Len(); got != 0 {
				t.Errorf("calls in flight after the answer: got %d, want 0", got)
			}
		})
	}
}

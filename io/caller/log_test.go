package caller

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/io/standin"

	"github.com/go-logr/logr"
)

// lines is a log in memory.
type lines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

// Write appends one line.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

// Checks that each retry decision logs one line, that failures are logged regardless of sampling, that a request logs at most
// one line when it ends, and that durations have a unit.
func TestLog(t *testing.T) {
	tests := []struct {
		name, fault string
		nodes       int
		sample      bool
		want        []string // messages in order
	}{
		{"success not sampled", "", 1, false, nil},
		{"success sampled", "", 1, true, []string{"request answered"}},
		{"failure", standin.FaultReset, 2, false, []string{"attempt failed, trying again", "attempt failed, trying again", "request failed"}},
		{"broken", standin.FaultTruncate, 1, false, []string{"answer broke off"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out lines
			route := config.Route{Name: "r", Service: "counter", Idempotent: true, Deadline: 2 * time.Second, Retries: 3}
			log := WithLog(logr.FromSlogHandler(slog.NewJSONHandler(&out, nil)), func() bool { return tt.sample })
			again := WithDecide(func(Attempt) Verdict { return Verdict{Retry: true, Reason: "safe"} })
			m := newMesh(t, tt.nodes, route, log, again)
			_ = m.do("GET", "/x", "", standin.HeaderFault, tt.fault)
			var got []string
			for end := time.Now().Add(time.Second); len(got) < len(tt.want) && time.Now().Before(end); time.Sleep(time.Millisecond) {
				got = messages(t, &out)
			}
			if len(got) != len(tt.want) {
				t.Fatalf("got %q, want %q", got, tt.want)
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("line %d: got %q, want %q", i, got[i], tt.want[i])
				}
			}
		})
	}
}

// messages returns the message of each line and checks the keys that every line must have.
func messages(t *testing.T, l *lines) (all []string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for d := json.NewDecoder(bytes.NewReader(l.all.Bytes())); d.More(); {
		var line struct{ Msg, Call, Route, Endpoint, Reason, Took string }
		if err := d.Decode(&line); err != nil {
			t.Fatal(err)
		}
		if line.Call == "" || line.Route != "r" || line.Endpoint == "" || line.Reason == "" {
			t.Errorf("got %+v, want call, route, endpoint and reason", line)
		}
		if _, err := time.ParseDuration(line.Took); line.Took != "" && err != nil {
			t.Errorf("took: got %q, want a duration with a unit", line.Took)
		}
		all = append(all, line.Msg)
	}
	return all
}

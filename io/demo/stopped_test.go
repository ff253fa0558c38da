package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/io/host"
	"godwitspindle/io/standin"
)

// logLines is a log in memory.
type logLines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

// Write appends one line.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

// find returns the lines with the message.
func (l *logLines) find(t *testing.T, message string) (found []map[string]any) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for d := json.NewDecoder(bytes.NewReader(l.all.Bytes())); d.More(); {
		line := map[string]any{}
		if err := d.Decode(&line); err != nil {
			t.Fatal(err)
		}
		if line["msg"] == message {
			found = append(found, line)
		}
	}
	return found
}

// Guards against a node that stops and cuts a request without a line about it, with a summary that does not count it, or without
// the metrics of the stop during the grace time: at the node of the caller and at that of the endpoint.
func TestStopIsLogged(t *testing.T) {
	for _, c := range []struct {
		name, message   string
		node            int
		requests, calls float64
	}{
		{"node of the caller", "request cut at the end of the stop", 0, 1, 0},
		{"node of the endpoint", "call cut at the end of the stop", 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := startTwoNodes(t, nil)
			lines := restartLogged(t, m, c.node)
			stalled := make(chan struct{})
			go func() {
				defer close(stalled)
				r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+m.Hosts[0].Listen().Caller.String()+"/", nil)
				r.Header.Set(standin.HeaderFault, standin.FaultStall)
				if p, err := http.DefaultClient.Do(r); err == nil {
					_ = p.Body.Close()
				}
			}()
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && scrape(t, m, 1)["admission_running"] == 0; {
				time.Sleep(5 * time.Millisecond)
			}
			if got := scrape(t, m, c.node)["stop_seconds"]; got != 0 {
				t.Errorf("stop_seconds before the stop: got %v, want 0", got)
			}
			h := m.Hosts[c.node]
			ended := make(chan error)
			go func() { ended <- h.Drain() }()
			time.Sleep(150 * time.Millisecond)
			if got := scrape(t, m, c.node)["stop_seconds"]; got <= 0 {
				t.Errorf("stop_seconds in the grace time: got %v, want more than 0", got)
			}
			if err := <-ended; err == nil {
				t.Error("drain: got no error, want one for the cut")
			}
			<-stalled
			cut, stopped := lines.find(t, c.message), lines.find(t, "stopped")
			if len(cut) != 1 || cut[0]["endpoint"] != "counter/desk" || cut[0]["host"] != "desk" || cut[0]["sent"] == "" || cut[0]["left"] == "" {
				t.Errorf("lines %q: got %v, want one with endpoint counter/desk, host desk, sent and left", c.message, cut)
			}
			if len(stopped) != 1 || stopped[0]["cut"] != c.requests || stopped[0]["calls"] != c.calls {
				t.Errorf("lines stopped: got %v, want one with %v requests and %v calls cut", stopped, c.requests, c.calls)
			}
			for _, phase := range []string{"draining", "listener closed", "end of the stop reached"} {
				if got := len(lines.find(t, phase)); got != 1 {
					t.Errorf("lines %q: got %d, want 1", phase, got)
				}
			}
		})
	}
}

// restartLogged restarts a node with short times for its stop and returns its log.
func restartLogged(t *testing.T, m *Mesh, node int) *logLines {
	t.Helper()
	lines := &logLines{}
	m.log = logr.FromSlogHandler(slog.NewJSONHandler(lines, nil))
	m.settings[node].CloseNotice, m.settings[node].Grace = 100*time.Millisecond, 200*time.Millisecond
	if err := m.Stop(node); err != nil {
		t.Fatal(err)
	}
	if err := m.Start(node); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	err := m.Await(ctx, func(h *host.Host) bool {
		c, ok := h.View().Table.Service("counter")
		return h.Serving() && ok && len(c.Endpoints) == 1
	})
	if err != nil {
		t.Fatal(err)
	}
	for get(t, m.Hosts[0].Listen().Caller) != http.StatusOK { // until the backend server has announced itself again
		if ctx.Err() != nil {
			t.Fatal("no answer from the backend server after the restart")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return lines
}

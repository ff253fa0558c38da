package demo

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"godwitspindle/io/standin"
)

// scrape returns the metrics of a node, keyed by name and labels without the prefix godwitspindle_.
func scrape(t *testing.T, m *Mesh, i int) map[string]float64 {
	t.Helper()
	p, err := http.Get("http://" + m.Hosts[i].Listen().Metrics.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	all := map[string]float64{}
	for lines := bufio.NewScanner(p.Body); lines.Scan(); {
		name, value, _ := strings.Cut(strings.TrimPrefix(lines.Text(), "godwitspindle_"), " ")
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			all[name] = f
		}
	}
	return all
}

// Guards against metrics that a component exports but the assembled node never sets.
func TestMetrics(t *testing.T) {
	m := startTwoNodes(t, nil, WithSlots(1))
	entry := m.Hosts[0].Listen().Caller
	for range 5 {
		if got := get(t, entry); got != http.StatusOK {
			t.Fatalf("got status %d, want 200", got)
		}
	}
	if p, err := http.Post("http://"+entry.String()+"/", "text/plain", nil); err != nil || p.StatusCode != http.StatusNotFound {
		t.Fatalf("got %v, %v, want 404", p, err)
	}
	ended := make(chan struct{}, 2)
	for range 2 {
		go func() {
			defer func() { ended <- struct{}{} }()
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.String()+"/", nil)
			r.Header.Set(standin.HeaderFault, standin.FaultStall)
			if p, err := http.DefaultClient.Do(r); err == nil {
				_ = p.Body.Close()
			}
		}()
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end) && scrape(t, m, 1)["admission_queued"] == 0; {
		time.Sleep(5 * time.Millisecond)
	}
	tests := []struct {
		node      int
		name      string
		low, high float64
	}{
		{0, `calls_total{class="read",code="",outcome=""}`, 5, 5},
		{0, `calls_total{class="",code="noroute",outcome="notrun"}`, 1, 1},
		{0, "added_seconds_count", 5, 5},
		{0, "added_seconds_sum", 1e-6, 1},
		{0, "agreement_commits_total", 3, 1000},
		{0, "fsync_seconds_count", 3, 1000},
		{0, "agreement_leader", 1, 1},
		{0, "crossed_answers_total", 0, 0},
		{0, "quarantine_fingerprints", 0, 0},
		{0, "confirmation_age_seconds", 0, 60},
		{1, "confirmation_age_seconds", 0, 60},
		{1, "full_transfers_total", 1, 10},
		{1, "admission_running", 1, 1},
		{1, "admission_queued", 1, 1},
		{1, `control_bytes_total{direction="sent",message="Sync"}`, 1, 1e6},
	}
	for _, tt := range tests {
		got, ok := scrape(t, m, tt.node)[tt.name]
		if !ok || got < tt.low || got > tt.high {
			t.Errorf("node %d, %s: got %v (present: %v), want %v to %v", tt.node, tt.name, got, ok, tt.low, tt.high)
		}
	}
	for range 2 {
		<-ended
	}
	late := scrape(t, m, 0)
	if late[`calls_total{class="read",code="",outcome=""}`] != 5 || late["added_seconds_count"] != 5 {
		t.Errorf("stalled calls were counted as answered")
	}
}

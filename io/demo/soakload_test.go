package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"godwitspindle/io/operator"
	"godwitspindle/io/standin"
)

// answerLossTransport makes backend servers reset the connection, instead of answering, for one in soakLossInterval requests.
type answerLossTransport struct {
	next  *http.Transport
	count int
}

// RoundTrip implements http.RoundTripper; it is not safe for concurrent use.
func (l *answerLossTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.count++; l.count%soakLossInterval == 0 {
		r.Header.Set(standin.HeaderFault, standin.FaultReset)
	}
	return l.next.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the next transport; http.Client.CloseIdleConnections calls it.
func (l *answerLossTransport) CloseIdleConnections() { l.next.CloseIdleConnections() }

// sendCalls sends purchases with keys and lookups through the nodes in turn, over reused connections, until ctx ends.
func (s *soak) sendCalls(ctx context.Context, n int) {
	c := &http.Client{Transport: &answerLossTransport{next: &http.Transport{MaxIdleConnsPerHost: 2}}, Timeout: soakTimeout}
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		if i%2 == 0 {
			s.sendUntilAnswered(c, n+i, http.MethodGet, "/fares", fmt.Sprintf("f%d-%d", n, i), 1)
		} else {
			s.sendUntilAnswered(c, n+i, http.MethodPost, "/passes", fmt.Sprintf("k%d-%d", n, i), 1+i%3) // some callers never send a request again
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendUntilAnswered sends one request until it is served or its tries are used, and records the outcomes.
func (s *soak) sendUntilAnswered(c *http.Client, start int, method, path, key string, tries int) {
	w := &callerOutcomes{idempotent: method == http.MethodGet}
	for try := range tries {
		a := send(c, s.callerProxies[(start+try)%soakNodes].address(), method, path, key)
		if a.err == nil && a.status == http.StatusOK && !a.complete {
			s.Errorf("%s: got a success that is not the complete answer to its request: %+v", key, a)
		}
		switch {
		case a.complete && a.status == http.StatusOK:
			w.served++
		case a.err == nil && a.outcome == operator.NotRun:
			w.refused++
		default:
			w.unknown++
		}
		if w.served > 0 {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[key] = w
}

// applyChanges applies one change after the other until ctx ends or a change is refused; a change with neither an acknowledgment
// nor a refusal is sent again unchanged.
func (s *soak) applyChanges(ctx context.Context) {
	base := s.mesh.version
	for n := 1; ctx.Err() == nil; n++ {
		rules := strings.Replace(testRules, `"priority":2`, fmt.Sprintf(`"priority":%d`, 1+n%5), 1)
		c := operator.Change{ID: fmt.Sprint("edit-", n), Rules: json.RawMessage(rules), Base: base, Author: "soak", Reason: "soak"}
		for {
			a, err := s.apply(c)
			if err == nil {
				s.mu.Lock()
				s.acked[c.ID] = a.Version
				s.mu.Unlock()
				s.newest.Store(max(s.newest.Load(), a.Version))
				base = a.Version
				break
			}
			var p *operator.Problem
			if errors.As(err, &p) && p.Status >= 400 && p.Status < 500 {
				s.Errorf("change %s on version %d: got %v, want an acknowledgement", c.ID, base, err)
				return
			}
			if ctx.Err() != nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *soak) apply(c operator.Change) (*operator.Accepted, error) {
	ctx, cancel := context.WithTimeout(context.Background(), soakTimeout)
	defer cancel()
	return s.mesh.ops.Apply(ctx, c)
}

// checkReads checks that a read that asks for the current configuration returns no version below one acknowledged before it.
func (s *soak) checkReads(ctx context.Context) {
	for ctx.Err() == nil {
		newest := s.newest.Load()
		readCtx, cancel := context.WithTimeout(ctx, soakTimeout)
		c, err := s.mesh.ops.Show(readCtx, 0, false)
		cancel()
		if err == nil && c.Version < newest {
			s.Errorf("read as current: got version %d, want at least %d", c.Version, newest)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// watchVersion checks that the version of a process never decreases while the process runs.
func (s *soak) watchVersion(ctx context.Context, i int) {
	c := &http.Client{Timeout: time.Second}
	lastVersion, lastPID := 0.0, 0
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		currentPID := s.pid(i)
		v, ok := gaugeValue(c, s.nodes[i].listen["metrics"], "godwitspindle_snapshot_version")
		if !ok || currentPID == 0 || s.pid(i) != currentPID {
			continue
		}
		if lastPID == currentPID && v < lastVersion {
			s.Errorf("n%d: version decreased: got %v, want at least %v", i, v, lastVersion)
		}
		lastVersion, lastPID = v, currentPID
	}
}

func gaugeValue(c *http.Client, address, name string) (float64, bool) {
	p, err := c.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = p.Body.Close() }()
	text, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			return v, err == nil
		}
	}
	return 0, false
}

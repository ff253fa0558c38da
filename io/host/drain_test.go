package host

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

// startHost starts a node without a source, so that its leave cannot be reported, with a listener for orders that take a time. Its lines go to lines.
func startHost(t *testing.T, notice, grace, order time.Duration, lines ...*[]string) *Host {
	t.Helper()
	any4 := netip.MustParseAddrPort("127.0.0.1:0")
	s := &process.Settings{
		Name: "n", Listen: process.Listen{Peer: any4, Caller: any4}, Grace: grace, CloseNotice: notice, Profile: process.Fast,
		Seeds: process.Seeds{Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}},
	}
	log := logr.Discard()
	if len(lines) > 0 {
		var mu sync.Mutex
		log = funcr.New(func(_, line string) {
			mu.Lock()
			defer mu.Unlock()
			*lines[0] = append(*lines[0], line)
		}, funcr.Options{})
	}
	h, err := New(s, log, WithListener("listen.admin", any4, func(*Host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(order):
				_, _ = io.WriteString(w, "accepted")
			case <-r.Context().Done():
			}
		})
	}))
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// order sends an order to the node and returns a channel for the answer, or for the error as text.
func order(h *Host) <-chan string {
	answer := make(chan string, 1)
	go func() {
		p, err := http.Get("http://" + h.bound["admin"].String() + "/")
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = p.Body.Close() }()
		b, _ := io.ReadAll(p.Body)
		answer <- string(b)
	}()
	time.Sleep(50 * time.Millisecond)
	return answer
}

// Guards against an operator's order that is cut although its answer was due before the end of the stop.
func TestDrainAnswersOrders(t *testing.T) {
	h := startHost(t, 50*time.Millisecond, 4*time.Second, 2500*time.Millisecond)
	answer := order(h)
	if err := h.Drain(); err != nil {
		t.Errorf("got %v, want a drain without an error", err)
	}
	if got := <-answer; got != "accepted" {
		t.Errorf("got %q, want the answer to the order", got)
	}
}

// Guards against a stop that lasts longer than its grace time, because of an order that does not end or of a leave that cannot be
// reported, and against a second call of Drain that shortens the stop or returns before its end.
func TestDrainEndsInTime(t *testing.T) {
	const notice, grace, slack = 100 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond
	var lines []string
	h := startHost(t, notice, grace, time.Hour, &lines)
	answer := order(h)
	begin := time.Now()
	var wait sync.WaitGroup
	for i := range 2 {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			if err := h.Drain(); err == nil {
				t.Errorf("call %d: got no error, want one for the cut order", i)
			}
			if took := time.Since(begin); took < notice+grace || took > notice+grace+slack {
				t.Errorf("call %d: got an end after %v, want %v to %v", i, took, notice+grace, notice+grace+slack)
			}
		})
	}
	wait.Wait()
	<-answer
	drains := slices.DeleteFunc(lines, func(l string) bool { return !strings.Contains(l, `"draining"`) })
	if len(drains) != 1 {
		t.Errorf("got %d drains %q, want 1", len(drains), drains)
	}
}

// Guards against calls of other nodes that a stopping node takes although their answers are due after its end.
func TestDrainAsksForRemoteCalls(t *testing.T) {
	h := startHost(t, time.Second, time.Second, 0)
	defer func() { _ = h.Close() }()
	a := backend.Announcement{Service: "archive", Endpoint: "e", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1, Connections: 1}
	if f := h.Announce(a); f != nil {
		t.Fatal(f)
	}
	h.shutdown.Begin(time.Now())
	for _, c := range []struct {
		name                string
		deadline, objective time.Duration
		want                outcome.Code // unreachable if the call was passed on, since nothing listens at the endpoint's address
	}{
		{"deadline fits", time.Second, time.Millisecond, outcome.Unreachable},
		{"deadline after the end, objective fits", time.Minute, time.Millisecond, outcome.Draining},
		{"both after the end", time.Minute, 3 * time.Second, outcome.Draining},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
		m := hop.Meta{Call: "c", Service: "archive", Endpoint: "e", Objective: c.objective}
		_, err := h.serveRemote(ctx, m, &http.Request{Method: "GET", URL: &url.URL{Path: "/"}, Header: http.Header{}})
		cancel()
		if f := hop.AsFailure(err, "c"); f.Code != c.want || f.Kind != outcome.NotRun {
			t.Errorf("%s: got %v, want code %q", c.name, f, c.want)
		}
	}
}

// Guards against calls that stay in the queue of a local endpoint after the notice, while other nodes could run them.
func TestDrainRefusesQueuedCalls(t *testing.T) {
	const notice = 100 * time.Millisecond
	h := startHost(t, notice, 2*time.Second, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, f := h.admit(ctx, "archive/e", hop.Meta{Call: "running"}); f != nil {
		t.Fatalf("got %v, want the first call admitted", f)
	}
	refused := make(chan *outcome.Failure, 1)
	go func() {
		_, f := h.admit(ctx, "archive/e", hop.Meta{Call: "queued"})
		refused <- f
	}()
	for h.endpoint("archive/e").queue.queued() == 0 {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	go func() { _ = h.Drain() }()
	f := <-refused
	if f == nil || f.Code != outcome.Draining || f.Kind != outcome.NotRun {
		t.Errorf("got %v, want a refusal with code %q", f, outcome.Draining)
	}
	if took := time.Since(begin); took < notice || took > notice+300*time.Millisecond {
		t.Errorf("got the refusal after %v, want it at the end of the notice (%v)", took, notice)
	}
	_ = h.Drain()
}

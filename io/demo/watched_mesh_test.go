package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/examples"
	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/standin"
)

// watchedMesh is a mesh with the Sahyadri register and rules in force. A watcher checks that no node's version decreases.
type watchedMesh struct {
	*testing.T
	*Mesh
	ops             *operator.Client
	version         uint64   // version of the newest change
	highestVersions []uint64 // highest version that a serving node had, by host index
	watcher         sync.WaitGroup
}

// meshSlots limits how many meshes run at once, so that time limits hold on a small machine.
var meshSlots = make(chan struct{}, 4)

func startWatchedMesh(t *testing.T, specs []HostSpec, opts ...Option) *watchedMesh {
	t.Helper()
	t.Parallel()
	meshSlots <- struct{}{}
	t.Cleanup(func() { <-meshSlots })
	m, err := New(t.TempDir(), specs, logr.Discard(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	r := &watchedMesh{T: t, Mesh: m, ops: m.OperatorClient(), highestVersions: make([]uint64, len(specs))}
	ctx, cancel := context.WithCancel(context.Background())
	r.watcher.Go(func() { r.watchVersions(ctx) })
	t.Cleanup(func() {
		cancel()
		r.watcher.Wait()
		r.ops.Close()
		_ = m.Close()
	})
	r.await("all nodes in the table of each node", 20*time.Second, func(h *host.Host) bool { return h.Serving() && len(h.View().Table.Nodes()) == len(specs) })
	r.apply(operator.Change{ID: "register", Register: examples.SahyadriRegister})
	r.apply(operator.Change{ID: "rules", Rules: examples.SahyadriRules})
	r.awaitInForce(10 * time.Second)
	r.await("all endpoints in the snapshot of each node", 10*time.Second, func(h *host.Host) bool {
		_, e := h.View().Snapshot.Members()
		return len(e) == len(specs)
	})
	return r
}

// watchVersions fails the test when a serving node has a lower version than before, also after a restart.
func (r *watchedMesh) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for i, h := range r.Running() {
			if h == nil || !h.Serving() {
				continue
			}
			v := h.View().Snapshot.Version()
			if v < r.highestVersions[i] {
				r.Errorf("%s: version decreased: got %d, want at least %d", r.specs[i].Name, v, r.highestVersions[i])
			}
			r.highestVersions[i] = max(r.highestVersions[i], v)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// await waits until ready reports true for all running nodes and returns how long that took.
func (r *watchedMesh) await(what string, timeout time.Duration, ready func(h *host.Host) bool) time.Duration {
	r.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := r.Await(ctx, ready); err != nil {
		for i, h := range r.Running() {
			if h != nil {
				r.Logf("%s: version %d, serving %t, nodes %d", r.specs[i].Name, h.View().Snapshot.Version(), h.Serving(), len(h.View().Table.Nodes()))
			}
		}
		r.Fatalf("%s: not reached, want within %s", what, timeout)
	}
	return time.Since(began)
}

// awaitInForce waits until all running nodes hold the newest change and returns how long that took.
func (r *watchedMesh) awaitInForce(timeout time.Duration) time.Duration {
	r.Helper()
	return r.await(fmt.Sprintf("version %d in force", r.version), timeout, func(h *host.Host) bool { return h.View().Snapshot.Version() >= r.version })
}

// apply proposes a change based on the newest version.
func (r *watchedMesh) apply(c operator.Change) *operator.Accepted {
	r.Helper()
	c.Base, c.Author, c.Reason = r.version, "test", "test"
	a, err := r.ops.Apply(context.Background(), c)
	if err != nil {
		r.Fatalf("apply %s: %v", c.ID, err)
	}
	r.version = a.Version
	return a
}

// priorityChange returns a change of the rules that sets a priority derived from n.
func priorityChange(n int) operator.Change {
	priority := fmt.Sprintf(`"priority": %d, "deadline": "800ms"`, 1+n%8)
	rules := bytes.ReplaceAll(examples.SahyadriRules, []byte(`"priority": 7, "deadline": "800ms"`), []byte(priority))
	return operator.Change{ID: fmt.Sprint("edit-", n), Rules: json.RawMessage(rules)}
}

// indexOf returns the host index of the first running node for which matches reports true.
func (r *watchedMesh) indexOf(matches func(i int, h *host.Host) bool) int {
	r.Helper()
	for i, h := range r.Running() {
		if h != nil && matches(i, h) {
			return i
		}
	}
	r.Fatal("no running node matches")
	return -1
}

func (r *watchedMesh) leader() int {
	return r.indexOf(func(_ int, h *host.Host) bool { return h.Leads() })
}

// answer is the result of one attempt of a caller.
type answer struct {
	status   int
	outcome  string
	code     string
	id       string
	complete bool // whether the whole body was read and belongs to the request
	closing  bool // whether the response asks the caller to close the connection
	err      error
}

// retryable reports whether a caller may send the request again: it was refused as not run, no connection was made, or a node
// without a proven version refused it. Such a refusal of a request with a key has the outcome unknown only because an earlier
// attempt may have run.
func (a answer) retryable() bool {
	refused := a.outcome == operator.NotRun || a.code == "unproven"
	return a.connectFailed() || a.err == nil && refused
}

// connectFailed reports whether the connection failed, so that nothing of the request was sent. A closing listener refuses a
// connection or resets it during its handshake.
func (a answer) connectFailed() bool {
	var o *net.OpError
	if !errors.As(a.err, &o) || o.Op != "dial" {
		return false
	}
	return errors.Is(o, syscall.ECONNREFUSED) || errors.Is(o, syscall.ECONNRESET)
}

// send makes one attempt. The body cannot be rewound, so that net/http does not retry on its own.
func send(c *http.Client, address, method, path, key string) answer {
	body := key + path
	q, err := http.NewRequest(method, "http://"+address+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return answer{err: err}
	}
	q.ContentLength = int64(len(body))
	q.Header.Set(standin.HeaderID, body)
	if key != "" {
		q.Header.Set("Idempotency-Key", quoteKey(key))
	}
	p, err := c.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = p.Body.Close() }()
	_, err = io.ReadAll(p.Body)
	return answer{
		status: p.StatusCode, outcome: p.Header.Get("Mesh-Outcome"), code: p.Header.Get("Mesh-Code"), err: err, id: p.Header.Get(standin.HeaderID),
		closing:  p.Close,
		complete: err == nil && p.Header.Get(standin.HeaderID) == body && p.Header.Get(standin.HeaderSum) == standin.Sum([]byte(body)),
	}
}

// backgroundLoad is a set of callers that send requests in the background.
type backgroundLoad struct {
	calls, retried atomic.Int64
	stop           context.CancelFunc
	wait           sync.WaitGroup
}

// startLoad starts callers that send fare lookups and purchases through the given addresses in turn. The test fails when a call
// gets no complete answer with status 200 after up to 20 attempts, each but the last known not to have run.
func (r *watchedMesh) startLoad(callers int, addresses func() []string) *backgroundLoad {
	ctx, stop := context.WithCancel(context.Background())
	l := &backgroundLoad{stop: stop}
	for i := range callers {
		l.wait.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 10 * time.Second}
			defer c.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				r.call(l, c, addresses, i+n, fmt.Sprintf("k%d-%d", i, n))
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return l
}

func (r *watchedMesh) call(l *backgroundLoad, c *http.Client, addresses func() []string, n int, key string) {
	method, path := http.MethodGet, "/fares"
	if n%2 == 0 {
		method, path = http.MethodPost, "/passes"
	}
	l.calls.Add(1)
	var a answer
	for try := range 20 {
		list := addresses()
		a = send(c, list[(n+try)%len(list)], method, path, key)
		if !a.retryable() {
			break
		}
		l.retried.Add(1)
		time.Sleep(20 * time.Millisecond)
	}
	if !a.complete || a.status != http.StatusOK {
		r.Errorf("%s %s %s: got %+v (error %v), want a complete answer with status 200", method, path, key, a, a.err)
	}
}

// stopLoad stops the callers and checks that no backend server ran a key twice.
func (r *watchedMesh) stopLoad(l *backgroundLoad) {
	r.Helper()
	l.stop()
	l.wait.Wait()
	runs := map[string]int{}
	for _, b := range r.Backends {
		if k, n := b.MaxRuns(); n > runs[k] {
			runs[k] += n
		}
	}
	for k, n := range runs {
		if n > 1 {
			r.Errorf("key %s: got %d runs, want at most 1", k, n)
		}
	}
	r.Logf("%d calls, %d sent again after a refusal", l.calls.Load(), l.retried.Load())
	if l.calls.Load() == 0 {
		r.Error("got no calls, want some")
	}
}

// callers returns the addresses of the caller listeners of all nodes, including stopped ones.
func (r *watchedMesh) callers() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []string
	for _, s := range r.settings {
		list = append(list, s.Listen.Caller.String())
	}
	return list
}

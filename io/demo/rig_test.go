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

// rig is a mesh with the Sahyadri register and rules in force, and a watch over the version of every node.
type rig struct {
	*testing.T
	*Mesh
	ops     *operator.Client
	version uint64 // of the newest change
	highest []uint64
	watched sync.WaitGroup
}

// meshes bounds how many meshes run at once, so that bounds on time hold on a small machine.
var meshes = make(chan struct{}, 4)

func start(t *testing.T, places []Place, opts ...Option) *rig {
	t.Helper()
	t.Parallel()
	meshes <- struct{}{}
	t.Cleanup(func() { <-meshes })
	m, err := New(t.TempDir(), places, logr.Discard(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, Mesh: m, ops: m.Operators(), highest: make([]uint64, len(places))}
	ctx, cancel := context.WithCancel(context.Background())
	r.watched.Go(func() { r.watch(ctx) })
	t.Cleanup(func() {
		cancel()
		r.watched.Wait()
		r.ops.Close()
		_ = m.Close()
	})
	r.await("all nodes agreed", 20*time.Second, func(h *host.Host) bool { return h.Serving() && len(h.View().Table.Nodes()) == len(places) })
	r.apply(operator.Change{ID: "register", Register: examples.SahyadriRegister})
	r.apply(operator.Change{ID: "rules", Rules: examples.SahyadriRules})
	r.inForce(10 * time.Second)
	r.await("all endpoints agreed", 10*time.Second, func(h *host.Host) bool {
		_, e := h.View().Snapshot.Members()
		return len(e) == len(places)
	})
	return r
}

// watch fails the test when a node that serves holds a lower version than it held before, restarts included (R1).
func (r *rig) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, h := range r.Running() {
			if h == nil || !h.Serving() {
				continue
			}
			v := h.View().Snapshot.Version()
			if v < r.highest[i] {
				r.Errorf("%s went back: got version %d, want at least %d", r.places[i].Name, v, r.highest[i])
			}
			r.highest[i] = max(r.highest[i], v)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// await waits for all running nodes and returns how long it took.
func (r *rig) await(what string, most time.Duration, ready func(h *host.Host) bool) time.Duration {
	r.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	if err := r.Await(ctx, ready); err != nil {
		for i, h := range r.Running() {
			if h != nil {
				r.Logf("%s: version %d, serving %t, nodes %d", r.places[i].Name, h.View().Snapshot.Version(), h.Serving(), len(h.View().Table.Nodes()))
			}
		}
		r.Fatalf("%s: got not yet, want within %s", what, most)
	}
	return time.Since(began)
}

// inForce waits until all running nodes hold the newest change.
func (r *rig) inForce(most time.Duration) time.Duration {
	r.Helper()
	return r.await(fmt.Sprintf("version %d in force", r.version), most, func(h *host.Host) bool { return h.View().Snapshot.Version() >= r.version })
}

// apply proposes a change on top of the newest one.
func (r *rig) apply(c operator.Change) *operator.Accepted {
	r.Helper()
	c.Base, c.Author, c.Reason = r.version, "test", "test"
	a, err := r.ops.Apply(context.Background(), c)
	if err != nil {
		r.Fatalf("apply %s: %v", c.ID, err)
	}
	r.version = a.Version
	return a
}

// edit returns the n-th change of the rules.
func edit(n int) operator.Change {
	priority := fmt.Sprintf(`"priority": %d, "deadline": "800ms"`, 1+n%8)
	rules := bytes.ReplaceAll(examples.SahyadriRules, []byte(`"priority": 7, "deadline": "800ms"`), []byte(priority))
	return operator.Change{ID: fmt.Sprint("edit-", n), Rules: json.RawMessage(rules)}
}

// index returns the place of the first running node that fits.
func (r *rig) index(fits func(i int, h *host.Host) bool) int {
	r.Helper()
	for i, h := range r.Running() {
		if h != nil && fits(i, h) {
			return i
		}
	}
	r.Fatal("no node fits")
	return -1
}

func (r *rig) leader() int {
	return r.index(func(_ int, h *host.Host) bool { return h.Leads() })
}

// answer is what a caller sees of one attempt.
type answer struct {
	status  int
	outcome string
	code    string
	id      string
	whole   bool
	closing bool // the caller is asked to close the connection
	err     error
}

// again reports whether a caller may send the request again: it was refused as not run, nothing took its connection, or a
// node without a proven version refused it, which is unknown to a keyed request only for the sake of earlier attempts.
func (a answer) again() bool {
	refused := a.outcome == operator.NotRun || a.code == "unproven"
	return a.unconnected() || a.err == nil && refused
}

// unconnected reports whether connect failed, so that nothing of the request was sent. A listener that closes refuses, or
// resets, a connection whose handshake is under way.
func (a answer) unconnected() bool {
	var o *net.OpError
	if !errors.As(a.err, &o) || o.Op != "dial" {
		return false
	}
	return errors.Is(o, syscall.ECONNREFUSED) || errors.Is(o, syscall.ECONNRESET)
}

// send makes one attempt. The body cannot be sent again, so that net/http does not retry on its own.
func send(c *http.Client, address, method, path, key string) answer {
	body := key + path
	q, err := http.NewRequest(method, "http://"+address+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return answer{err: err}
	}
	q.ContentLength = int64(len(body))
	q.Header.Set(standin.HeaderID, body)
	if key != "" {
		q.Header.Set("Idempotency-Key", quoted(key))
	}
	p, err := c.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = p.Body.Close() }()
	_, err = io.ReadAll(p.Body)
	return answer{
		status: p.StatusCode, outcome: p.Header.Get("Mesh-Outcome"), code: p.Header.Get("Mesh-Code"), err: err, id: p.Header.Get(standin.HeaderID),
		closing: p.Close,
		whole:   err == nil && p.Header.Get(standin.HeaderID) == body && p.Header.Get(standin.HeaderSum) == standin.Sum([]byte(body)),
	}
}

// load is callers' work in the background.
type load struct {
	calls, again atomic.Int64
	stop         context.CancelFunc
	wait         sync.WaitGroup
}

// run starts callers that send fare lookups and purchases through the given nodes in turn, or all. A call fails the test
// when it gets neither a whole answer nor, within its attempts, a proof that it did not run (R4, R8).
func (r *rig) run(callers int, addresses func() []string) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
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

func (r *rig) call(l *load, c *http.Client, addresses func() []string, n int, key string) {
	method, path := http.MethodGet, "/fares"
	if n%2 == 0 {
		method, path = http.MethodPost, "/passes"
	}
	l.calls.Add(1)
	var a answer
	for try := range 20 {
		list := addresses()
		a = send(c, list[(n+try)%len(list)], method, path, key)
		if !a.again() {
			break
		}
		l.again.Add(1)
		time.Sleep(20 * time.Millisecond)
	}
	if !a.whole || a.status != http.StatusOK {
		r.Errorf("%s %s %s: got %+v (error %v), want a whole answer", method, path, key, a, a.err)
	}
}

// end stops the callers and checks that no key ran twice (R6).
func (r *rig) end(l *load) {
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
	r.Logf("%d calls, %d sent again after a refusal", l.calls.Load(), l.again.Load())
	if l.calls.Load() == 0 {
		r.Error("got no calls, want load")
	}
}

// callers returns the caller listeners of all places, those of stopped nodes included.
func (r *rig) callers() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []string
	for _, s := range r.settings {
		list = append(list, s.Listen.Caller.String())
	}
	return list
}

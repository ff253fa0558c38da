package demo

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/outcome"
	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/standin"
)

const testRegister = `{"services":[{"name":"counter","internal":false,"slots":12,"connections":130}],
"domains":[{"name":"lower","region":"munnar"},{"name":"upper","region":"munnar"},{"name":"kochi","region":"kochi"}]}`

const testRules = `{"set":"main","routes":[
{"name":"buy","service":"counter","host":"","path":"/passes","methods":["POST"],"idempotent":false,"late":false,"priority":9,"deadline":"1s","retries":0},
{"name":"fares","service":"counter","host":"","path":"/fares","methods":["GET"],"idempotent":true,"late":false,"priority":7,"deadline":"800ms","retries":1},
{"name":"history","service":"counter","host":"","path":"/history","methods":["GET"],"idempotent":true,"late":true,"priority":2,"deadline":"3s","retries":0}],
"limits":[],"drains":[]}`

// testHosts returns three replicas, then entry nodes without a backend server, then the given number of hosts with a backend server
// of "counter".
func testHosts(counters int) []HostSpec {
	domains := []string{"lower", "upper", "kochi"}
	var list []HostSpec
	for _, d := range domains {
		list = append(list, HostSpec{Name: "replica-" + d, Region: "munnar", Domain: d, Replica: true})
	}
	for i := range firstCounter - firstEntry {
		list = append(list, HostSpec{Name: "entry" + string(rune('1'+i)), Region: "munnar", Domain: domains[i%2]})
	}
	for i := range counters {
		list = append(list, HostSpec{Name: "counter" + string(rune('1'+i)), Region: "munnar", Domain: domains[i%2], Service: "counter"})
	}
	return list
}

const (
	firstEntry   = 3 // index of the first entry node, which has no backend server
	firstCounter = 9 // index of the first host with a backend server
)

// testMesh is a mesh with its caller addresses, which stay the same when a node restarts.
type testMesh struct {
	*Mesh
	callers []netip.AddrPort
}

// startMesh starts a mesh and waits until the test rules are in force on each node.
func startMesh(t *testing.T, counters int, opts ...Option) *testMesh {
	t.Helper()
	m, err := New(t.TempDir(), testHosts(counters), logr.Discard(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	w := &testMesh{Mesh: m}
	for _, h := range m.Hosts {
		w.callers = append(w.callers, h.Listen().Caller)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	ops := m.OperatorClient()
	defer ops.Close()
	var base uint64
	for _, c := range []operator.Change{
		{ID: "register", Author: "test", Reason: "test", Register: json.RawMessage(testRegister)},
		{ID: "rules", Author: "test", Reason: "test", Rules: json.RawMessage(testRules)},
	} {
		c.Base = base
		a, err := ops.Apply(ctx, c)
		if err != nil {
			t.Fatal(err)
		}
		base = a.Version
	}
	w.awaitCounters(t, counters)
	return w
}

// awaitCounters waits until every running node serves the test rules with at least the given number of counter endpoints.
func (m *testMesh) awaitCounters(t *testing.T, counters int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	err := m.Await(ctx, func(h *host.Host) bool {
		s, ok := h.View().Table.Service("counter")
		_, hasRoute := h.View().Table.Match("", "/history", http.MethodGet)
		return h.Serving() && ok && hasRoute && len(s.Endpoints) >= counters
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (m *testMesh) runs(key string) int {
	n := 0
	for _, b := range m.Backends {
		if b != nil {
			n += b.Runs(key)
		}
	}
	return n
}

// request is one request of a caller.
type request struct {
	path, key, body, fault string
	latency                time.Duration
	size                   string
}

// reply is the response that a caller got, or its error.
type reply struct {
	status     int
	kind       outcome.Kind
	code       outcome.Code
	replay     bool
	endpoint   string
	body       []byte
	took       time.Duration
	err        error // error of the connection or of reading the body
	mismatched bool  // whether the response is a 200 that belongs to another request
}

// clientFrom returns a client with the given loopback address as its source; the mesh identifies callers by address.
func clientFrom(address string) *http.Client {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256}}
}

// send sends a request through the node of host i and records whether a 200 belongs to another request.
func (m *testMesh) send(ctx context.Context, c *http.Client, i int, q request) reply {
	begin := time.Now()
	method := http.MethodGet
	if q.path == "/passes" {
		method = http.MethodPost
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.callers[i].String()+q.path, strings.NewReader(q.body))
	for k, v := range map[string]string{
		"Idempotency-Key": q.key, standin.HeaderFault: q.fault, standin.HeaderSize: q.size, standin.HeaderID: q.body,
	} {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	if q.latency > 0 {
		r.Header.Set(standin.HeaderDelay, q.latency.String())
	}
	p, err := c.Do(r)
	if err != nil {
		return reply{err: err, took: time.Since(begin)}
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(p.Body)
	a := reply{
		status: p.StatusCode, kind: outcome.Kind(p.Header.Get(outcome.HeaderOutcome)), code: outcome.Code(p.Header.Get(outcome.HeaderCode)),
		replay: p.Header.Get("Mesh-Replay") != "", body: body, err: err, took: time.Since(begin),
	}
	a.endpoint, _, _ = strings.Cut(string(body), " ")
	a.mismatched = a.status == http.StatusOK && (p.Header.Get(standin.HeaderID) != q.body || p.Header.Get(standin.HeaderSum) != standin.Sum([]byte(q.body)))
	return a
}

func eventually(t *testing.T, timeout time.Duration, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", timeout, condition)
		}
	}
}

// openAnswer sends a lookup whose answer has the given size in bytes and returns the response without reading its body.
func (m *testMesh) openAnswer(c *http.Client, path, size string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.callers[firstEntry].String()+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(standin.HeaderSize, size)
	return c.Do(r)
}

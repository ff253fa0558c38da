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

// testPlaces are three replicas, then entries without a backend server, then counters.
func testPlaces(counters int) []Place {
	domains := []string{"lower", "upper", "kochi"}
	var list []Place
	for _, d := range domains {
		list = append(list, Place{Name: "replica-" + d, Region: "munnar", Domain: d, Replica: true})
	}
	for i := range counter - entry {
		list = append(list, Place{Name: "entry" + string(rune('1'+i)), Region: "munnar", Domain: domains[i%2]})
	}
	for i := range counters {
		list = append(list, Place{Name: "counter" + string(rune('1'+i)), Region: "munnar", Domain: domains[i%2], Service: "counter"})
	}
	return list
}

const (
	entry   = 3 // first of the nodes without a backend server
	counter = 9 // first of the counters
)

// world is a mesh with the addresses for callers, which stay the same when a node starts again.
type world struct {
	*Mesh
	callers []netip.AddrPort
}

// startMesh returns a mesh with the test rules in force on each node.
func startMesh(t *testing.T, counters int, opts ...Option) *world {
	t.Helper()
	m, err := New(t.TempDir(), testPlaces(counters), logr.Discard(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	w := &world{Mesh: m}
	for _, h := range m.Hosts {
		w.callers = append(w.callers, h.Listen().Caller)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	ops := m.Operators()
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
	w.ready(t, counters)
	return w
}

// ready waits until every running node serves the rules with the given number of counters.
func (m *world) ready(t *testing.T, counters int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	err := m.Await(ctx, func(h *host.Host) bool {
		s, ok := h.View().Table.Service("counter")
		_, routed := h.View().Table.Match("", "/history", http.MethodGet)
		return h.Serving() && ok && routed && len(s.Endpoints) >= counters
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (m *world) runs(key string) int {
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

// reply is what the caller saw.
type reply struct {
	status   int
	kind     outcome.Kind
	code     outcome.Code
	replay   bool
	endpoint string
	body     []byte
	took     time.Duration
	err      error // broken connection or body
	foreign  bool  // a 200 that belongs to another request
}

// clientFrom returns a client whose requests come from the loopback address; the mesh tells callers apart by address.
func clientFrom(address string) *http.Client {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256}}
}

// send sends a request through the node at place i and checks that a 200 belongs to it.
func (m *world) send(ctx context.Context, c *http.Client, i int, q request) reply {
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
	a.foreign = a.status == http.StatusOK && (p.Header.Get(standin.HeaderID) != q.body || p.Header.Get(standin.HeaderSum) != standin.Sum([]byte(q.body)))
	return a
}

func eventually(t *testing.T, within time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", within, what)
		}
	}
}

// open sends a lookup with a large answer and leaves the answer unread.
func (m *world) open(c *http.Client, path, size string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.callers[entry].String()+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(standin.HeaderSize, size)
	return c.Do(r)
}

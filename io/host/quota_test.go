package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/quota"
	"godwitspindle/core/wire"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// quotaMesh is some nodes with quotas, three of them with coordinators, that talk over real connections.
type quotaMesh struct {
	table     atomic.Pointer[config.RoutingTable]
	leader    atomic.Int64 // index of the leading node, negative for none
	believed  atomic.Int64 // index of the node that others take for the leader; negative if they know the true one
	term      atomic.Uint64
	cut       []atomic.Bool // whether a node's coordinator answers nobody
	nodes     []*quotas
	addresses map[string]netip.AddrPort
}

const coordinators = 3

func newQuotaMesh(t *testing.T, nodes int, limit quota.Limit, log logr.Logger) *quotaMesh {
	t.Helper()
	m := &quotaMesh{addresses: map[string]netip.AddrPort{}, cut: make([]atomic.Bool, coordinators)}
	m.term.Store(1)
	m.believed.Store(-1)
	m.setLimit(t, limit)
	clients := peer.NewClients()
	t.Cleanup(clients.Close)
	for i := range nodes {
		m.nodes = append(m.nodes, m.newNode(t, i, nodes, clients, log))
	}
	for _, q := range m.nodes {
		q.update(m.table.Load())
		q.start()
		t.Cleanup(q.close)
	}
	return m
}

func (m *quotaMesh) newNode(t *testing.T, i, nodes int, clients *peer.Clients, log logr.Logger) *quotas {
	t.Helper()
	name := fmt.Sprint("n", i)
	p := quotaParts{
		name: name, table: m.table.Load, metrics: process.NewMetrics(), log: log,
		clients: func() *peer.Clients { return clients },
		leader: func() string {
			l := m.leader.Load()
			if b := m.believed.Load(); b >= 0 && i >= coordinators {
				l = b
			}
			if l >= 0 {
				return fmt.Sprint("n", l)
			}
			return ""
		},
		address: func(name string) (netip.AddrPort, bool) {
			a, ok := m.addresses[name]
			return a, ok
		},
		replicas: func() []netip.AddrPort {
			return []netip.AddrPort{m.addresses["n0"], m.addresses["n1"], m.addresses["n2"]}
		},
		local: quota.NewLocal(name, rand.Uint64(), quota.WithNodes(func() int { return nodes }), quota.WithRandom(rand.Float64)),
	}
	if i >= coordinators {
		return newQuotas(process.Quota{}, p)
	}
	p.standing = func() quota.Standing {
		return quota.Standing{Leads: m.leader.Load() == int64(i), Term: m.term.Load(), Leader: p.leader(), Nodes: nodes}
	}
	q := newQuotas(process.Quota{}, p)
	path, handler := peer.NewHandler(&peer.Server{OnQuota: q.handle})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Protocols: protocols, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.cut[i].Load() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	m.addresses[name] = l.Addr().(*net.TCPAddr).AddrPort()
	return q
}

// setLimit puts a version in force in which customer a has a quota.
func (m *quotaMesh) setLimit(t *testing.T, limit quota.Limit) {
	t.Helper()
	value, err := proto.Marshal(&wire.Customer{Name: "a", Rate: limit.Rate, Burst: limit.Burst})
	if err != nil {
		t.Fatal(err)
	}
	table, err := config.NewTable(config.NewSnapshot().With(1, []config.Entry{{Key: "customer/a", Value: value, Version: 1}}, nil))
	if err != nil {
		t.Fatal(err)
	}
	m.table.Store(table)
	for _, q := range m.nodes {
		q.update(table)
	}
}

// offer sends requests of customer a at random to the nodes until the time is over, and returns when each admitted one was admitted and
// the refusals.
func (m *quotaMesh) offer(t *testing.T, perSecond float64, length time.Duration) (runs []time.Time, refusals []*outcome.Failure) {
	t.Helper()
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for _, q := range m.nodes {
		wait.Go(func() {
			for {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(len(m.nodes)) / perSecond * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				wait.Go(func() {
					_, f := q.take(context.Background(), "a", false)
					mu.Lock()
					defer mu.Unlock()
					if f != nil {
						refusals = append(refusals, f)
						return
					}
					runs = append(runs, time.Now())
				})
			}
		})
	}
	wait.Wait()
	return runs, refusals
}

// Guards against a sum over all nodes beyond the quota, or below it while callers wait, and against refusals that are not as promised,
// over real connections and through the loss of the leader.
func TestQuotaOverNodes(t *testing.T) {
	limit := quota.Limit{Rate: 60, Burst: 20}
	m := newQuotaMesh(t, 8, limit, logr.Discard())
	length := 8 * time.Second
	time.AfterFunc(3*time.Second, func() {
		m.cut[0].Store(true)
		m.leader.Store(-1)
	})
	time.AfterFunc(4*time.Second, func() {
		m.term.Add(1)
		m.leader.Store(1)
	})
	runs, refusals := m.offer(t, 240, length)
	within := 0
	for i, first := range runs {
		n := 0
		for _, at := range runs[i:] {
			if at.Sub(first) < 5*time.Second {
				n++
			}
		}
		within = max(within, n)
	}
	if most := int((limit.Rate*5+limit.Burst)*1.1 + 20); within > most {
		t.Errorf("requests within 5 s: got %d, want at most %d", within, most)
	}
	// The second without a leader may cost a part of its quota, and the first begins with an empty bucket.
	if least := limit.Rate * (length.Seconds() - 2) * 0.95; float64(len(runs)) < least {
		t.Errorf("requests in %v: got %d, want at least %.0f", length, len(runs), least)
	}
	for _, f := range refusals {
		if f.Status != http.StatusTooManyRequests || f.Kind != outcome.NotRun || f.Code != outcome.Quota || f.RetryAfter <= 0 || f.RetryAfter > 5*time.Second {
			t.Fatalf("refusal: got %+v, want 429, not run, with a Retry-After of at most 5 s", f)
		}
	}
	t.Logf("%d admitted, %d in the worst 5 s, %d refused", len(runs), within, len(refusals))
}

// Guards against a request of a quiet customer that is refused, or waits for more than a round trip.
func TestQuotaOfQuietNode(t *testing.T) {
	m := newQuotaMesh(t, 6, quota.Limit{Rate: 2, Burst: 2}, logr.Discard())
	time.Sleep(1500 * time.Millisecond)
	for _, q := range m.nodes[4:] {
		begin := time.Now()
		if _, f := q.take(t.Context(), "a", false); f != nil || time.Since(begin) > quota.MaxWait {
			t.Errorf("%s: got %v after %v, want a token at once", q.name, f, time.Since(begin))
		}
	}
}

// Guards against nodes that do not find the leader: they take a replica for it that names another one, or one that does not answer.
func TestQuotaLeaderFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		believed int64
		silent   bool // the believed leader answers nobody
		within   time.Duration
	}{
		{"a replica names the leader", 2, false, quota.MaxWait},
		{"the believed leader is silent", 0, true, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newQuotaMesh(t, 5, quota.Limit{Rate: 50, Burst: 50}, logr.Discard())
			time.Sleep(500 * time.Millisecond)
			m.term.Add(1)
			m.leader.Store(1)
			m.believed.Store(c.believed)
			m.cut[c.believed].Store(c.silent)
			time.Sleep(500 * time.Millisecond) // the bucket of the new term fills
			begin, q := time.Now(), m.nodes[4]
			for q.local.Totals(time.Now()).Spent == 0 { // requests of the fallback spend no token
				_, _ = q.take(t.Context(), "a", false)
				if time.Since(begin) > c.within {
					t.Fatalf("got no token within %v", c.within)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// Guards against customers without a quota that are asked for or refused, and against a quota that is given back and not used again.
func TestQuotaGivenBack(t *testing.T) {
	m := newQuotaMesh(t, 3, quota.Limit{}, logr.Discard())
	q := m.nodes[0]
	for range 100 {
		if giveBack, f := q.take(t.Context(), "a", false); giveBack != nil || f != nil {
			t.Fatal("without a quota: got a token or a refusal, want neither")
		}
	}
	time.Sleep(500 * time.Millisecond)
	if got := q.local.Totals(time.Now()).Asks; got != 0 {
		t.Errorf("without a quota: got %d requests to the coordinator, want 0", got)
	}
	m.setLimit(t, quota.Limit{Rate: 0.5, Burst: 3})
	served, end := 0, time.Now().Add(20*time.Second)
	for served < 20 && time.Now().Before(end) {
		giveBack, f := q.take(t.Context(), "a", false)
		if f != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		giveBack()
		served++
	}
	if served < 20 {
		t.Errorf("requests that ended without having run: got %d admitted, want 20", served)
	}
}

// Guards against a log without bounds, or one whose lines do not explain a refusal.
func TestQuotaRefusalLog(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	log := funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, args)
	}, funcr.Options{})
	m := newQuotaMesh(t, 3, quota.Limit{Rate: 5, Burst: 1}, log)
	_, refusals := m.offer(t, 600, 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	if most := 3 * (refusalBurst + 3*int(refusalLines)); len(lines) == 0 || len(lines) > most || len(refusals) < 2*len(lines) {
		t.Fatalf("lines: got %d for %d refusals, want some and at most %d", len(lines), len(refusals), most)
	}
	for _, field := range []string{`"customer"="a"`, `"rate"=5`, `"tokens"=`, `"granted"=`, `"term"=`, `"after"=`, `"unlogged"=`} {
		if !strings.Contains(lines[len(lines)-1], field) {
			t.Errorf("line: got %s, want %s", lines[len(lines)-1], field)
		}
	}
}

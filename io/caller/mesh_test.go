package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
	"godwitspindle/io/standin"
)

// mesh is the node that serves the caller and, over real HTTP/2 connections, other nodes with one stand-in server each.
type mesh struct {
	handler  *Handler
	url      string
	servers  []*standin.Server
	backends []*backend.Backend
	service  config.Service
	claims   *claims
	sent     atomic.Int64 // attempts sent over HTTP/2
}

// claims is a claim store in memory. With unavailable, claims fail; with full, they are denied; with noRelease, releases fail.
type claims struct {
	mu                           sync.Mutex
	unavailable, full, noRelease bool
	owner                        map[string]Claim
	answer                       map[string]*Answer
	finished                     map[string]bool
	acquired, stored, released   int
}

type storeError struct{}

func (storeError) Error() string { return "no majority" }

func (s *claims) claim(_ context.Context, c Claim) (ClaimAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acquired++
	if s.unavailable {
		return ClaimAnswer{}, storeError{}
	}
	if s.full {
		return ClaimAnswer{State: Denied}, nil
	}
	current, ok := s.owner[c.Key]
	switch {
	case !ok:
		s.owner[c.Key] = c
		return ClaimAnswer{State: Granted}, nil
	case current.Fingerprint != c.Fingerprint:
		return ClaimAnswer{State: Conflict}, nil
	case s.finished[c.Key]:
		return ClaimAnswer{State: Done, Answer: s.answer[c.Key]}, nil
	case time.Now().After(current.Deadline):
		return ClaimAnswer{State: Unresolved}, nil
	}
	return ClaimAnswer{State: Running}, nil
}

func (s *claims) finish(_ context.Context, c Claim, a *Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored++
	s.answer[c.Key], s.finished[c.Key] = a, true
	return nil
}

func (s *claims) release(_ context.Context, c Claim) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noRelease {
		return storeError{}
	}
	s.released++
	delete(s.owner, c.Key)
	return nil
}

func newMesh(t testing.TB, nodes int, route config.Route, opts ...Option) *mesh {
	t.Helper()
	m := &mesh{claims: &claims{owner: map[string]Claim{}, answer: map[string]*Answer{}, finished: map[string]bool{}}}
	m.service = config.Service{Name: route.Service}
	client := hop.New()
	t.Cleanup(func() { _ = client.Close() })
	for i := range nodes {
		m.add(t, route.Service, fmt.Sprint("e", i))
	}
	all := append([]Option{
		WithMatch(func(_, path, _ string) (Match, *outcome.Failure) {
			if path == "/none" {
				return Match{}, nil
			}
			s := m.service
			s.Internal = strings.HasPrefix(path, "/internal")
			return Match{Route: &route, Service: &s}, nil
		}),
		WithPick(func(p PickRequest) (config.Endpoint, string, error) {
			if len(p.Tried) >= len(m.service.Endpoints) {
				return config.Endpoint{}, "", storeError{}
			}
			return m.service.Endpoints[len(p.Tried)], "next", nil
		}),
		WithSend(func(ctx context.Context, e config.Endpoint, meta hop.Meta, r *http.Request) (*http.Response, error) {
			m.sent.Add(1)
			return client.Call(ctx, e.Address, meta, r)
		}),
		// The policy always retries, so the handler itself must refuse what is never safe.
		WithDecide(func(a Attempt) Verdict {
			return Verdict{Retry: true, Repick: a.Failure.Kind == outcome.NotRun}
		}),
		WithClaim(m.claims.claim, m.claims.finish, m.claims.release),
	}, opts...)
	m.handler = New(all...)
	s := httptest.NewUnstartedServer(nil)
	s.Config = HTTPServer(m.handler)
	s.Start()
	t.Cleanup(s.Close)
	m.url = s.URL
	return m
}

func (m *mesh) add(t testing.TB, service, name string) {
	t.Helper()
	b := backend.New(backend.WithContext(func(h hop.Meta, d time.Time) string {
		return Context{Depth: h.Depth, Deadline: d, Budget: h.Budget}.String()
	}))
	api := httptest.NewServer(b.Handler())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := hop.HTTPServer(hop.NewServer(hop.WithDo(b.Do)))
	go func() { _ = peer.Serve(l) }()
	s, err := standin.New(standin.WithEndpoint(service, name), standin.WithNode(netip.MustParseAddrPort(api.Listener.Addr().String())))
	if err != nil {
		t.Fatal(err)
	}
	for len(b.Endpoints()) == 0 {
		time.Sleep(time.Millisecond)
	}
	t.Cleanup(func() {
		_ = s.Close()
		_ = peer.Close()
		api.Close()
		_ = b.Close()
	})
	m.servers, m.backends = append(m.servers, s), append(m.backends, b)
	m.service.Endpoints = append(m.service.Endpoints, config.Endpoint{Service: service, Name: name, Address: l.Addr().(*net.TCPAddr).AddrPort()})
}

func (m *mesh) served() (n uint64) {
	for _, s := range m.servers {
		n += s.Served()
	}
	return n
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // error of the request or of reading its answer
	tail   http.Header
}

func (m *mesh) do(method, path, body string, header ...string) reply {
	r, _ := http.NewRequest(method, m.url+path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	p, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return reply{p.StatusCode, p.Header, string(b), err, p.Trailer}
}

func testRoute(idempotent bool) config.Route {
	return config.Route{Name: "r", Service: "counter", Idempotent: idempotent, Deadline: 400 * time.Millisecond, Retries: 1, Priority: 5}
}

package process

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against two faults when a request arrives while a planned stop closes its connection: a request that is handled although
// the connection was closed runs without its caller learning of it, and a running one loses its answer.
func TestRequestCrossesClose(t *testing.T) {
	tests := []struct {
		name     string
		graceful bool
		states   []http.ConnState // states of the connection before the close
		passed   bool             // whether a request read after the close is handled
		closed   bool             // whether the connection closes at once
	}{
		{"idle", true, []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false, true},
		{"no request so far", true, []http.ConnState{http.StateNew}, false, true},
		{"request running", true, []http.ConnState{http.StateNew, http.StateActive}, true, false},
		{"request running, end of the grace time", false, []http.ConnState{http.StateNew, http.StateActive}, true, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			inner, far := net.Pipe()
			defer func() { _ = far.Close() }()
			released := 0
			l := &countingListener{}
			l.graceful.Store(c.graceful)
			conn := &countedConn{Conn: inner, listener: l, release: func() { released++ }}
			for _, s := range c.states {
				l.track(conn, s)
			}
			_ = conn.Close()
			if got := released > 0; got != c.closed {
				t.Errorf("closed at once: got %v, want %v", got, c.closed)
			}
			l.track(conn, http.StateActive)
			passed := false
			func() {
				defer func() { _ = recover() }() // net/http takes the panic as the end of the connection
				r := httptest.NewRequest(http.MethodGet, "/", nil)
				r = r.WithContext(context.WithValue(r.Context(), connKey{}, conn))
				dropAbandoned(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true })).ServeHTTP(httptest.NewRecorder(), r)
			}()
			if passed != c.passed {
				t.Errorf("request passed on: got %v, want %v", passed, c.passed)
			}
			l.track(conn, http.StateIdle)
			if released == 0 {
				t.Error("after the request: got an open connection, want it closed")
			}
		})
	}
}

// Guards, under load, against a request on a keep-alive connection that reaches the handler before or during a planned stop and
// gets no answer.
func TestShutdownOfKeptConnections(t *testing.T) {
	for range 20 {
		var mu sync.Mutex
		handled := map[string]bool{}
		s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id, _ := io.ReadAll(r.Body)
			mu.Lock()
			handled[string(id)] = true
			mu.Unlock()
			_, _ = w.Write(id)
		}))
		if err != nil {
			t.Fatal(err)
		}
		var wait sync.WaitGroup
		for n := range 16 {
			wait.Go(func() {
				c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
				for i := 0; ; i++ {
					id := strings.Repeat("x", n+1) + strings.Repeat("y", i%50) + time.Now().String()
					p, err := c.Post("http://"+s.Address().String(), "text/plain", io.MultiReader(strings.NewReader(id)))
					if err == nil {
						_, err = io.ReadAll(p.Body)
						_ = p.Body.Close()
					}
					if err == nil {
						continue
					}
					mu.Lock()
					if handled[id] {
						t.Errorf("request that reached the handler: got %v, want an answer", err)
					}
					mu.Unlock()
					return
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		if err := s.Shutdown(context.Background(), time.Time{}); err != nil {
			t.Errorf("shutdown: got %v, want none", err)
		}
		wait.Wait()
	}
}

// Guards against a request whose head ends just when no further one is read, and which is handled without an answer or gets an answer
// although it is not handled.
func TestHeadCrossesLastRead(t *testing.T) {
	const clients, spread = 64, 10 * time.Millisecond
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 2))
		h := newGatedHandler()
		s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), h)
		if err != nil {
			t.Fatal(err)
		}
		lastRead := time.Now().Add(150 * time.Millisecond)
		var wait sync.WaitGroup
		for n := range clients {
			path, conn := fmt.Sprintf("/%d", n), dial(t, s)
			text := getRequests(path)
			cut, late := 1+random.IntN(len(text)-1), time.Duration(random.Int64N(int64(2*spread)))-spread
			_, _ = io.WriteString(conn, text[:cut])
			wait.Go(func() {
				time.Sleep(time.Until(lastRead.Add(late)))
				_, _ = io.WriteString(conn, text[cut:])
				got, want := readAnswers(conn, 2), "end"
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.started[path] > 0 {
					want = path + "(close) end"
				}
				if got != want {
					t.Errorf("seed %d, cut at %d, %v after the last read: got %q, want %q", seed, cut, late, got, want)
				}
				_ = conn.Close()
			})
		}
		time.Sleep(20 * time.Millisecond) // so that the server has read the parts
		if err := s.Shutdown(t.Context(), lastRead); err != nil {
			t.Errorf("seed %d: got %v, want none", seed, err)
		}
		wait.Wait()
		if len(h.started) == 0 || len(h.started) == clients {
			t.Logf("seed %d: %d of %d requests were handled", seed, len(h.started), clients)
		}
	}
}

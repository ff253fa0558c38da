package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitspindle/core/outcome"
	"godwitspindle/core/quarantine"
	"godwitspindle/core/wire"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
)

// crashWindow is how long a call with a broken connection still counts as running, until it is known whether a crash broke it.
const crashWindow = 10 * time.Second

// guard refuses quarantined requests at one endpoint and runs suspect requests one at a time.
type guard struct {
	mu    sync.Mutex
	state *quarantine.EndpointState
}

func newGuard(endpoint string, view quarantine.View) *guard {
	g := &guard{state: quarantine.NewEndpointState(endpoint)}
	g.state.Update(view)
	return g
}

func (g *guard) update(view quarantine.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Update(view)
}

func (g *guard) enter(m hop.Meta) *outcome.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.state.Start(m.Call, m.Fingerprint[:], time.Now()) {
	case quarantine.Quarantined:
		return &outcome.Failure{
			Code: outcome.Quarantined, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: m.Call,
			Detail: "this request was running when backend servers crashed; it is refused for 10 minutes",
		}
	case quarantine.Wait:
		return &outcome.Failure{
			Code: outcome.Overload, Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Call: m.Call,
			Detail: "another request that may crash the backend server is running", RetryAfter: time.Second,
		}
	case quarantine.Run:
	}
	return nil
}

// leave ends a call and returns the marks to commit. A call with a broken connection is kept for crashWindow, because a crash
// may be the cause; any other call without an answer is dropped without marks.
func (g *guard) leave(call string, r backend.Result) []*wire.Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Broken {
		time.AfterFunc(crashWindow, func() { g.drop(call) })
		return nil
	}
	if r.Status == 0 {
		g.state.Drop(call)
		return nil
	}
	return g.state.Done(call, time.Now())
}

func (g *guard) drop(call string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Drop(call)
}

func (g *guard) crash(c backend.Crash) []*wire.Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	fingerprints := make([][]byte, 0, len(c.Fingerprints))
	for _, f := range c.Fingerprints {
		fingerprints = append(fingerprints, f[:])
	}
	return g.state.Crash(c.Incarnation, c.At, fingerprints...)
}

// marker commits marks in the background so that calls do not wait for them.
type marker struct {
	propose func(ctx context.Context, c *wire.Command) (*wire.Result, error)
	queue   chan []*wire.Mark
	stop    context.CancelFunc
	wait    sync.WaitGroup
}

const (
	markQueue   = 256 // capacity of the queue, in lists of marks
	markTimeout = 10 * time.Second
)

func newMarker(propose func(ctx context.Context, c *wire.Command) (*wire.Result, error)) *marker {
	ctx, stop := context.WithCancel(context.Background())
	m := &marker{propose: propose, queue: make(chan []*wire.Mark, markQueue), stop: stop}
	m.wait.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case marks := <-m.queue:
				m.commit(ctx, marks)
			}
		}
	})
	return m
}

// commit proposes the given marks together with all queued ones.
func (m *marker) commit(ctx context.Context, marks []*wire.Mark) {
	for range len(m.queue) {
		marks = append(marks, <-m.queue...)
	}
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	_, _ = m.propose(ctx, &wire.Command{Body: &wire.Command_Marks{Marks: &wire.Marks{Marks: marks}}})
}

// add queues marks. If the queue is full, it drops them: a crash is then marked again only if it recurs, and the mark of a
// completed call is lost.
func (m *marker) add(marks []*wire.Mark) {
	if len(marks) == 0 {
		return
	}
	select {
	case m.queue <- marks:
	default:
	}
}

func (m *marker) close() {
	m.stop()
	m.wait.Wait()
}

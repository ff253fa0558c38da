package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/hop"
)

// Times of the planned stop in these tests, in milliseconds. All other times count from its beginning.
const (
	stopBegins = 2000 // after the start of the test
	noticeEnd  = 2500
	lastRead   = 5400
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// fakeCaller is the connection of a caller without a network: the writer of the answer and a body that arrives in time.
type fakeCaller struct {
	*httptest.ResponseRecorder
	begin  time.Time // beginning of the stop
	pieces []piece   // parts of the body that have not been read

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when deadline changes
}

// piece is a part of a body and its arrival in milliseconds.
type piece struct{ at, bytes int }

func (f *fakeCaller) SetWriteDeadline(time.Time) error { return nil }

func (f *fakeCaller) SetReadDeadline(t time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline = t
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// Read waits for the next part of the body or for the read deadline.
func (f *fakeCaller) Read(p []byte) (int, error) {
	if len(f.pieces) == 0 {
		return 0, io.EOF
	}
	for {
		f.mu.Lock()
		deadline, changed := f.deadline, f.changed
		f.mu.Unlock()
		late := time.NewTimer(time.Until(deadline))
		arrival := time.NewTimer(time.Until(f.begin.Add(ms(f.pieces[0].at))))
		select {
		case <-changed:
		case <-late.C:
			return 0, os.ErrDeadlineExceeded
		case <-arrival.C:
			n := min(len(p), f.pieces[0].bytes)
			f.pieces[0].bytes -= n
			if f.pieces[0].bytes == 0 {
				f.pieces = f.pieces[1:]
			}
			return n, nil
		}
	}
}

func (f *fakeCaller) Close() error { return nil }

// try is what happens to one attempt: it takes a time and ends with an answer, or with a failure of the given kind.
type try struct {
	took int
	kind outcome.Kind
	wait int // wait of the retry policy after the failure
}

// stopCase is a request around a planned stop whose notice ends after 2.5 s and which ends after 5.5 s.
type stopCase struct {
	name     string
	arrives  int
	deadline int // after the arrival
	latency  int // latency objective of the route
	unsafe   bool
	body     []piece
	tries    []try
	key      string
	claim    int        // time that a claim takes
	deaf     bool       // a claim goes on after the end of its context
	state    ClaimState // state of each claim; 0 for Granted
	context  int        // deadline of the request that a backend server makes a call for; 0 for a caller's request

	status   int
	code     outcome.Code
	kind     outcome.Kind
	answered int
	attempts int
}

// stopRun is the state of the fakes of one stopCase.
type stopRun struct {
	stopCase
	begin    time.Time
	stop     *shutdown.Stop
	attempts int
	released int
	handler  *Handler
}

func (r *stopRun) send(ctx context.Context, _ config.Endpoint, m hop.Meta, q *http.Request) (*http.Response, error) {
	t := r.tries[min(r.attempts, len(r.tries)-1)]
	r.attempts++
	if q.Body != nil {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return nil, &outcome.Failure{Code: outcome.Reset, Kind: outcome.Unknown, Status: 502, Call: m.Call, Err: err}
		}
	}
	if !sleepContext(ctx, ms(t.took)) {
		return nil, &outcome.Failure{Code: outcome.DeadlineExceeded, Kind: outcome.Unknown, Status: 504, Call: m.Call}
	}
	if t.kind != outcome.None {
		return nil, &outcome.Failure{Code: outcome.Reset, Kind: t.kind, Status: 503, Call: m.Call}
	}
	return &http.Response{StatusCode: 200, Header: http.Header{}, Body: http.NoBody, ProtoMajor: 1, ProtoMinor: 1}, nil
}

func (r *stopRun) claimKey(ctx context.Context, _ Claim) (ClaimAnswer, error) {
	if r.deaf {
		ctx = context.Background()
	}
	if !sleepContext(ctx, ms(r.claim)) {
		return ClaimAnswer{}, ctx.Err()
	}
	return ClaimAnswer{State: max(r.state, Granted)}, nil
}

func (r *stopRun) start() {
	if len(r.tries) == 0 {
		r.tries = []try{{took: 100}} // only of a request that is wrongly sent
	}
	r.stop = shutdown.New(shutdown.WithNotice(ms(noticeEnd)), shutdown.WithGrace(3*time.Second))
	route := &config.Route{
		Name: "r", Service: "counter", Idempotent: !r.unsafe, Deadline: ms(r.deadline), Latency: ms(r.latency), Retries: 3, Attempts: 4,
	}
	r.handler = New(
		WithLocalCalls(r.context != 0),
		WithMatch(func(string, string, string) (Match, *outcome.Failure) {
			return Match{Route: route, Service: &config.Service{Name: "counter"}}, nil
		}),
		WithPick(func(PickRequest) (config.Endpoint, string, error) { return config.Endpoint{Name: "e"}, "", nil }),
		WithSend(r.send),
		WithDecide(func(Attempt) Verdict {
			return Verdict{Retry: true, Repick: true, Wait: ms(r.tries[min(r.attempts, len(r.tries))-1].wait)}
		}),
		WithClaim(r.claimKey, func(context.Context, Claim, *Answer) error { return nil }, func(context.Context, Claim) error {
			r.released++
			return nil
		}),
		WithStop(r.stop.Decide),
	)
}

// request serves the request at its time and returns its answer.
func (r *stopRun) request() *fakeCaller {
	w := &fakeCaller{ResponseRecorder: httptest.NewRecorder(), begin: r.begin, pieces: r.body, changed: make(chan struct{})}
	q := httptest.NewRequest("POST", "http://counter.example/x", nil)
	if len(r.body) > 0 {
		q.Body, q.ContentLength = w, -1
	}
	if r.key != "" {
		q.Header.Set("Idempotency-Key", r.key)
	}
	if r.context != 0 {
		q.Header.Set(HeaderContext, Context{Depth: 1, Deadline: r.begin.Add(ms(r.context)), Budget: 3}.String())
	}
	time.Sleep(time.Until(r.begin.Add(ms(r.arrives))))
	r.handler.ServeHTTP(w, q)
	return w
}

// play plays the request and the stop and checks the outcome.
func (r *stopRun) play(t *testing.T) {
	r.begin = time.Now().Add(ms(stopBegins))
	r.start()
	go func() {
		time.Sleep(ms(stopBegins))
		r.stop.Begin(time.Now())
		r.handler.StopBegun()
	}()
	w := r.request()
	at := int(time.Since(r.begin).Milliseconds())
	code, kind := outcome.Code(w.Header().Get(outcome.HeaderCode)), outcome.Kind(w.Header().Get(outcome.HeaderOutcome))
	if w.Code != r.status || code != r.code || kind != r.kind || at != r.answered || r.attempts != r.stopCase.attempts {
		t.Errorf("got status %d, code %q, outcome %q at %d ms after %d attempts, want %d, %q, %q at %d ms after %d",
			w.Code, code, kind, at, r.attempts, r.status, r.code, r.kind, r.answered, r.stopCase.attempts)
	}
	if after := w.Header().Get(outcome.HeaderAfter); code == outcome.Draining && kind == outcome.NotRun && after == "" {
		t.Error("got a refusal without the time after which to retry")
	}
	_ = r.handler.Close()
	if granted := r.key != "" && r.stopCase.attempts > 0; granted && r.released > 0 || r.key != "" && !granted && r.state == 0 && r.released == 0 {
		t.Errorf("got %d released claims after %d attempts", r.released, r.attempts)
	}
}

// Guards against a request that is taken and cut at the end of a planned stop, in each state in which it can wait, against a false
// statement that it has not run, and against a running request that the stop shortens.
func TestStop(t *testing.T) {
	ok, notRun, unknown := []try{{took: 100}}, try{100, outcome.NotRun, 0}, try{100, outcome.Unknown, 0}
	small, prefix := 100, hop.MaxFingerprintBytes+1
	tests := []stopCase{
		{name: "head in time", arrives: 2400, deadline: 8000, tries: ok, status: 200, answered: 2500, attempts: 1},
		{name: "head late", arrives: 3000, deadline: 8000, status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: 3000},
		{name: "head late, deadline fits", arrives: 3000, deadline: 2000, tries: ok, status: 200, answered: 3100, attempts: 1},
		{name: "head after the last read", arrives: lastRead, deadline: 1, status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: lastRead},
		{name: "expected time too long", arrives: 1000, deadline: 8000, latency: 4500, status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: 1000},
		{
			name: "body late", arrives: 1550, deadline: 8000, body: []piece{{5400, small}},
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: noticeEnd,
		},
		{
			name: "body late, begun before the stop", arrives: -1500, deadline: 8000, body: []piece{{-1000, small}, {4000, small}},
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: noticeEnd,
		},
		{name: "body whole at the end of the notice", arrives: 1000, deadline: 8000, body: []piece{{noticeEnd - 1, small}}, tries: []try{{took: 2900}}, status: 200, answered: 5399, attempts: 1},
		{name: "body late, deadline fits", arrives: 1000, deadline: 3000, body: []piece{{3500, small}}, tries: ok, status: 200, answered: 3600, attempts: 1},
		{name: "body late, deadline first", arrives: -1000, deadline: 3000, body: []piece{{3500, small}}, status: 408, code: outcome.DeadlineExceeded, kind: outcome.NotRun, answered: 2000},
		{
			name: "rest of a large body late", arrives: 1000, deadline: 8000, body: []piece{{1100, prefix}, {4000, small}}, tries: ok,
			status: 502, code: outcome.Draining, kind: outcome.Unknown, answered: noticeEnd, attempts: 1,
		},
		{name: "rest of a large body in time", arrives: 1000, deadline: 8000, body: []piece{{1100, prefix}, {2400, small}}, tries: []try{{took: 2900}}, status: 200, answered: 5300, attempts: 1},
		{name: "running", arrives: 2000, deadline: 8000, tries: []try{{took: 3400}}, status: 200, answered: lastRead, attempts: 1},
		{name: "running, begun before the stop", arrives: -1000, deadline: 8000, tries: []try{{took: 6400}}, status: 200, answered: lastRead, attempts: 1},
		{
			name: "attempt after a wait", arrives: 1000, deadline: 8000, tries: []try{{200, outcome.NotRun, 2000}, {took: 100}},
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: 1200, attempts: 1,
		},
		{
			name: "stop begins during the wait before an attempt", arrives: -500, deadline: 8000, tries: []try{{100, outcome.NotRun, 4000}, {took: 100}},
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: noticeEnd, attempts: 1,
		},
		{
			name: "second endpoint after the notice", arrives: 2450, deadline: 8000, tries: []try{notRun, {took: 100}},
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: 2550, attempts: 1,
		},
		{name: "second endpoint after the notice, deadline fits", arrives: 2450, deadline: 2500, tries: []try{notRun, {took: 100}}, status: 200, answered: 2650, attempts: 2},
		{
			name: "may have run", arrives: 2450, deadline: 8000, tries: []try{unknown, {took: 100}},
			status: 503, code: outcome.Reset, kind: outcome.Unknown, answered: 2550, attempts: 1,
		},
		{
			name: "first attempt may have run", arrives: 2350, deadline: 8000, tries: []try{unknown, notRun, {took: 100}},
			status: 503, code: outcome.Draining, kind: outcome.Unknown, answered: 2550, attempts: 2,
		},
		{
			name: "claim late", arrives: 2400, deadline: 8000, unsafe: true, key: "k", claim: 800,
			status: 503, code: outcome.Draining, kind: outcome.Unknown, answered: noticeEnd,
		},
		{
			name: "claim granted late", arrives: 2400, deadline: 8000, unsafe: true, key: "k", claim: 800, deaf: true,
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: 3200,
		},
		{
			name: "other request with the key", arrives: 1000, deadline: 8000, unsafe: true, key: "k", claim: 1, state: Running,
			status: 503, code: outcome.Draining, kind: outcome.Unknown, answered: noticeEnd,
		},
		{name: "claim in time", arrives: 2300, deadline: 8000, unsafe: true, key: "k", claim: 100, tries: ok, status: 200, answered: 2500, attempts: 1},
		{
			name: "nested call late", arrives: 3000, deadline: 8000, context: 8000,
			status: 503, code: outcome.Draining, kind: outcome.NotRun, answered: 3000,
		},
		{name: "nested call late, deadline of its request fits", arrives: 3000, deadline: 8000, context: 4500, tries: ok, status: 200, answered: 3100, attempts: 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { (&stopRun{stopCase: c}).play(t) })
		})
	}
}

// Guards against a read deadline that the stop has set and that would end the request once its body is complete, since net/http
// takes a passed read deadline for the end of the caller.
func TestStopRestoresReadDeadline(t *testing.T) {
	for name, body := range map[string][]piece{
		"small": {{2400, 100}},
		"large": {{1100, hop.MaxFingerprintBytes + 1}, {2400, 100}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &stopRun{stopCase: stopCase{arrives: 1000, deadline: 8000, body: body, tries: []try{{took: 2900}}}, begin: time.Now().Add(ms(stopBegins))}
				r.start()
				go func() {
					time.Sleep(ms(stopBegins))
					r.stop.Begin(time.Now())
					r.handler.StopBegun()
				}()
				w := r.request()
				if got, want := w.deadline.Sub(r.begin), ms(9000)+writeMargin; got != want {
					t.Errorf("got read deadline %v, want one after that of the request, %v", got, want)
				}
			})
		})
	}
}

// Guards against an answer that the stop breaks off because the rest of a long body comes after the notice: the endpoint has begun to
// answer before it. The error of the body ends the answer, as on the connections to nodes and backend servers.
func TestStopKeepsEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := []piece{{1100, hop.MaxFingerprintBytes + 1}, {4000, 100}}
		r := &stopRun{stopCase: stopCase{arrives: 1000, deadline: 8000, body: body}, begin: time.Now().Add(ms(stopBegins))}
		r.start()
		r.handler.send = func(_ context.Context, _ config.Endpoint, _ hop.Meta, q *http.Request) (*http.Response, error) {
			answer, end := io.Pipe()
			go func() {
				_, err := io.Copy(io.Discard, q.Body)
				if err == nil {
					_, err = io.WriteString(end, "answer")
				}
				_ = end.CloseWithError(err)
			}()
			return &http.Response{StatusCode: 200, Header: http.Header{}, Body: answer, ContentLength: -1, ProtoMajor: 1, ProtoMinor: 1}, nil
		}
		go func() {
			time.Sleep(ms(stopBegins))
			r.stop.Begin(time.Now())
			r.handler.StopBegun()
		}()
		defer func() {
			if broken := recover(); broken != nil {
				t.Errorf("%v after the beginning of the stop: got a broken answer (%v), want a whole one at 4s", time.Since(r.begin), broken)
			}
		}()
		if w := r.request(); w.Code != 200 || w.Body.String() != "answer" {
			t.Errorf("got status %d and %q, want 200 and the answer", w.Code, w.Body.String())
		}
	})
}

// Guards against a refused caller that holds its connection until the end of the stop by sending its body slowly.
func TestStopLimitsDiscard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &stopRun{stopCase: stopCase{arrives: 5200, deadline: 8000, body: []piece{{9000, 100}}}, begin: time.Now().Add(ms(stopBegins))}
		r.start()
		time.Sleep(ms(stopBegins))
		r.stop.Begin(time.Now())
		w := r.request()
		if got, want := w.deadline.Sub(r.begin), 5500*time.Millisecond-answerReserve; got != want {
			t.Errorf("got read deadline %v, want %v", got, want)
		}
	})
}

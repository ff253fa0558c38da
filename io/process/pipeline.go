package process

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	maxEarlyRequests = 8        // requests of one connection that are started before their turn
	maxWithheldBytes = 32 << 10 // bytes of one connection's requests that wait for their turn
	watchBufferBytes = 4 << 10  // size of the read buffer while a request is running

	readPoll = 20 * time.Microsecond // time between two looks whether an interrupted read has ended
)

// pipeline reads the requests of one HTTP/1.1 connection and passes them to net/http one at a time. Requests that a client
// sends before the answer to an earlier one are withheld; those before the first that may not be repeated start early, at
// most maxEarlyRequests, but their answers wait for their turn. If the client disconnects, all its requests are canceled,
// even while some wait.
type pipeline struct {
	conn    *countedConn
	start   func(*earlyRequest)        // serves one request before its turn
	allowed func(r *http.Request) bool // reports whether a request may start before its turn
	context context.Context
	cancel  context.CancelFunc

	mu         sync.Mutex
	atBoundary bool            // only whole requests were passed to net/http, so the next byte begins a new one
	partial    []byte          // start of a head, already passed to net/http
	body       *bodyScanner    // follows the body of the request that is being passed to net/http; nil without one
	pending    []byte          // remaining bytes of the request that is being passed to net/http
	withheld   []byte          // bytes received after those of pending
	started    int             // bytes of withheld whose requests are in the queue
	queue      []*earlyRequest // requests started before their turn, in order
	turns      []*earlyRequest // requests passed to net/http whose handler has not begun, in order; nil for one not started early
	blocked    bool            // the request behind the queue must wait for its turn
	serial     bool            // no request behind the one that is being passed to net/http may start early
	reading    bool            // watch reads from the connection
	closing    bool            // the answer to the last request that was read closes the connection, and no further one is read
	ended      bool            // the connection has ended
}

func newPipeline(ctx context.Context, c *countedConn, start func(*earlyRequest), allowed func(*http.Request) bool) *pipeline {
	l := &pipeline{conn: c, start: start, allowed: allowed, atBoundary: true}
	l.context, l.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
	return l
}

// Read returns bytes of one request to net/http. While the handler of a whole request runs, net/http reads a single byte, only
// to notice the end of the connection.
func (l *pipeline) Read(p []byte) (int, error) {
	l.mu.Lock()
	if len(l.pending) > 0 || len(l.withheld) > 0 && len(p) > 1 {
		defer l.mu.Unlock()
		return l.deliver(p), nil
	}
	atBoundary := l.atBoundary
	l.mu.Unlock()
	if atBoundary && len(p) == 1 {
		return l.watch(p)
	}
	for {
		n, err := l.conn.receiveOnce(p[:l.readSize(len(p))])
		if n > 0 {
			return l.splitFirst(p[:n]), err
		}
		if !errors.Is(err, errInterrupted) {
			return 0, err
		}
	}
}

// readSize returns how many of at most size bytes may be read at once: once no further request is read, only the rest of a body.
func (l *pipeline) readSize(size int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.body == nil || !l.conn.listener.readOver.Load() {
		return size
	}
	return int(min(int64(size), l.body.certain()))
}

// watch withholds what the client sends while a request is running. It returns when the connection ends, when the buffer is
// full, when net/http stops the read, or, once no further request is read, with the next byte.
func (l *pipeline) watch(p []byte) (int, error) {
	for buffer := p; ; { // most clients send nothing
		last := l.beginRead()
		if last {
			buffer = p
		}
		n, err := l.conn.receiveOnce(buffer)
		if room := l.withhold(buffer[:n]); n > 0 && (last || !room) {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.deliver(p), nil // read no more until net/http takes a request
		}
		if errors.Is(err, errInterrupted) {
			continue
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				l.abort()
			}
			return 0, err
		}
		if len(buffer) == len(p) {
			buffer = make([]byte, watchBufferBytes)
		}
	}
}

// beginRead reports whether no further request is read. If one may be, it begins a read that setConnectionClose waits for.
func (l *pipeline) beginRead() (last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last = l.closing || l.conn.listener.readOver.Load()
	l.reading = !last
	return last
}

// withhold ends a read of watch, appends its data to the withheld bytes and reports whether there is room for more.
func (l *pipeline) withhold(data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withheld = append(l.withheld, data...)
	l.startEarly()
	l.reading = false
	return len(l.withheld) < maxWithheldBytes
}

// splitFirst withholds everything behind the first request in data and returns how many bytes of data belong to that request,
// which may have begun before.
func (l *pipeline) splitFirst(data []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.follow(data)
	if end < len(data) {
		l.withheld = bytes.Clone(data[end:])
		l.startEarly()
	}
	return end
}

// follow returns how many bytes of data belong to the request that is being passed to net/http. The caller holds the mutex.
func (l *pipeline) follow(data []byte) int {
	head := 0
	if l.body == nil {
		passed := len(l.partial)
		whole := data
		if passed > 0 {
			whole = append(l.partial, data...)
		}
		end := headLength(whole)
		if end < 0 {
			l.partial, l.atBoundary = bytes.Clone(whole), false
			return len(data)
		}
		l.partial, l.body, head = nil, newBodyScanner(whole[:end]), end-passed
		l.serial = simpleRequestLength(whole[:end]) < 0
		l.turns = append(l.turns, nil)
	}
	n, done := l.body.scan(data[head:])
	l.atBoundary = done
	if done {
		l.body = nil
	}
	return head + n
}

// bodyRest returns how many bytes of data belong to the body of the request that was passed to net/http last.
func (l *pipeline) bodyRest(data []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.body == nil || l.body.part == bodyOpaque {
		return 0
	}
	n, done := l.body.scan(data)
	if done {
		l.body = nil
	}
	return n
}

// begun reports whether a part of a request that net/http has not begun to serve was read.
func (l *pipeline) begun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.atBoundary || len(l.pending) > 0 || len(l.withheld) > 0
}

// deliver copies withheld bytes of one request to p. The caller holds the mutex.
func (l *pipeline) deliver(p []byte) int {
	if len(l.pending) == 0 {
		l.advance()
	}
	n := copy(p, l.pending)
	l.pending = l.pending[n:]
	return n
}

// advance makes the first withheld request the pending one.
func (l *pipeline) advance() {
	early := len(l.queue) > 0
	length := l.follow(l.withheld)
	if early {
		l.turns[len(l.turns)-1], l.queue = l.queue[0], l.queue[1:]
		l.started -= length
	}
	l.pending, l.withheld = l.withheld[:length], l.withheld[length:]
	if len(l.queue) == 0 && l.started == 0 {
		l.blocked = false
	}
	l.startEarly()
}

// startEarly starts the withheld requests that may run before their turn. The caller holds the mutex.
func (l *pipeline) startEarly() {
	for l.allowed != nil && !l.serial && !l.blocked && !l.closing && !l.ended && len(l.queue) < maxEarlyRequests && !l.conn.listener.stopping.Load() {
		head := l.withheld[l.started:]
		end := simpleRequestLength(head)
		if end < 0 {
			l.blocked = bytes.Contains(head, headEnd)
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head[:end])))
		if err != nil || !l.allowed(r) {
			l.blocked = true
			return
		}
		r.RemoteAddr = l.conn.RemoteAddr().String()
		e := newEarlyRequest(r.WithContext(l.context), end, l)
		l.started += end
		l.queue = append(l.queue, e)
		l.conn.listener.early.Add(1)
		l.start(e)
	}
}

// takeTurn returns the early request that net/http now serves, or nil if the request was not started early. Bytes of the next request
// may have been passed on before the handler of this one begins, so each handler takes the first turn that is left.
func (l *pipeline) takeTurn() *earlyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.turns) == 0 {
		return nil // the connection has ended
	}
	e := l.turns[0]
	l.turns = l.turns[1:]
	return e
}

// setConnectionClose decides whether an answer closes the connection. Only the answer to the last request that was read may, because
// the requests behind an earlier one would get no answer. Once an answer is to close it, no further request is read.
func (l *pipeline) setConnectionClose(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = l.closing || strings.EqualFold(h.Get("Connection"), "close") || l.conn.listener.graceful.Load()
	if !l.closing {
		return
	}
	for l.reading { // a request that watch reads now is one that was read
		l.mu.Unlock()
		l.conn.interrupt()
		time.Sleep(readPoll)
		l.mu.Lock()
	}
	h.Del("Connection")
	if len(l.queue) == 0 && (len(l.turns) == 0 || !l.atBoundary) && wholeLength(l.withheld) < 0 {
		h.Set("Connection", "close")
	}
}

// abort cancels all waiting requests, because their client can no longer be answered.
func (l *pipeline) abort() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, e := range append(l.turns, l.queue...) {
		if e != nil {
			e.release()
		}
	}
	l.queue, l.turns, l.pending, l.withheld, l.partial, l.started = nil, nil, nil, nil, nil, 0
}

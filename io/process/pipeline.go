package process

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
)

const (
	maxEarlyRequests = 8        // requests of one connection that are started before their turn
	maxWithheldBytes = 32 << 10 // bytes of one connection's requests that wait for their turn
	watchBufferBytes = 4 << 10  // size of the read buffer while a request is running
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
	partial    []byte          // start of a request, already passed to net/http
	pending    []byte          // remaining bytes of the request that is being passed to net/http
	withheld   []byte          // bytes received after those of pending
	started    int             // bytes of withheld whose requests are in the queue
	queue      []*earlyRequest // requests started before their turn, in order
	current    *earlyRequest   // early request whose bytes are passed to net/http, until the handler takes the request
	blocked    bool            // the request behind the queue must wait for its turn
	closing    bool            // the answer to the last request in the queue closes the connection
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
	n, err := l.conn.Conn.Read(p)
	if n > 0 && (atBoundary || len(l.partial) > 0) {
		n = l.splitFirst(p[:n])
	}
	return n, err
}

// watch withholds what the client sends while a request is running. It returns when the connection ends, when the buffer is
// full or when net/http stops the read.
func (l *pipeline) watch(p []byte) (int, error) {
	buffer := p // most clients send nothing
	n, err := l.conn.Conn.Read(buffer)
	for {
		if n > 0 && !l.withhold(buffer[:n]) {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.deliver(p), nil // the buffer is full: read no more until net/http takes a request
		}
		if err != nil {
			break
		}
		if len(buffer) == len(p) {
			buffer = make([]byte, watchBufferBytes)
		}
		n, err = l.conn.Conn.Read(buffer)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		l.abort()
	}
	return 0, err
}

// withhold appends data to the withheld bytes and reports whether there is room for more.
func (l *pipeline) withhold(data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withheld = append(l.withheld, data...)
	l.startEarly()
	return len(l.withheld) < maxWithheldBytes
}

// splitFirst withholds everything behind the first request in data and returns how many bytes of data belong to that request,
// which may have begun in partial.
func (l *pipeline) splitFirst(data []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	begin := len(l.partial)
	if begin > 0 {
		data = append(l.partial, data...)
	}
	l.partial = nil
	end := simpleRequestLength(data)
	l.atBoundary = end > 0
	switch {
	case end > begin:
		l.withheld = bytes.Clone(data[end:])
		l.startEarly()
		return end - begin
	case !bytes.Contains(data, headEnd) && len(data) < maxWithheldBytes:
		l.partial = bytes.Clone(data)
	}
	return len(data) - begin
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

// advance makes the first withheld request the pending one. Bytes that are not a simple request are passed on unchanged.
func (l *pipeline) advance() {
	length := simpleRequestLength(l.withheld)
	l.atBoundary = length > 0
	if len(l.queue) > 0 {
		l.current, l.queue = l.queue[0], l.queue[1:]
		length = l.current.length
		l.started -= length
	} else if length < 0 {
		length = len(l.withheld)
		if !bytes.Contains(l.withheld, headEnd) && length < maxWithheldBytes {
			l.partial = bytes.Clone(l.withheld)
		}
	}
	l.pending, l.withheld = l.withheld[:length], l.withheld[length:]
	if len(l.queue) == 0 && l.started == 0 {
		l.blocked = false
	}
	l.startEarly()
}

// startEarly starts the withheld requests that may run before their turn. The caller holds the mutex.
func (l *pipeline) startEarly() {
	for !l.blocked && !l.closing && !l.ended && len(l.queue) < maxEarlyRequests && !l.conn.listener.stopping.Load() {
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

// takeCurrent returns the early request that net/http now serves, or nil if the request was not started early.
func (l *pipeline) takeCurrent() *earlyRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.current
	l.current = nil
	return e
}

// setConnectionClose decides whether an answer closes the connection. Only the answer to the last running request may, because
// the requests behind an earlier one would get no answer.
func (l *pipeline) setConnectionClose(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = l.closing || strings.EqualFold(h.Get("Connection"), "close")
	if !l.closing {
		return
	}
	h.Del("Connection")
	if len(l.queue) == 0 && l.current == nil {
		h.Set("Connection", "close")
	}
}

// abort cancels all waiting requests, because their client can no longer be answered.
func (l *pipeline) abort() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.current != nil {
		l.current.release()
	}
	for _, e := range l.queue {
		e.release()
	}
	l.queue, l.current, l.pending, l.withheld, l.partial, l.started = nil, nil, nil, nil, nil, 0
}

var headEnd = []byte("\r\n\r\n")

// nonSimpleHeaders are the headers of requests that have a body or change the connection.
var nonSimpleHeaders = []string{"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "TE"}

// simpleRequestLength returns the length of the request at the start of data if it is complete and simple: a GET of HTTP/1.1
// with one Host header, without a body and without headers that change the connection. Otherwise it returns -1.
func simpleRequestLength(data []byte) int {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return -1
	}
	end += len(headEnd)
	line, fields, _ := bytes.Cut(data[:end], headEnd[:2])
	if !bytes.HasPrefix(line, []byte("GET ")) || !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return -1
	}
	hosts := 0
	for field := range bytes.SplitSeq(fields, headEnd[:2]) {
		name, value, _ := bytes.Cut(field, []byte(":"))
		switch n := string(name); {
		case strings.EqualFold(n, "Host"):
			hosts++
		case strings.EqualFold(n, "Connection"):
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("keep-alive")) {
				return -1
			}
		case slices.ContainsFunc(nonSimpleHeaders, func(other string) bool { return strings.EqualFold(n, other) }):
			return -1
		}
	}
	if hosts != 1 {
		return -1
	}
	return end
}

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
	aheadMost    = 8        // requests of one connection in work before their turn
	withheldMost = 32 << 10 // bytes of requests of one connection that wait for their turn
	watchBytes   = 4 << 10  // read at once while a request is in work
)

// pipeline reads the requests of one HTTP/1.1 connection. net/http is given one request at a time; those that a client sends
// before the answer to an earlier one are withheld, and the ones that may be repeated are begun at once. Their answers wait for
// their turn. A client that goes away is noticed although requests wait, and ends all of them.
type pipeline struct {
	conn    *countedConn
	run     func(*ahead)               // serves one request before its turn
	allowed func(r *http.Request) bool // reports whether a request may be begun before its turn
	context context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	whole   bool     // net/http was given whole requests only, so the next byte begins one
	partial []byte   // start of a request that net/http was given
	due     []byte   // of the request that net/http is being given
	rest    []byte   // behind it
	begun   int      // bytes of rest whose requests are in the queue
	queue   []*ahead // begun, in order
	current *ahead   // given to net/http, not yet taken by its handler
	blocked bool     // the request behind the queue has to wait for its turn
	closing bool     // the answer to the last request in the queue closes the connection
	ended   bool
}

func newPipeline(ctx context.Context, c *countedConn, run func(*ahead), allowed func(*http.Request) bool) *pipeline {
	l := &pipeline{conn: c, run: run, allowed: allowed, whole: true}
	l.context, l.cancel = context.WithCancel(context.WithValue(ctx, connKey{}, c))
	return l
}

// Read gives net/http the bytes of one request. While the handler of a whole request runs, net/http reads a single byte, only to
// notice the end of the connection.
func (l *pipeline) Read(p []byte) (int, error) {
	l.mu.Lock()
	if len(l.due) > 0 || len(l.rest) > 0 && len(p) > 1 {
		defer l.mu.Unlock()
		return l.give(p), nil
	}
	whole := l.whole
	l.mu.Unlock()
	if whole && len(p) == 1 {
		return l.watch(p)
	}
	n, err := l.conn.Conn.Read(p)
	if n > 0 && (whole || len(l.partial) > 0) {
		n = l.split(p[:n])
	}
	return n, err
}

// watch takes up what the client sends while a request is in work, until the connection ends or net/http stops watching.
func (l *pipeline) watch(p []byte) (int, error) {
	buffer := p // most clients send nothing
	n, err := l.conn.Conn.Read(buffer)
	for {
		if n > 0 && !l.take(buffer[:n]) {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.give(p), nil // no more is read until net/http has taken a request
		}
		if err != nil {
			break
		}
		if len(buffer) == len(p) {
			buffer = make([]byte, watchBytes)
		}
		n, err = l.conn.Conn.Read(buffer)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		l.end()
	}
	return 0, err
}

// take appends what was read and reports whether there is room for more.
func (l *pipeline) take(data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest = append(l.rest, data...)
	l.begin()
	return len(l.rest) < withheldMost
}

// split withholds what follows the first request of data, which may have begun in partial, and returns the length of the rest of
// that request.
func (l *pipeline) split(data []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	begin := len(l.partial)
	if begin > 0 {
		data = append(l.partial, data...)
	}
	l.partial = nil
	end := plainEnd(data)
	l.whole = end > 0
	switch {
	case end > begin:
		l.rest = bytes.Clone(data[end:])
		l.begin()
		return end - begin
	case !bytes.Contains(data, headEnd) && len(data) < withheldMost:
		l.partial = bytes.Clone(data)
	}
	return len(data) - begin
}

// give copies withheld bytes of one request; the mutex is held.
func (l *pipeline) give(p []byte) int {
	if len(l.due) == 0 {
		l.turn()
	}
	n := copy(p, l.due)
	l.due = l.due[n:]
	return n
}

// turn makes the first withheld request the one that net/http is given. What is no plain request is given as it is.
func (l *pipeline) turn() {
	length := plainEnd(l.rest)
	l.whole = length > 0
	if len(l.queue) > 0 {
		l.current, l.queue = l.queue[0], l.queue[1:]
		length = l.current.length
		l.begun -= length
	} else if length < 0 {
		length = len(l.rest)
		if !bytes.Contains(l.rest, headEnd) && length < withheldMost {
			l.partial = bytes.Clone(l.rest)
		}
	}
	l.due, l.rest = l.rest[:length], l.rest[length:]
	if len(l.queue) == 0 && l.begun == 0 {
		l.blocked = false
	}
	l.begin()
}

// begin starts the withheld requests that may run before their turn; the mutex is held.
func (l *pipeline) begin() {
	for !l.blocked && !l.closing && !l.ended && len(l.queue) < aheadMost && !l.conn.listener.finishing.Load() {
		head := l.rest[l.begun:]
		end := plainEnd(head)
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
		a := newAhead(r.WithContext(l.context), end, l)
		l.begun += end
		l.queue = append(l.queue, a)
		l.conn.listener.ahead.Add(1)
		l.run(a)
	}
}

// next returns the request that was begun before its turn and that net/http now serves, or nil.
func (l *pipeline) next() *ahead {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.current
	l.current = nil
	return a
}

// settle decides whether an answer closes the connection: not while requests behind it are in work, since they would end
// without an answer; the last of them closes it then.
func (l *pipeline) settle(h http.Header) {
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

// end drops all requests that wait, since their client cannot be answered.
func (l *pipeline) end() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.current != nil {
		l.current.finish()
	}
	for _, a := range l.queue {
		a.finish()
	}
	l.queue, l.current, l.due, l.rest, l.partial, l.begun = nil, nil, nil, nil, nil, 0
}

var headEnd = []byte("\r\n\r\n")

// notPlain are the headers of requests with a body, or with a wish that concerns the connection.
var notPlain = []string{"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "TE"}

// plainEnd returns the length of the request at the start of data if that is whole and plain: without a body, without a wish
// that concerns the connection, and with one host. It returns -1 for any other.
func plainEnd(data []byte) int {
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
		case slices.ContainsFunc(notPlain, func(other string) bool { return strings.EqualFold(n, other) }):
			return -1
		}
	}
	if hosts != 1 {
		return -1
	}
	return end
}

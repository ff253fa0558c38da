package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	headerAttempt   = "Godwitspindle-Attempt-Id"
	headerDeadline  = "Godwitspindle-Request-Deadline-Ms"
	headerExpected  = "Godwitspindle-Expected-Instance"
	headerSignature = "Godwitspindle-Response-Signature"
	headerNotRun    = "Godwitspindle-Not-Executed"
	headerInstance  = "Godwitspindle-Instance-Id"
)

// slots is the number of requests that an endpoint runs at once.
const slots = 12

// run is one request that an endpoint began to work on.
type run struct {
	id, method, uri string
	body            []byte
	at              time.Time
}

// endpoint is a stand-in of an endpoint on a sidecar machine.
type endpoint struct {
	m        *machine
	id       string
	born     int64
	sequence atomic.Uint64
	work     func(w http.ResponseWriter, r *http.Request) // does the work and answers; nil for an answer at once
	server   *http.Server
	stopBeat chan struct{}
	stopOnce sync.Once

	mu   sync.Mutex
	runs []run
}

// newEndpoint starts an endpoint beside a machine's process, without heartbeats.
func newEndpoint(m *machine, id string, work func(w http.ResponseWriter, r *http.Request)) (*endpoint, error) {
	e := &endpoint{m: m, id: id, born: time.Now().UnixMilli(), work: work, stopBeat: make(chan struct{})}
	l, err := net.Listen("tcp", m.address(m.w.ports.app))
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// ServeHTTP answers as the platform's pages say.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerInstance, e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	if id == "" || r.Header.Get(headerExpected) != "" && r.Header.Get(headerExpected) != e.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e.m.w.note("%s (%s): the body of %s ended after %d bytes: %v", e.id, e.m.service, id, len(body), err)
		return // the request did not arrive whole
	}
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, method: r.Method, uri: r.RequestURI, body: body, at: time.Now()})
	e.mu.Unlock()
	e.m.w.note("%s (%s): runs %s %s %s", e.id, e.m.service, id, r.Method, r.RequestURI)
	if e.work != nil {
		e.work(w, r)
		return
	}
	e.succeed(w, id)
}

// succeed writes a success that names the request.
func (e *endpoint) succeed(w http.ResponseWriter, id string) {
	w.Header().Set(headerSignature, "signed."+e.id)
	_, _ = io.WriteString(w, "done "+id+" at "+e.m.service)
}

// all returns the requests that the endpoint ran.
func (e *endpoint) all() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// beat returns the body of the next heartbeat.
func (e *endpoint) beat(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": e.m.service, "address": e.m.address(e.m.w.ports.app), "zone": e.m.zone, "version": "v1", "maxConcurrency": slots,
		"state": state, "warmupLeft": "0ms", "sequence": e.sequence.Add(1), "born": e.born,
	})
	return data
}

// say sends a heartbeat or a leave to the node beside the endpoint and returns the status, 0 without an answer.
func (e *endpoint) say(method string, body []byte) int {
	r, _ := http.NewRequest(method, "http://"+e.m.address(e.m.w.ports.admin)+"/-/instances/"+e.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Do(r)
	if err != nil {
		return 0
	}
	_ = p.Body.Close()
	return p.StatusCode
}

// keepBeating sends heartbeats until stopBeating.
func (e *endpoint) keepBeating() {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		if s := e.say(http.MethodPut, e.beat("ready")); s != http.StatusOK {
			e.m.w.note("%s: heartbeat not acknowledged: %d", e.id, s)
		}
		select {
		case <-e.stopBeat:
			return
		case <-t.C:
		}
	}
}

func (e *endpoint) stopBeating() { e.stopOnce.Do(func() { close(e.stopBeat) }) }

// exit ends the endpoint's process: its connections close.
func (e *endpoint) exit() {
	e.stopBeating()
	e.m.w.note("%s: exits", e.id)
	_ = e.server.Close()
}

// route returns one route of a configuration.
func route(name, prefix, kind, service, timeout string, attempts int) string {
	return fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":%q},"spec":{"hostname":"shop.example","pathPrefix":%q,"type":%q,"timeout":%q,"targetLatency":"800ms","priority":1,"service":%q,"maxAttempts":%d}}`,
		name, prefix, kind, timeout, service, attempts)
}

// configuration returns a configuration with the given routes and services.
func configuration(version, base int, routes []string, services ...string) string {
	list := append([]string(nil), routes...)
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"resourceType":"services","metadata":{"name":%q},"spec":{"healthCheckPath":"/health","maxConnections":120,"protocol":"h1","tls":false}}`, s))
	}
	list = append(list, `{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`)
	text := ""
	for i, r := range list {
		if i > 0 {
			text += ","
		}
		text += r
	}
	return fmt.Sprintf(`{"version":%d,"baseVersion":%d,"resources":[%s]}`, version, base, text)
}

// put sends a configuration to one core machine and returns the status, 0 without an answer.
func (w *world) put(m *machine, body string) int {
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(http.MethodPut, "http://"+m.address(w.ports.admin)+"/-/config", bytes.NewReader([]byte(body)))
	r.Header.Set("Content-Type", "application/json")
	p, err := c.Do(r)
	if err != nil {
		return 0
	}
	_ = p.Body.Close()
	return p.StatusCode
}

// configure sends a configuration until it is acknowledged.
func (w *world) configure(body string, limit time.Duration) error {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		s := w.put(w.cores[i%len(w.cores)], body)
		if s == http.StatusOK {
			w.note("configuration acknowledged")
			return nil
		}
		if s >= 400 && s < 500 {
			return fmt.Errorf("configuration refused: %d", s)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged in %v", limit)
}

// answer is what a consumer got for one request.
type answer struct {
	id        string
	sent, got time.Time
	status    int // 0 without an answer
	signature string
	body      string
	err       error
}

// ids numbers the consumers' requests.
var ids atomic.Uint64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), ids.Add(1)) }

// ask sends one request of a consumer at a machine. The target is written on the wire as it is.
func (m *machine) ask(method, target string, body []byte, budget time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	defer func() {
		m.w.note("consumer at %s: %s %s %s sent at %s: status %d, signature %q, body %.60q, error %v", m.name, a.id, method, target, m.w.at(a.sent), a.status, a.signature, a.body, a.err)
	}()
	c, err := net.DialTimeout("tcp", m.address(m.w.ports.outbound), time.Second)
	if err != nil {
		a.err, a.got = err, time.Now()
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(a.sent.Add(budget + time.Second))
	a.exchange(c, method, target, body, budget)
	return a
}

// exchange sends the request on a connection and reads the answer.
func (a *answer) exchange(c net.Conn, method, target string, body []byte, budget time.Duration) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n", method, target, headerAttempt, a.id, headerDeadline, budget.Milliseconds())
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, a.err = c.Write(append([]byte(head+"\r\n"), body...))
	if a.err != nil {
		a.got = time.Now()
		return
	}
	a.status, a.signature, a.body, a.err = readAnswer(c, method)
	a.got = time.Now()
}

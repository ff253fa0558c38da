package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the pages.
const (
	headerAttempt   = "Godwitspindle-Attempt-Id"
	headerDeadline  = "Godwitspindle-Request-Deadline-Ms"
	headerExpected  = "Godwitspindle-Expected-Instance"
	headerOrigin    = "Godwitspindle-Caller-Service"
	headerSignature = "Godwitspindle-Response-Signature"
	headerNotRun    = "Godwitspindle-Not-Executed"
	headerInstance  = "Godwitspindle-Instance-Id"
)

// run is one request that an endpoint began to work on.
type run struct{ id, method, target, origin, service string }

// endpoint is a stand-in for the application beside a sidecar machine.
type endpoint struct {
	id, service  string
	server       *http.Server
	record       *record
	acknowledged atomic.Int64
	quiet        atomic.Bool // runs are counted, but not recorded one by one

	mu     sync.Mutex
	runs   map[string][]run // by id
	answer func(w http.ResponseWriter, r *http.Request)
}

func (m *mesh) startEndpoint(s *machine, id string) (*endpoint, error) {
	e := &endpoint{id: id, service: s.service, record: m.record, runs: map[string][]run{}}
	address := fmt.Sprintf("%s:%d", s.ip, m.app)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	m.wait.Go(func() { _ = e.server.Serve(l) })
	m.wait.Go(func() { e.beat(m, s, address) })
	return e, nil
}

// beat sends heartbeats until the mesh stops.
func (e *endpoint) beat(m *mesh, s *machine, address string) {
	born, wait := time.Now().UnixMilli(), 200*time.Millisecond
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": address, "zone": s.zone, "version": "v1", "maxConcurrency": 12, "state": "ready",
			"warmupLeft": "0ms", "sequence": sequence, "born": born,
		})
		status, _, _ := m.call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", s.ip, m.admin, e.id), string(body))
		if status == http.StatusOK {
			e.acknowledged.Add(1)
			wait = heartbeat
		}
		select {
		case <-m.stopping:
			return
		case <-time.After(wait):
		}
	}
}

// ServeHTTP rejects what is meant for another endpoint and runs everything else.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get(headerAttempt), w.Header()
	if id != "" {
		h.Set(headerAttempt, id)
	}
	h.Set(headerInstance, e.id)
	if r.URL.Path == "/health" {
		return
	}
	want := r.Header.Get(headerExpected)
	switch {
	case want != "" && want != e.id:
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := run{id: id, method: r.Method, target: r.RequestURI, origin: r.Header.Get(headerOrigin), service: e.service}
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], n)
	answer := e.answer
	e.mu.Unlock()
	if !e.quiet.Load() {
		e.record.add("run by %s of %s: %s %s id=%s caller-service=%q", e.id, n.service, n.method, n.target, n.id, n.origin)
	}
	h.Set(headerSignature, "sig."+id)
	if answer != nil {
		answer(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if len(body) > 0 {
		e.record.add("body of %s: %q", id, shorten(string(body)))
	}
	_, _ = io.WriteString(w, "done "+id+"\n")
}

func (e *endpoint) setAnswer(f func(w http.ResponseWriter, r *http.Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = f
}

// runsOf returns the runs of a request at all endpoints.
func (m *mesh) runsOf(id string) []run {
	var list []run
	for _, s := range m.sides {
		s.endpoint.mu.Lock()
		list = append(list, s.endpoint.runs[id]...)
		s.endpoint.mu.Unlock()
	}
	return list
}

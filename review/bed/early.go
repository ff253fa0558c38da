package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

// Sizes and times of early-answer.
const (
	uploadBytes  = 100_000
	uploadPieces = 10
	uploadPause  = 20 * time.Millisecond // between two pieces, so that an upload takes 0.2 s
	earlyBytes   = 300_000
	uploads      = 60
)

// earlyAnswer sends uploads in chunks. With trouble, the endpoints answer before the upload is in, keep the connection and read on.
func earlyAnswer(w *world) (int, error) {
	w.addMachines(3, "archive", "ledger", "ledger")
	if err := w.startAll(); err != nil {
		return 0, err
	}
	var list []*endpoint
	for i, m := range w.sides[1:] {
		e, err := newEndpoint(m, "i-"+string(rune('a'+i))+"00e31b", nil)
		if err != nil {
			return 0, err
		}
		if w.trouble {
			e.early = earlyBytes
		}
		list = append(list, e)
	}
	time.Sleep(time.Second)
	routes := []string{route("r-record", "/record/", "unsafe", "ledger", "5000ms", 2)}
	if err := w.configure(configuration(3, 0, routes, "ledger", "archive"), 20*time.Second); err != nil {
		return 0, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	for _, e := range list {
		go e.keepBeating()
	}
	time.Sleep(3 * time.Second)
	sent := &bodies{all: map[string][]byte{}}
	var wait sync.WaitGroup
	for c := range 4 {
		wait.Go(func() {
			for range uploads / 4 {
				w.sides[c%2].upload(sent)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	return judgeBodies(w, list, sent)
}

// bodies holds the bodies that consumers sent, by request id.
type bodies struct {
	mu  sync.Mutex
	all map[string][]byte
}

// upload sends one request with a body in chunks and reads its answer.
func (m *machine) upload(sent *bodies) {
	a := answer{id: newID(), sent: time.Now()}
	body := make([]byte, uploadBytes)
	for i := range body {
		body[i] = byte('a' + (i/1000*7+i)%26)
	}
	copy(body, a.id)
	sent.mu.Lock()
	sent.all[a.id] = body
	sent.mu.Unlock()
	c, err := net.DialTimeout("tcp", m.address(m.w.ports.outbound), time.Second)
	if err != nil {
		m.w.note("consumer at %s: %v", m.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	written := make(chan error, 1)
	go func() { written <- a.writeChunks(c, body) }()
	a.status, a.signature, a.body, a.err = readAnswer(c, http.MethodPost)
	m.w.note("consumer at %s: %s POST /record/entry, %d bytes in chunks, sent at %s: status %d, signature %q, answer of %d bytes, error %v; upload error %v",
		m.name, a.id, len(body), m.w.at(a.sent), a.status, a.signature, len(a.body), a.err, <-written)
}

// writeChunks sends the request piece by piece.
func (a *answer) writeChunks(c net.Conn, body []byte) error {
	_, err := fmt.Fprintf(c, "POST /record/entry HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 4000\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, a.id, headerDeadline)
	size := len(body) / uploadPieces
	for i := 0; i < len(body) && err == nil; i += size {
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", size, body[i:i+size])
		time.Sleep(uploadPause)
	}
	if err == nil {
		_, err = c.Write([]byte("0\r\n\r\n"))
	}
	return err
}

// judgeBodies applies the rule UNASKED: an endpoint that gets a complete body gets the one that the consumer sent.
func judgeBodies(w *world, list []*endpoint, sent *bodies) (int, error) {
	whole, changed := 0, 0
	for _, e := range list {
		for _, r := range e.all() {
			want := sent.all[r.id]
			if bytes.Equal(r.body, want) {
				whole++
				continue
			}
			changed++
			at := 0
			for at < len(r.body) && at < len(want) && r.body[at] == want[at] {
				at++
			}
			w.note("%s got a complete body of %d bytes for %s, whose consumer sent %d; they differ from byte %d on", e.id, len(r.body), r.id, len(want), at)
		}
	}
	w.note("of %d uploads, endpoints got %d as they were sent and %d complete but changed", len(sent.all), whole, changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes of the case body.
const (
	block       = 4 << 10  // bytes of a block of a body; it begins with its number, so that an endpoint sees what is missing
	bodyBlocks  = 256      // 1 MiB
	uploadPart  = 16 << 10 // bytes that the consumer sends at once
	uploadPause = 20 * time.Millisecond
	answerBytes = 100 << 10 // bytes of an endpoint's answer
	bodyLimit   = 8 * time.Second
)

// numberedBody returns a body whose blocks begin with their numbers.
func numberedBody() []byte {
	b := make([]byte, bodyBlocks*block)
	for i := range bodyBlocks {
		binary.BigEndian.PutUint64(b[i*block:], uint64(i))
	}
	return b
}

// wrongBlock returns the offset of the first block that is not the one due there and the number that it bears, or false.
func wrongBlock(body []byte) (offset int, number uint64, found bool) {
	for i := 0; i*block+8 <= len(body); i++ {
		if n := binary.BigEndian.Uint64(body[i*block:]); n != uint64(i) {
			return i * block, n, true
		}
	}
	return 0, 0, false
}

// uploads keeps what endpoints read of the bodies.
type uploads struct {
	mu   sync.Mutex
	read map[string][]byte
	ends map[string]error // how the body ended for the endpoint; nil for a complete one
}

// answer returns the answer function of an endpoint that reads the whole body. With early, it begins its answer before it has read the
// body, keeps the connection and reads on; else it reads the body first.
func (u *uploads) answer(r *record, early bool) func(w http.ResponseWriter, q *http.Request) {
	return func(w http.ResponseWriter, q *http.Request) {
		id, text := q.Header.Get(headerAttempt), strings.Repeat("x", answerBytes)
		if early {
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		body, err := io.ReadAll(q.Body)
		u.mu.Lock()
		u.read[id], u.ends[id] = body, err
		u.mu.Unlock()
		r.add("endpoint read the body of %s: %d bytes, end %v", id, len(body), err)
		if !early {
			_, _ = io.WriteString(w, text)
		}
		_, _ = io.WriteString(w, "end")
	}
}

// playBody sends long bodies to endpoints that begin a long answer before they have read the body.
func playBody(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger", "counter"},
		route{"/lepu270/", "safe", "8000ms", "archive"}, route{"/buy/", "unsafe", "8000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	u := &uploads{read: map[string][]byte{}, ends: map[string]error{}}
	for _, s := range m.sides {
		s.endpoint.setAnswer(u.answer(r, trouble))
	}
	var broken []string
	for i := range 4 {
		id := fmt.Sprintf("b%d", i)
		if err := m.upload(m.sides[i%2], id, i < 2); err != nil {
			return err
		}
		broken = append(broken, u.check(r, id, i < 2)...)
	}
	return verdict(broken, u.count())
}

// count returns how many bodies endpoints have read.
func (u *uploads) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.read)
}

// upload sends one long request from a machine, in chunks or with a length, and reads its answer.
func (m *mesh) upload(s *machine, id string, chunked bool) error {
	c, err := m.connect(s)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	framing := fmt.Sprintf("Content-Length: %d\r\n", bodyBlocks*block)
	if chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if err := c.send(id+" from "+s.name, head(http.MethodPost, "/buy/1", id, bodyLimit, framing)); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.sendBody(id, chunked)
	}()
	_, _, _ = c.receive(id, http.MethodPost, bodyLimit+time.Second)
	time.Sleep(500 * time.Millisecond) // the endpoint may still read
	_ = c.SetWriteDeadline(time.Now())
	<-done
	return nil
}

// sendBody sends the numbered body at the pace of a link of some Mbit/s.
func (c *consumer) sendBody(id string, chunked bool) {
	body := numberedBody()
	for at := 0; at < len(body); at += uploadPart {
		part := string(body[at : at+uploadPart])
		if chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(c, part); err != nil {
			c.record.add("consumer of %s could send %d bytes: %v", id, at, err)
			return
		}
		time.Sleep(uploadPause)
	}
	if chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	c.record.add("consumer of %s has sent all %d bytes", id, len(body))
}

// check returns what is wrong with the body that an endpoint read. A body that ends early with an error is not wrong.
func (u *uploads) check(r *record, id string, chunked bool) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	body, ran := u.read[id]
	if !ran {
		r.add("%s did not run", id)
		return nil
	}
	var list []string
	if at, n, found := wrongBlock(body); found {
		list = append(list, fmt.Sprintf("%s: at byte %d of the body the endpoint got block %d instead of %d", id, at, n, at/block))
	}
	if chunked && u.ends[id] == nil && len(body) != bodyBlocks*block {
		list = append(list, fmt.Sprintf("%s: the endpoint got a complete body of %d bytes, %d were sent", id, len(body), bodyBlocks*block))
	}
	if !chunked && u.ends[id] != nil && !errors.Is(u.ends[id], io.ErrUnexpectedEOF) {
		r.add("%s: the body broke off", id)
	}
	return list
}

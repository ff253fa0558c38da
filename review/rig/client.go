package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// consumer is one connection of a consumer to the outbound address of its machine.
type consumer struct {
	net.Conn
	reader *bufio.Reader
	record *record
}

func (m *mesh) connect(s *machine) (*consumer, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", s.ip, m.outbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{Conn: c, reader: bufio.NewReader(c), record: m.record}, nil
}

// send writes bytes and records them under a label.
func (c *consumer) send(label, text string) error {
	c.record.add("sent %s: %q", label, shorten(text))
	return c.write(text)
}

// write writes bytes without a line in the record.
func (c *consumer) write(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// read reads one answer without a line in the record.
func (c *consumer) read(method string, limit time.Duration) (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	p, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(p.Body)
	return p, body, err
}

// receive reads one answer to a request of the given method within the limit.
func (c *consumer) receive(label, method string, limit time.Duration) (*http.Response, []byte, error) {
	p, body, err := c.read(method, limit)
	if p == nil {
		c.record.add("answer to %s: none, %v", label, err)
		return nil, nil, err
	}
	c.record.add("answer to %s: %d, signature %q, %d bytes of body, whole: %v", label, p.StatusCode, p.Header.Get(headerSignature), len(body), err == nil)
	return p, body, err
}

// head returns the head of a request to the host of the routes; more are further header lines with their line ends.
func head(method, target, id string, limit time.Duration, more ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, target, hostName, headerAttempt, id, headerDeadline, limit.Milliseconds(), strings.Join(more, ""))
}

func shorten(text string) string {
	if len(text) > 400 {
		return text[:400] + "..."
	}
	return text
}

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// readAnswer reads one answer; an answer that breaks off gives an error.
func readAnswer(c net.Conn, method string) (status int, signature, body string, err error) {
	p, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = p.Body.Close() }()
	data, err := io.ReadAll(p.Body)
	return p.StatusCode, p.Header.Get(headerSignature), string(data), err
}

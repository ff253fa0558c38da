package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ResponseError reports that the bytes of a backend server are not a valid response.
type ResponseError struct{ Fault string }

// Error names the fault.
func (e *ResponseError) Error() string { return "response of the backend server: " + e.Fault }

// ClosedError reports that a response without a length did not end with an orderly close of the connection.
type ClosedError struct{}

// Error states that the end of the response is not known.
func (*ClosedError) Error() string {
	return "the connection broke, and the response has no length that shows whether it is complete"
}

// framingTrailers are the fields that would change the framing of a response and so must not follow its body (RFC 9110 section 6.5.1).
var framingTrailers = []string{"Content-Length", "Transfer-Encoding", "Trailer"}

// usualFields is the number of fields for which values are allocated at once.
const usualFields = 8

// readResponse reads the head of a response to r. net/http accepts more than RFC 9112 allows, for example a blank before a colon or a
// length beside chunks, and others that read the same bytes may then see another response. The body is read with the same strictness.
func (x *exchange) readResponse() (*http.Response, error) {
	reader := x.conn.reader
	line, err := readLine(reader)
	if err != nil {
		return nil, err
	}
	p := &http.Response{Request: x.request}
	if err := setStatus(p, line); err != nil {
		return nil, err
	}
	if p.Header, err = readFields(reader); err != nil {
		return nil, err
	}
	length, hasChunks, err := readFraming(p)
	if err != nil {
		return nil, err
	}
	setClose(p)
	x.setBody(p, length, hasChunks)
	return p, nil
}

// setBody sets the fields that describe the body; length is -1 if the response states none.
func (x *exchange) setBody(p *http.Response, length int64, hasChunks bool) {
	reader := x.conn.reader
	delete(p.Header, "Transfer-Encoding")
	p.Body, p.ContentLength = http.NoBody, length
	switch {
	case !allowsBody(p.StatusCode):
		// A server that sends a body all the same would have its bytes taken for the next response.
		p.Close = p.Close || hasChunks || length > 0 && p.StatusCode != http.StatusNotModified
		p.ContentLength = 0
	case x.request.Method == http.MethodHead, length == 0:
	case hasChunks:
		p.TransferEncoding = []string{"chunked"}
		p.Trailer = announcedTrailer(p.Header)
		p.Body = &chunkedBody{chunks: &chunkReader{reader: reader}, conn: x.conn, response: p}
	case length > 0:
		p.Body = &sizedBody{reader: reader, left: length}
	default:
		p.Close = true
		p.Body = &closedBody{exchange: x}
	}
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// readLine reads a line of a head and returns it without its end. The limit on the size of heads also limits the line.
func readLine(reader *bufio.Reader) (string, error) {
	var long []byte
	for {
		part, err := reader.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return "", io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case err != nil:
			long = append(long, part...)
			continue
		case long != nil:
			part = append(long, part...)
		}
		part, _ = bytes.CutSuffix(part, []byte("\n"))
		part, _ = bytes.CutSuffix(part, []byte("\r"))
		return string(part), nil
	}
}

// setStatus parses a status line: HTTP/1.0 or a later minor version, a status of three digits, and a reason, which may be missing.
func setStatus(p *http.Response, line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return &ResponseError{Fault: "want a status line of HTTP/1"}
	}
	status, reason, _ := strings.Cut(rest, " ")
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return &ResponseError{Fault: "want a status of 100 to 599"}
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return &ResponseError{Fault: "want no control bytes in the reason"}
	}
	p.Proto, p.ProtoMajor, p.ProtoMinor = version, 1, int(minor[0]-'0')
	p.Status = rest
	p.StatusCode, _ = strconv.Atoi(status)
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// readFields reads header or trailer fields up to the empty line behind them. A folded value is invalid: its later lines look like
// fields whose names begin with a blank.
func readFields(reader *bufio.Reader) (http.Header, error) {
	h := http.Header{}
	var spare []string // values of the next fields, so that each field does not allocate its own slice
	for {
		line, err := readLine(reader)
		if err != nil || line == "" {
			return h, err
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return nil, &ResponseError{Fault: "want only token characters in the name of a field"}
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) {
			return nil, &ResponseError{Fault: "want no control bytes in the value of a field"}
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if others, repeated := h[name]; repeated {
			h[name] = append(others, value)
			continue
		}
		if len(spare) == 0 {
			spare = make([]string, usualFields)
		}
		spare[0] = value
		h[name], spare = spare[:1:1], spare[1:]
	}
}

// readFraming returns the length that the response states, -1 if none, or that its body has chunks.
func readFraming(p *http.Response) (length int64, hasChunks bool, err error) {
	lengths, encodings := p.Header["Content-Length"], p.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(encodings) > 1:
		return 0, false, &ResponseError{Fault: "want one length or chunks"}
	case len(encodings) == 1:
		if p.ProtoMinor == 0 || !strings.EqualFold(encodings[0], "chunked") {
			return 0, false, &ResponseError{Fault: "want no transfer encoding but chunks of HTTP/1.1"}
		}
		return -1, true, nil
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63) // accepts digits only
		if err != nil {
			return 0, false, &ResponseError{Fault: "want a decimal length below 2^63"}
		}
		return int64(n), false, nil
	}
	return -1, false, nil
}

// setClose sets whether the backend server closes the connection after the response.
func setClose(p *http.Response) {
	lines := p.Header["Connection"]
	p.Close = httpguts.HeaderValuesContainsToken(lines, "close") || p.ProtoMinor == 0 && !httpguts.HeaderValuesContainsToken(lines, "keep-alive")
}

// announcedTrailer removes the field Trailer and returns the names in it, without values.
func announcedTrailer(h http.Header) http.Header {
	lines, ok := h["Trailer"]
	if !ok {
		return nil
	}
	delete(h, "Trailer")
	trailer := http.Header{}
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.Trim(name, " \t"))
			if httpguts.ValidHeaderFieldName(name) && !slices.Contains(framingTrailers, name) {
				trailer[name] = nil
			}
		}
	}
	return trailer
}

// sizedBody is a body with a length.
type sizedBody struct {
	reader *bufio.Reader
	left   int64
}

// Read returns io.EOF together with the last bytes, so that the connection is free at once.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close has no effect; the exchange owns the connection.
func (*sizedBody) Close() error { return nil }

// chunkedBody is a body in chunks. At its end it sets the trailer of its response.
type chunkedBody struct {
	chunks   io.Reader
	conn     *conn
	response *http.Response
	err      error // result of the read of the trailer
}

// Read returns io.EOF only after the trailer.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		b.err = b.readTrailer()
		err = b.err
	}
	return n, err
}

// Close has no effect; the exchange owns the connection.
func (*chunkedBody) Close() error { return nil }

// readTrailer reads the trailer and returns io.EOF at its end. A trailer has the same limit as a head.
func (b *chunkedBody) readTrailer() error {
	w := b.conn.tracked
	w.readingHead, w.headBytesLeft = true, maxHeaderBytes
	defer func() { w.readingHead = false }()
	fields, err := readFields(b.conn.reader)
	if err != nil {
		return err
	}
	for name, values := range fields {
		if slices.Contains(framingTrailers, name) {
			return &ResponseError{Fault: fmt.Sprintf("want no %s behind the body", name)}
		}
		if b.response.Trailer == nil {
			b.response.Trailer = http.Header{}
		}
		b.response.Trailer[name] = values
	}
	return io.EOF
}

// closedBody is a body that ends with the connection.
type closedBody struct {
	exchange *exchange
}

// Read returns io.EOF only at an orderly close.
func (b *closedBody) Read(p []byte) (int, error) {
	n, err := b.exchange.conn.reader.Read(p)
	if err == io.EOF && !b.exchange.closedInOrder() {
		return n, &ClosedError{}
	}
	return n, err
}

// Close has no effect; the exchange owns the connection.
func (*closedBody) Close() error { return nil }

// closedInOrder reports whether the end of the connection's bytes is that of an orderly close. After a reset, the error of the socket
// reaches whoever writes or reads first. If that is the goroutine that writes the request, the read returns the end as if the backend
// server had closed the connection. The state of the socket does not depend on who got the error.
func (x *exchange) closedInOrder() bool {
	closed, known := x.conn.closedByPeer()
	if !known {
		return x.requestWritten(false)
	}
	return closed && !x.writeFailed()
}

// writeFailed reports whether the write of the request has ended with an error.
func (x *exchange) writeFailed() bool {
	if x.written == nil {
		return false
	}
	select {
	case <-x.written:
		return x.writeErr != nil
	default:
		return false
	}
}

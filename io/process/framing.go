package process

import (
	"bufio"
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

var headEnd = []byte("\r\n\r\n")

// nonSimpleHeaders are the headers of requests that have a body or change the connection.
var nonSimpleHeaders = []string{"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "TE"}

// headLength returns the length of the head at the start of data as net/http reads it: lines that end with LF or CRLF, up to the
// first empty one behind the request line. It returns -1 if the head is not complete.
func headLength(data []byte) int {
	begun := false
	for at := 0; ; {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return -1
		}
		empty := i == 0 || i == 1 && data[at] == '\r'
		at += i + 1
		if empty && begun {
			return at
		}
		begun = begun || !empty
	}
}

// wholeLength returns the length of the request at the start of data, its body included, or -1 if it is not complete.
func wholeLength(data []byte) int {
	head := headLength(data)
	if head < 0 {
		return -1
	}
	body := newBodyScanner(data[:head])
	n, done := body.scan(data[head:])
	if !done {
		return -1
	}
	return head + n
}

// simpleRequestLength returns the length of the request at the start of data if it is complete and simple: a GET of HTTP/1.1
// with one Host header, without a body and without headers that change the connection. Otherwise it returns -1.
func simpleRequestLength(data []byte) int {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return -1
	}
	end += len(headEnd)
	line, fields, _ := bytes.Cut(data[:end], headEnd[:2])
	bareLF := bytes.Count(data[:end], []byte("\n")) != bytes.Count(data[:end], headEnd[:2]) // ends a line, too
	if bareLF || !bytes.HasPrefix(line, []byte("GET ")) || !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
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

// bodyPart is the part of a body that a bodyScanner is in.
type bodyPart int

const (
	bodyEnd     bodyPart = iota // the body is complete
	bodyData                    // left bytes of a body with a length
	chunkSize                   // line with the size of a chunk
	chunkData                   // left bytes of a chunk with the line end behind it
	trailerLine                 // lines behind the last chunk
	bodyOpaque                  // not readable; net/http refuses it and closes the connection
)

// Limits of lines, as net/http has them.
const (
	maxSizeLine     = 4 << 10 // bytes of the line with the size of a chunk
	maxTrailerBytes = 4 << 10 // bytes of all lines behind the last chunk, the size of net/http's buffer
)

// bodyScanner finds the end of a request's body, so that no byte of the next request is passed to net/http with it.
type bodyScanner struct {
	part    bodyPart
	left    int64
	line    []byte // start of a line
	trailer int    // bytes of complete lines behind the last chunk
}

// newBodyScanner returns a scanner for the body behind a complete head. The parser is that of net/http, so both agree on the length.
func newBodyScanner(head []byte) *bodyScanner {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(bytes.TrimLeft(head, "\r\n")), len(head)))
	switch {
	case err != nil:
		return &bodyScanner{part: bodyOpaque}
	case len(r.TransferEncoding) > 0:
		return &bodyScanner{part: chunkSize}
	case r.ContentLength > 0:
		return &bodyScanner{part: bodyData, left: r.ContentLength}
	}
	return &bodyScanner{}
}

// scan returns how many bytes of data belong to the body, and whether the body ends there.
func (s *bodyScanner) scan(data []byte) (length int, done bool) {
	at := 0
	for at < len(data) && s.part != bodyEnd {
		switch s.part {
		case bodyOpaque:
			return len(data), false
		case bodyData, chunkData:
			n := min(s.left, int64(len(data)-at))
			at += int(n)
			s.left -= n
			s.endData()
		default:
			at += s.scanLine(data[at:])
		}
	}
	return at, s.part == bodyEnd
}

// certain returns a number of bytes that belong to the body in any case, at least 1.
func (s *bodyScanner) certain() int64 {
	switch s.part {
	case bodyData, chunkData:
		return s.left
	case bodyOpaque:
		return math.MaxInt64
	}
	return 1
}

// endData goes on behind a chunk or a body that is complete.
func (s *bodyScanner) endData() {
	switch {
	case s.left > 0:
	case s.part == bodyData:
		s.part = bodyEnd
	default:
		s.part = chunkSize
	}
}

// scanLine takes bytes up to the end of the line and returns their number. A line end without CR makes the body unreadable, as
// implementations disagree on it.
func (s *bodyScanner) scanLine(data []byte) int {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		s.line = append(s.line, data...)
		if len(s.line) > maxSizeLine {
			s.part, s.line = bodyOpaque, nil
		}
		return len(data)
	}
	line, ok := bytes.CutSuffix(append(s.line, data[:i]...), []byte("\r"))
	s.line = nil
	switch {
	case !ok:
		s.part = bodyOpaque
	case s.part == chunkSize:
		s.beginChunk(string(line))
	case len(line) == 0:
		s.part = bodyEnd
	default:
		s.trailer += len(line)
		if s.trailer > maxTrailerBytes {
			s.part = bodyOpaque
		}
	}
	return i + 1
}

// beginChunk reads the size of the next chunk; the last one has the size 0.
func (s *bodyScanner) beginChunk(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 62)
	switch {
	case err != nil:
		s.part = bodyOpaque
	case n == 0:
		s.part = trailerLine
	default:
		s.part, s.left = chunkData, int64(n)+int64(len("\r\n"))
	}
}

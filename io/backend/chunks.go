package backend

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxChunkDigits is the number of hexadecimal digits of the largest chunk size that an int64 holds.
const maxChunkDigits = 15

// maxExtensionBytes limits the extensions of all chunks of a body, so that a backend server cannot send them without end.
const maxExtensionBytes = 16 << 10

// chunkReader reads a body in chunks (RFC 9112 section 7.1) up to its last chunk, but not the trailer behind that.
type chunkReader struct {
	reader *bufio.Reader
	left   int64 // bytes left in the chunk
	inside bool  // a chunk has begun, whose line end is not read yet
	err    error // result of the read that ended the body

	extensions int // bytes of the extensions of all chunks
}

// Read returns io.EOF behind the last chunk.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.err == nil && c.left == 0 {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	c.err = err
	return n, err
}

// next reads the end of the chunk before and the size of the next one.
func (c *chunkReader) next() error {
	if c.inside {
		if line, err := c.line(); err != nil || line != "" {
			return chunkFault(err, "want a line end behind a chunk")
		}
	}
	line, err := c.line()
	if err != nil {
		return chunkFault(err, "")
	}
	digits, extension, _ := strings.Cut(line, ";") // extensions are ignored
	if c.extensions += len(extension); c.extensions > maxExtensionBytes {
		return &ResponseError{Fault: "want fewer extensions of chunks"}
	}
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 63)
	if err != nil || len(digits) > maxChunkDigits {
		return &ResponseError{Fault: "want a hexadecimal chunk size"}
	}
	if c.left, c.inside = int64(size), true; size == 0 {
		return io.EOF
	}
	return nil
}

// line reads a line that fits into the buffer of the reader, since a backend server may send bytes without end.
func (c *chunkReader) line() (string, error) {
	bytes, err := c.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	line, ok := strings.CutSuffix(string(bytes), "\r\n")
	if !ok {
		return "", &ResponseError{Fault: "want lines between chunks that end with CR LF"}
	}
	return line, nil
}

// chunkFault returns the error for a line that could not be read or, with a nil err, for one that is not valid.
func chunkFault(err error, fault string) error {
	switch {
	case err == nil:
		return &ResponseError{Fault: fault}
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return &ResponseError{Fault: "want shorter lines between chunks"}
	}
	return err
}

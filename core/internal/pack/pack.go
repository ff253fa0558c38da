package pack

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Error reports that packed data could not be decoded.
type Error struct {
	Offset int // byte at which decoding failed
	Detail string
}

// Error returns the byte offset and the detail.
func (e *Error) Error() string { return fmt.Sprintf("packed state at byte %d: %s", e.Offset, e.Detail) }

// Writer encodes values into a buffer; the zero value is ready for use.
type Writer struct{ data []byte }

// Data returns the encoded bytes, which alias the writer's buffer.
func (w *Writer) Data() []byte { return w.data }

// Uint appends an unsigned integer as a varint.
func (w *Writer) Uint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }

// Int appends a signed integer as a varint.
func (w *Writer) Int(v int64) { w.data = binary.AppendVarint(w.data, v) }

// Bool appends 1 for true and 0 for false.
func (w *Writer) Bool(v bool) {
	if v {
		w.Uint(1)
		return
	}
	w.Uint(0)
}

// Text appends a string with its length in front.
func (w *Writer) Text(v string) {
	w.Uint(uint64(len(v)))
	w.data = append(w.data, v...)
}

// Bytes appends a byte string with its length in front.
func (w *Writer) Bytes(v []byte) { w.Text(string(v)) }

// Message appends a protobuf message in deterministic encoding, so that equal messages give equal bytes.
func (w *Writer) Message(m proto.Message) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s for the packed state: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	w.Bytes(data)
	return nil
}

// Reader decodes values in the order in which they were written; after the first error all reads return zero values.
type Reader struct {
	data   []byte
	offset int
	err    error
}

// NewReader returns a Reader at the start of data.
func NewReader(data []byte) *Reader { return &Reader{data: data} }

// Err returns the first error, an *Error, or nil.
func (r *Reader) Err() error { return r.err }

// Close ends the decoding: it returns the first error, an *Error, or reports data that is left after the last value.
func (r *Reader) Close() error {
	if r.err == nil && r.offset != len(r.data) {
		r.Fail("unexpected data after the last value")
	}
	return r.err
}

// Fail records an error at the current offset unless one is recorded already.
func (r *Reader) Fail(detail string) {
	if r.err == nil {
		r.err = &Error{Offset: r.offset, Detail: detail}
	}
}

// Uint reads an unsigned integer.
func (r *Reader) Uint() uint64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.data[r.offset:])
	if n <= 0 {
		r.Fail("unsigned varint expected")
		return 0
	}
	r.offset += n
	return v
}

// Int reads a signed integer.
func (r *Reader) Int() int64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Varint(r.data[r.offset:])
	if n <= 0 {
		r.Fail("signed varint expected")
		return 0
	}
	r.offset += n
	return v
}

// Count reads a number of items. Since every item takes at least one byte, a count above the remaining bytes is refused, so a
// damaged count cannot cause a large allocation.
func (r *Reader) Count() int {
	v := r.Uint()
	if v > uint64(len(r.data)-r.offset) {
		r.Fail("count exceeds the remaining bytes")
		return 0
	}
	return int(v)
}

// Bool reads a value written by Writer.Bool; any number but 1 is false.
func (r *Reader) Bool() bool { return r.Uint() == 1 }

// Text reads a string written by Writer.Text.
func (r *Reader) Text() string { return string(r.readSlice()) }

// Bytes reads a byte string and returns a copy of it; an empty one is nil.
func (r *Reader) Bytes() []byte { return append([]byte(nil), r.readSlice()...) }

// Message reads a protobuf message into m.
func (r *Reader) Message(m proto.Message) {
	data := r.readSlice()
	if r.err != nil {
		return
	}
	if err := proto.Unmarshal(data, m); err != nil {
		r.Fail(err.Error())
	}
}

// readSlice reads a length and returns that many bytes, which alias the input.
func (r *Reader) readSlice() []byte {
	n := r.Count()
	if r.err != nil {
		return nil
	}
	r.offset += n
	return r.data[r.offset-n : r.offset]
}

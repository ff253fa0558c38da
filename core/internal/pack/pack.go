package pack

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Error reports that packed data is damaged at an offset in bytes.
type Error struct {
	Offset int
	Detail string
}

// Error formats the failure.
func (e *Error) Error() string { return fmt.Sprintf("packed state at byte %d: %s", e.Offset, e.Detail) }

// Writer appends values; the zero value is ready for use.
type Writer struct{ data []byte }

// Data returns what was written.
func (w *Writer) Data() []byte { return w.data }

// Uint appends an unsigned number.
func (w *Writer) Uint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }

// Int appends a signed number.
func (w *Writer) Int(v int64) { w.data = binary.AppendVarint(w.data, v) }

// Bool appends a truth value.
func (w *Writer) Bool(v bool) {
	if v {
		w.Uint(1)
		return
	}
	w.Uint(0)
}

// Text appends a string.
func (w *Writer) Text(v string) {
	w.Uint(uint64(len(v)))
	w.data = append(w.data, v...)
}

// Bytes appends a byte string.
func (w *Writer) Bytes(v []byte) { w.Text(string(v)) }

// Message appends a message in its deterministic encoding.
func (w *Writer) Message(m proto.Message) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("pack %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	w.Bytes(data)
	return nil
}

// Reader reads values in the order in which they were written; the first fault sticks.
type Reader struct {
	data []byte
	at   int
	err  error
}

// NewReader returns a reader of data.
func NewReader(data []byte) *Reader { return &Reader{data: data} }

// Err returns the first fault.
func (r *Reader) Err() error { return r.err }

// Close returns the first fault, or one for data that was not read.
func (r *Reader) Close() error {
	if r.err == nil && r.at != len(r.data) {
		r.Fail("trailing data")
	}
	return r.err
}

// Fail records a fault at the current offset.
func (r *Reader) Fail(detail string) {
	if r.err == nil {
		r.err = &Error{Offset: r.at, Detail: detail}
	}
}

// Uint reads an unsigned number.
func (r *Reader) Uint() uint64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.data[r.at:])
	if n <= 0 {
		r.Fail("number expected")
		return 0
	}
	r.at += n
	return v
}

// Int reads a signed number.
func (r *Reader) Int() int64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Varint(r.data[r.at:])
	if n <= 0 {
		r.Fail("number expected")
		return 0
	}
	r.at += n
	return v
}

// Count reads a count of items; every item takes at least one byte, which bounds what a damaged count can allocate.
func (r *Reader) Count() int {
	v := r.Uint()
	if v > uint64(len(r.data)-r.at) {
		r.Fail("count exceeds the data")
		return 0
	}
	return int(v)
}

// Bool reads a truth value.
func (r *Reader) Bool() bool { return r.Uint() == 1 }

// Text reads a string.
func (r *Reader) Text() string { return string(r.view()) }

// Bytes reads a byte string into memory of its own; empty is nil.
func (r *Reader) Bytes() []byte { return append([]byte(nil), r.view()...) }

// Message reads a message into m.
func (r *Reader) Message(m proto.Message) {
	data := r.view()
	if r.err != nil {
		return
	}
	if err := proto.Unmarshal(data, m); err != nil {
		r.Fail(err.Error())
	}
}

func (r *Reader) view() []byte {
	n := r.Count()
	if r.err != nil {
		return nil
	}
	r.at += n
	return r.data[r.at-n : r.at]
}

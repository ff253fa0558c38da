package disk

import (
	"encoding/binary"
	"hash/crc32"

	"godwitspindle/core/agreement"
)

const (
	headerSize  = 12      // bytes: length, payload checksum, header checksum
	sectorSize  = 512     // bytes; a disk writes a sector completely or not at all
	recordLimit = 1 << 30 // largest payload in bytes
)

var table = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(b, payload []byte) []byte {
	var h [headerSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, table))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], table))
	return append(append(b, h[:]...), payload...)
}

// recordStatus is the result of reading one record.
type recordStatus uint8

const (
	valid     recordStatus = iota + 1
	endOfFile              // no bytes remain after the previous record
	torn                   // the last record was not written completely
	damaged                // the bytes changed after they were written
)

// readRecord reads the record at an offset of a whole file and returns the offset after it.
func readRecord(file []byte, offset int) (payload []byte, next int, status recordStatus) {
	rest := file[offset:]
	if len(rest) == 0 {
		return nil, offset, endOfFile
	}
	if len(rest) < headerSize {
		return nil, offset, torn
	}
	n := int(binary.LittleEndian.Uint32(rest))
	if binary.LittleEndian.Uint32(rest[8:]) != crc32.Checksum(rest[:8], table) || n > recordLimit {
		return nil, offset, classifyTail(file, offset, min(offset+headerSize, len(file)))
	}
	if n > len(rest)-headerSize {
		return nil, offset, torn
	}
	next = offset + headerSize + n
	payload = rest[headerSize : headerSize+n]
	if binary.LittleEndian.Uint32(rest[4:]) == crc32.Checksum(payload, table) {
		return payload, next, valid
	}
	if next < len(file) {
		return nil, offset, damaged
	}
	return nil, offset, classifyTail(file, offset, next)
}

// classifyTail returns torn for a bad last record of which some sector is still all zero, and damaged for any other. A part of a
// sector counts if it has at least headerSize bytes. A bare header that is not all zero is torn only if it crosses the end of a
// sector and the file is all zero from there on.
func classifyTail(file []byte, first, end int) recordStatus {
	if end-first == headerSize && !allZero(file[first:]) {
		// A header across two sectors may be half written, but then nothing after it is written either.
		cut := (first/sectorSize + 1) * sectorSize
		if cut >= end || !allZero(file[cut:]) {
			return damaged
		}
		return torn
	}
	for a := first; a < end; {
		b := min((a/sectorSize+1)*sectorSize, end)
		if b-a >= headerSize && allZero(file[a:b]) {
			return torn
		}
		a = b
	}
	return damaged
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// Types of payload in a log segment, as stored in the first byte.
const (
	headerType  = 'H' // header of a segment: its sequence number
	startType   = 'M' // the log starts after a snapshot: index, term
	entriesType = 'E' // log entries: their number, then each entry
)

func encodeStart(index, term uint64) []byte {
	b := binary.AppendUvarint([]byte{startType}, index)
	return binary.AppendUvarint(b, term)
}

func encodeEntries(b []byte, entries []agreement.Entry) []byte {
	b = append(b, entriesType)
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for _, e := range entries {
		b = binary.AppendUvarint(b, e.Index)
		b = binary.AppendUvarint(b, e.Term)
		b = append(b, byte(e.Kind))
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

// cursor decodes the fields of a payload; bad is set at the first malformed one.
type cursor struct {
	data []byte
	bad  bool
}

func (c *cursor) uvarint() uint64 {
	v, n := binary.Uvarint(c.data)
	if n <= 0 {
		c.bad, c.data = true, nil
		return 0
	}
	c.data = c.data[n:]
	return v
}

func (c *cursor) bytes(n uint64) []byte {
	if n > uint64(len(c.data)) {
		c.bad, c.data = true, nil
		return nil
	}
	b := c.data[:n:n]
	c.data = c.data[n:]
	return b
}

func decodeEntries(payload []byte) ([]agreement.Entry, bool) {
	c := cursor{data: payload}
	n := c.uvarint()
	if n > uint64(len(payload)) {
		return nil, false
	}
	es := make([]agreement.Entry, 0, n)
	for range n {
		e := agreement.Entry{Index: c.uvarint(), Term: c.uvarint()}
		if k := c.bytes(1); len(k) == 1 {
			e.Kind = agreement.Kind(k[0])
		}
		e.Data = c.bytes(c.uvarint())
		es = append(es, e)
	}
	return es, !c.bad && len(c.data) == 0
}

func encodeSnapshot(s agreement.Snapshot) []byte {
	b := binary.AppendUvarint(nil, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	m := agreement.EncodeMembers(s.Members)
	b = binary.AppendUvarint(b, uint64(len(m)))
	b = append(b, m...)
	return append(b, s.Data...)
}

func decodeSnapshot(payload []byte) (agreement.Snapshot, bool) {
	c := cursor{data: payload}
	s := agreement.Snapshot{Index: c.uvarint(), Term: c.uvarint()}
	m, err := agreement.DecodeMembers(c.bytes(c.uvarint()))
	if c.bad || err != nil {
		return agreement.Snapshot{}, false
	}
	s.Members, s.Data = m, c.data
	return s, true
}

package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"godwitspindle/core/agreement"
)

func (l *Log) append(payload []byte) error {
	if l.size >= l.segmentSize {
		if err := l.startSegment(nil); err != nil {
			return err
		}
	}
	return l.flush(appendRecord(nil, payload))
}

// flush writes to the active segment and syncs it.
func (l *Log) flush(b []byte) error {
	if _, err := l.write(l.active, b); err != nil {
		return writeError(l.active.Name(), err)
	}
	l.size += int64(len(b))
	if err := l.sync(l.active); err != nil {
		return &SyncError{Path: l.active.Name(), Err: err}
	}
	return nil
}

// startSegment starts a new segment with the given records. The file gets its name by a rename after its content is
// synced, so that its header is always complete. Until then the present segment stays in use.
func (l *Log) startSegment(records []byte) error {
	head := append([]byte{headerType}, binary.AppendUvarint(nil, l.sequence+1)...)
	b := append(appendRecord([]byte(formatPrefix+"log\n"), head), records...)
	path := filepath.Join(l.folder, fmt.Sprintf("log-%016x", l.sequence+1))
	if err := l.writeNew(path, b); err != nil {
		return err
	}
	l.sequence++
	if err := l.syncFolder(l.folder); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return &FileError{Operation: "open of", Path: path, Err: err}
	}
	if l.active != nil {
		_ = l.active.Close()
	}
	l.active, l.size = f, int64(len(b))
	return nil
}

// listFiles returns the paths of the files PREFIX-NUMBER in order. It removes unfinished files (*.new) and fails on other names.
func (l *Log) listFiles(prefix string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(l.folder, prefix+"-*"))
	if err != nil {
		return nil, &FileError{Operation: "list of", Path: l.folder, Err: err}
	}
	var out []string
	for _, n := range names {
		if strings.HasSuffix(n, ".new") {
			_ = l.remove(n)
			continue
		}
		if _, ok := fileNumber(n); !ok {
			return nil, &ForeignError{Path: n, Reason: "its name is not " + prefix + "-NUMBER"}
		}
		out = append(out, n)
	}
	slices.Sort(out)
	return out, nil
}

func fileNumber(path string) (uint64, bool) {
	_, s, _ := strings.Cut(filepath.Base(path), "-")
	var n uint64
	_, err := fmt.Sscanf(s, "%016x", &n)
	return n, err == nil && s == fmt.Sprintf("%016x", n)
}

func (l *Log) readSnapshot() error {
	names, err := l.listFiles("snap")
	if err != nil || len(names) == 0 {
		return err
	}
	path := names[len(names)-1]
	b, err := readFile(path, "snap")
	if err != nil {
		return err
	}
	s, ok := decodeSnapshot(b)
	if n, _ := fileNumber(path); !ok || s.Index != n {
		return &DamagedError{Path: path, Reason: "it cannot be decoded or its index differs from the file name"}
	}
	l.loaded.Snapshot = s
	return nil
}

// replay collects the entries of the log while its segments are read.
type replay struct {
	startIndex, term uint64 // index and term of the entry before the first one in entries
	entries          []agreement.Entry
}

// setStart moves the start of the log up to an index. The entries after the index stay only if the log has an entry there with
// the same term. An index before the start, or the start itself with its term, changes nothing.
func (p *replay) setStart(index, term uint64) {
	switch {
	case index < p.startIndex:
		return
	case p.holds(index, term):
		p.entries = slices.Clone(p.entries[index-p.startIndex:])
	default:
		p.entries = nil
	}
	p.startIndex, p.term = index, term
}

// holds reports whether an index with its term is the start of the log or one of its entries. A snapshot that the log does not hold was
// saved without its segment, so the next entry would not follow the last one in the present segment.
func (p *replay) holds(index, term uint64) bool {
	if index == p.startIndex {
		return term == p.term
	}
	return index > p.startIndex && index-p.startIndex <= uint64(len(p.entries)) && p.entries[index-p.startIndex-1].Term == term
}

func (p *replay) add(es []agreement.Entry) bool {
	for _, e := range es {
		if e.Index <= p.startIndex || e.Index > p.startIndex+uint64(len(p.entries))+1 {
			return false
		}
		p.entries = append(p.entries[:e.Index-p.startIndex-1], e)
	}
	return true
}

func (p *replay) apply(payload []byte) bool {
	if len(payload) == 0 {
		return false
	}
	switch payload[0] {
	case headerType:
		return true
	case startType:
		c := cursor{data: payload[1:]}
		i, t := c.uvarint(), c.uvarint()
		if !c.bad {
			p.setStart(i, t)
		}
		return !c.bad
	case entriesType:
		es, ok := decodeEntries(payload[1:])
		return ok && p.add(es)
	}
	return false
}

func (l *Log) readSegments() error {
	names, err := l.listFiles("log")
	if err != nil {
		return err
	}
	s := l.loaded.Snapshot
	if len(names) == 0 {
		if s.Index > 0 || l.loaded.State != (agreement.HardState{}) {
			return &DamagedError{Path: l.folder, Reason: "the log segments are missing"}
		}
		return l.startSegment(appendRecord(nil, encodeStart(s.Index, s.Term)))
	}
	names = l.removeReplaced(names)
	p := &replay{}
	for i, n := range names {
		number, _ := fileNumber(n)
		if i > 0 && number != l.sequence+1 {
			return &DamagedError{Path: n, Reason: "the segment before it is missing"}
		}
		l.sequence = number
		if err := l.readSegment(n, i == len(names)-1, p); err != nil {
			return err
		}
	}
	if p.startIndex > s.Index {
		return &DamagedError{Path: l.folder, Reason: fmt.Sprintf("the snapshot at %d is missing", p.startIndex)}
	}
	follows := p.holds(s.Index, s.Term)
	p.setStart(s.Index, s.Term)
	if l.loaded.State == (agreement.HardState{}) && (s.Index > 1 || len(p.entries) > 0) {
		return &DamagedError{Path: filepath.Join(l.folder, "state"), Reason: "the file is missing but a log exists"}
	}
	l.loaded.Entries, l.tail = p.entries, slices.Clone(p.entries)
	if !follows {
		return l.startSegment(appendRecord(nil, encodeStart(s.Index, s.Term)))
	}
	return nil
}

// segmentHeadBytes is enough for the first line of a segment, its header and a start record.
const segmentHeadBytes = 128

// removeReplaced returns the segments from the newest one on that follows a snapshot, and removes those before it. That segment holds all
// entries after the snapshot. The removal of those before it may have been interrupted, and a power loss may undo some removals and keep
// others, so that the remaining ones need not follow each other.
func (l *Log) removeReplaced(names []string) []string {
	for i := len(names) - 1; i > 0; i-- {
		if !followsSnapshot(names[i]) {
			continue
		}
		for _, n := range names[:i] {
			_ = l.remove(n) // left over until the next snapshot or start, if it fails
		}
		return names[i:]
	}
	return names
}

// followsSnapshot reports whether a segment begins with a start record.
func followsSnapshot(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	head := make([]byte, segmentHeadBytes)
	n, err := io.ReadFull(f, head)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	head = head[:n]
	offset, err := checkFormat(path, "log", head)
	if err != nil {
		return false
	}
	_, offset, status := readRecord(head, offset)
	if status != valid {
		return false
	}
	payload, _, status := readRecord(head, offset)
	return status == valid && len(payload) > 0 && payload[0] == startType
}

// readSegment replays one segment. The last one becomes the active segment, and a torn record at its end is truncated.
func (l *Log) readSegment(path string, last bool, p *replay) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Operation: "read of", Path: path, Err: err}
	}
	offset, err := checkFormat(path, "log", b)
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		payload, next, status := readRecord(b, offset)
		switch {
		case status == valid && p.apply(payload) && first == (payload[0] == headerType):
			offset = next
			continue
		case status == endOfFile && !first:
		case status == torn && last && !first:
		default:
			return &DamagedError{Path: path, Offset: int64(offset), Reason: "checksum or length is wrong, or the record is out of order"}
		}
		break
	}
	if !last {
		return nil
	}
	if offset < len(b) {
		if err := l.change(Truncate, path, func() error { return os.Truncate(path, int64(offset)) }); err != nil {
			return err
		}
	}
	l.active, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return &FileError{Operation: "open of", Path: path, Err: err}
	}
	l.size = int64(offset)
	if err := l.sync(l.active); err != nil {
		return &SyncError{Path: path, Err: err}
	}
	return nil
}

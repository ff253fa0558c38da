package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"godwitspindle/core/agreement"
)

const defaultSegmentSize = 64 << 20 // bytes after which a new segment starts

// Option is an argument of Open that replaces a default of the Log.
type Option func(l *Log)

// WithName sets the replica's name, the first part of the identity NAME/INCARNATION.
func WithName(name string) Option { return func(l *Log) { l.name = name } }

// WithSegmentSize sets the size in bytes after which a new segment starts.
func WithSegmentSize(size int64) Option { return func(l *Log) { l.segmentSize = size } }

// WithWrite sets the function that writes to files, for fault injection.
func WithWrite(f func(f *os.File, b []byte) (int, error)) Option {
	return func(l *Log) { l.write = f }
}

// WithSync sets the function that syncs files and folders, for fault injection.
func WithSync(f func(f *os.File) error) Option { return func(l *Log) { l.sync = f } }

// WithFault sets a function that is called before a file is created, renamed, removed or truncated; its error, if any, replaces the
// operation, for fault injection.
func WithFault(f func(o Operation, path string) error) Option {
	return func(l *Log) { l.fault = f }
}

// Loaded is the state that a folder held when it was opened.
type Loaded struct {
	State    agreement.HardState
	Snapshot agreement.Snapshot
	Entries  []agreement.Entry // entries after the snapshot
	Identity string            // NAME/INCARNATION
}

// Log is a replica's data folder; it is not safe for concurrent use.
type Log struct {
	fileOps
	folder, name string
	segmentSize  int64
	lock, active *os.File
	size         int64  // size of the active segment, in bytes
	sequence     uint64 // number of the active segment
	loaded       Loaded
	tail         []agreement.Entry // entries after the snapshot; their data is shared with the protocol
	err          error             // first failure; every operation after it fails with *ClosedError
	closed       bool
	buffer       []byte
}

// Open locks and reads a folder, and creates it if it is missing. It fails with *DamagedError, *ForeignError, *FullError,
// *SyncError, *LockedError or *FileError.
func Open(folder string, opts ...Option) (*Log, error) {
	l := &Log{fileOps: osFileOps(), folder: folder, segmentSize: defaultSegmentSize}
	for _, o := range opts {
		o(l)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, writeError(folder, err)
	}
	f, err := lock(folder)
	if err != nil {
		return nil, err
	}
	l.lock = f
	if err := l.open(); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) open() error {
	id, err := l.identity(l.folder, l.name)
	if err != nil {
		return err
	}
	l.loaded.Identity = id
	if err := l.readState(); err != nil {
		return err
	}
	if err := l.readSnapshot(); err != nil {
		return err
	}
	return l.readSegments()
}

// Load returns the state that the folder held when it was opened.
func (l *Log) Load() (Loaded, error) {
	if err := l.usable(); err != nil {
		return Loaded{}, err
	}
	return l.loaded, nil
}

func (l *Log) usable() error {
	if l.err != nil || l.closed {
		return &ClosedError{Err: l.err}
	}
	return nil
}

// recordFailure keeps the first failure. The content of the files is uncertain from then on, so nothing may be written or
// acknowledged.
func (l *Log) recordFailure(err error) error {
	if err != nil && l.err == nil {
		l.err = err
	}
	return err
}

// Save makes state, snapshot and entries durable; the entries cost one fsync, and a new segment costs more. It fails with
// *FullError, *SyncError, *FileError or, after an earlier failure or Close, *ClosedError.
func (l *Log) Save(e agreement.Effects) error {
	if err := l.usable(); err != nil {
		return err
	}
	steps := []func() error{
		func() error { return l.saveState(e.State) },
		func() error { return l.saveReceivedSnapshot(e.Snapshot) },
	}
	if e.Snapshot != nil && e.Snapshot.Index == 1 {
		// A saved founding term without its member set would leave a replica that can neither promise nor adopt a founding.
		slices.Reverse(steps)
	}
	for _, f := range steps {
		if err := l.recordFailure(f()); err != nil {
			return err
		}
	}
	if len(e.Entries) == 0 {
		return nil
	}
	l.merge(e.Entries)
	l.buffer = encodeEntries(l.buffer[:0], e.Entries)
	return l.recordFailure(l.append(l.buffer))
}

// Compact saves a snapshot of the state machine and removes the log up to the index of the snapshot. After a *FullError the log is
// usable as before, and Compact may be called again; any other error ends its use, as in Save.
func (l *Log) Compact(s agreement.Snapshot) error {
	if err := l.usable(); err != nil {
		return err
	}
	n, _ := slices.BinarySearchFunc(l.tail, s.Index+1, func(e agreement.Entry, i uint64) int {
		return int(int64(e.Index) - int64(i))
	})
	err := l.saveSnapshot(s, slices.Clone(l.tail[n:]))
	if errors.As(err, new(*FullError)) {
		return err
	}
	return l.recordFailure(err)
}

// Close closes the files and unlocks the folder.
func (l *Log) Close() error {
	if l.closed {
		return nil
	}
	l.closed = true
	if l.active != nil {
		_ = l.active.Close()
	}
	return l.lock.Close()
}

// merge appends e to the entries after the snapshot, in place of all that are at or above the first index of e.
func (l *Log) merge(e []agreement.Entry) {
	if len(l.tail) > 0 {
		first := l.tail[0].Index
		keep := 0
		if e[0].Index > first {
			keep = min(int(e[0].Index-first), len(l.tail))
		}
		l.tail = l.tail[:keep]
	}
	l.tail = append(l.tail, e...)
}

func (l *Log) saveReceivedSnapshot(s *agreement.Snapshot) error {
	if s == nil {
		return nil
	}
	return l.saveSnapshot(*s, nil)
}

func (l *Log) saveState(s *agreement.HardState) error {
	if s == nil {
		return nil
	}
	return l.replace(filepath.Join(l.folder, "state"), "state", append(binary.AppendUvarint(nil, s.Term), s.Vote...))
}

func (l *Log) readState() error {
	path := filepath.Join(l.folder, "state")
	b, err := readFile(path, "state")
	if err != nil || b == nil {
		return err
	}
	c := cursor{data: b}
	l.loaded.State.Term = c.uvarint()
	if c.bad {
		return &DamagedError{Path: path, Reason: "the content is not a term and a vote"}
	}
	l.loaded.State.Vote = string(c.data)
	return nil
}

// saveSnapshot saves a snapshot, which makes the earlier ones useless, and starts a segment with the remaining entries, which makes the
// earlier segments useless. Earlier snapshots are removed first, so that only one is kept while a disk has no room for the segment.
func (l *Log) saveSnapshot(s agreement.Snapshot, remain []agreement.Entry) error {
	path := filepath.Join(l.folder, fmt.Sprintf("snap-%016x", s.Index))
	if err := l.replace(path, "snap", encodeSnapshot(s)); err != nil {
		return err
	}
	if err := l.removeOthers("snap-*", path); err != nil {
		return err
	}
	b := appendRecord(nil, encodeStart(s.Index, s.Term))
	if len(remain) > 0 {
		b = appendRecord(b, encodeEntries(nil, remain))
	}
	if err := l.startSegment(b); err != nil {
		return err
	}
	l.tail = remain
	return l.removeOthers("log-*", l.active.Name())
}

// removeOthers removes all files that match a pattern except the given one.
func (l *Log) removeOthers(pattern, except string) error {
	names, err := filepath.Glob(filepath.Join(l.folder, pattern))
	if err != nil {
		return &FileError{Operation: "list of", Path: l.folder, Err: err}
	}
	for _, n := range names {
		if n == except {
			continue
		}
		if err := l.remove(n); err != nil {
			return err
		}
	}
	return nil
}

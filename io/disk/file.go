package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	formatPrefix = "godwitspindle 1 "
	fileMode     = 0o600
)

// Operation is a change of a file other than a write or a sync.
type Operation string

// Operations that WithFault may let fail.
const (
	Create   Operation = "creation of"
	Rename   Operation = "rename to"
	Remove   Operation = "removal of"
	Truncate Operation = "truncation of"
)

// fileOps are the functions for all writes, syncs and other changes of files; tests replace them to inject faults.
type fileOps struct {
	write func(f *os.File, b []byte) (int, error)
	sync  func(f *os.File) error
	fault func(o Operation, path string) error // its error replaces the operation
}

func osFileOps() fileOps {
	return fileOps{
		write: func(f *os.File, b []byte) (int, error) { return f.Write(b) },
		sync:  func(f *os.File) error { return f.Sync() },
		fault: func(Operation, string) error { return nil },
	}
}

// change carries out an operation on a path unless fault replaces it by an error.
func (s fileOps) change(o Operation, path string, do func() error) error {
	err := s.fault(o, path)
	if err == nil {
		err = do()
	}
	return operationError(o, path, err)
}

func (s fileOps) create(path string) (f *os.File, err error) {
	err = s.change(Create, path, func() error {
		f, err = os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
		return err
	})
	return f, err
}

func (s fileOps) rename(from, to string) error {
	return s.change(Rename, to, func() error { return os.Rename(from, to) })
}

func (s fileOps) remove(path string) error {
	return s.change(Remove, path, func() error { return os.Remove(path) })
}

// writeNew creates or replaces a file by a synced one with the given content. The file is written under the name PATH.new, which is
// removed after a failure: on a full disk it would hold the last free space.
func (s fileOps) writeNew(path string, content []byte) (err error) {
	next := path + ".new"
	f, err := s.create(next)
	if err != nil {
		return err
	}
	defer func() {
		_ = f.Close()
		if err != nil {
			_ = s.remove(next) // an error of remove is ignored: err is the cause
		}
	}()
	if _, err := s.write(f, content); err != nil {
		return writeError(next, err)
	}
	if err := s.sync(f); err != nil {
		return &SyncError{Path: next, Err: err}
	}
	return s.rename(next, path)
}

// replace atomically replaces a file with one record; kind is the last word of its first line.
func (s fileOps) replace(path, kind string, payload []byte) error {
	if err := s.writeNew(path, appendRecord([]byte(formatPrefix+kind+"\n"), payload)); err != nil {
		return err
	}
	return s.syncFolder(filepath.Dir(path))
}

func (s fileOps) syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return &FileError{Operation: "open of", Path: folder, Err: err}
	}
	defer func() { _ = d.Close() }()
	if err := s.sync(d); err != nil {
		return &SyncError{Path: folder, Err: err}
	}
	return nil
}

// readFile returns the payload of a file with one record; nil when the file is missing.
func readFile(path, kind string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &FileError{Operation: "read of", Path: path, Err: err}
	}
	offset, err := checkFormat(path, kind, b)
	if err != nil {
		return nil, err
	}
	p, next, status := readRecord(b, offset)
	if status != valid || next != len(b) {
		return nil, &DamagedError{Path: path, Offset: int64(offset), Reason: "checksum or length is wrong"}
	}
	return p, nil
}

func checkFormat(path, kind string, b []byte) (int, error) {
	want := formatPrefix + kind + "\n"
	if !strings.HasPrefix(string(b), want) {
		return 0, &ForeignError{Path: path, Reason: "its first line is not \"" + strings.TrimSpace(want) + "\""}
	}
	return len(want), nil
}

func lock(folder string) (*os.File, error) {
	path := filepath.Join(folder, "lock")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, operationError("open of", path, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{Folder: folder}
		}
		return nil, &FileError{Operation: "lock of", Path: path, Err: err}
	}
	return f, nil
}

// identity returns the stored identity, NAME/INCARNATION, or on the first start creates one with a random incarnation. It fails
// if the folder belongs to a replica with another name, or holds other files but no identity.
func (s fileOps) identity(folder, name string) (string, error) {
	path := filepath.Join(folder, "identity")
	b, err := readFile(path, "identity")
	if err != nil {
		return "", err
	}
	if b != nil {
		stored, _, _ := strings.Cut(string(b), "/")
		if name != "" && stored != name {
			return "", &ForeignError{Path: path, Reason: "the folder belongs to replica " + stored}
		}
		return string(b), nil
	}
	for _, g := range []string{"log-*", "snap-*", "state"} {
		if others, err := filepath.Glob(filepath.Join(folder, g)); err != nil || len(others) > 0 {
			return "", &DamagedError{Path: path, Reason: "the file is missing but the folder has others"}
		}
	}
	var r [8]byte
	if _, err := rand.Read(r[:]); err != nil {
		return "", &FileError{Operation: "random for", Path: path, Err: err}
	}
	id := name + "/" + hex.EncodeToString(r[:])
	return id, s.replace(path, "identity", []byte(id))
}

// probeBytes is the free space that Probe requires: more than a few records, but less than any usable disk has free.
const probeBytes = 256 << 10

// unfinished are the patterns of the files that only an open log writes before they get their names.
var unfinished = []string{"log-*.new", "snap-*.new", "state.new"}

// Probe checks that a folder without an open log accepts writes; it fails with *FullError, *SyncError or *FileError. It first removes
// unfinished files that could not be removed before, since they may hold the last free space.
func Probe(folder string, opts ...Option) error {
	l := &Log{fileOps: osFileOps()}
	for _, o := range opts {
		o(l)
	}
	for _, pattern := range unfinished {
		names, _ := filepath.Glob(filepath.Join(folder, pattern))
		for _, n := range names {
			_ = l.remove(n) // the probe tells whether there is space without it
		}
	}
	path := filepath.Join(folder, "probe")
	if err := l.replace(path, "probe", make([]byte, probeBytes)); err != nil {
		return err
	}
	return l.remove(path)
}

// SaveFloor durably saves the lowest version that this node may serve.
func SaveFloor(folder string, version uint64) error {
	return osFileOps().replace(filepath.Join(folder, "floor"), "floor", binary.AppendUvarint(nil, version))
}

// LoadFloor returns the saved floor, or 0 if there is none; it fails with *DamagedError, *ForeignError or *FileError.
func LoadFloor(folder string) (uint64, error) {
	path := filepath.Join(folder, "floor")
	b, err := readFile(path, "floor")
	if err != nil || b == nil {
		return 0, err
	}
	c := cursor{data: b}
	v := c.uvarint()
	if c.bad || len(c.data) > 0 {
		return 0, &DamagedError{Path: path, Reason: "the content is not a number"}
	}
	return v, nil
}

package disk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"godwitspindle/core/agreement"
)

func entry(i, term uint64, data string) agreement.Entry {
	return agreement.Entry{Index: i, Term: term, Kind: agreement.Command, Data: []byte(data)}
}

var founding = agreement.Snapshot{Index: 1, Term: 1, Members: agreement.Members{Voters: []string{"a/1"}}}

// saves returns the effects of a small log: the founding, entries, and entries that overwrite earlier ones.
func saves() []agreement.Effects {
	return []agreement.Effects{
		{State: &agreement.HardState{Term: 1}, Snapshot: &founding},
		{State: &agreement.HardState{Term: 2, Vote: "a/1"}, Entries: []agreement.Entry{entry(2, 2, "x"), entry(3, 2, "y"), entry(4, 2, "z")}},
		{State: &agreement.HardState{Term: 3}, Entries: []agreement.Entry{entry(3, 3, "new"), entry(4, 3, "")}},
		{Entries: []agreement.Entry{entry(5, 3, "last")}},
	}
}

func writeLog(t *testing.T, folder string, opts ...Option) {
	t.Helper()
	l, err := Open(folder, append([]Option{WithName("a")}, opts...)...)
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	for _, e := range saves() {
		if err := l.Save(e); err != nil {
			t.Fatalf("Save: %v", err)
		}
	}
	_ = l.Close()
}

func load(folder string) (Loaded, error) {
	l, err := Open(folder, WithName("a"))
	if err != nil {
		return Loaded{}, err
	}
	defer func() { _ = l.Close() }()
	return l.Load()
}

func terms(es []agreement.Entry) []uint64 {
	var ts []uint64
	for _, e := range es {
		ts = append(ts, e.Term)
	}
	return ts
}

// Guards against state that is lost or changed in a restart, with one or many segments, and after compaction.
func TestReload(t *testing.T) {
	for name, opts := range map[string][]Option{"one segment": nil, "many segments": {WithSegmentSize(1)}} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeLog(t, folder, opts...)
			got, err := load(folder)
			if want := []uint64{2, 3, 3, 3}; err != nil || !reflect.DeepEqual(terms(got.Entries), want) {
				t.Fatalf("terms: got %v, %v, want %v", terms(got.Entries), err, want)
			}
			if want := (agreement.HardState{Term: 3}); got.State != want {
				t.Errorf("state: got %v, want %v", got.State, want)
			}
			l, err := Open(folder, opts...)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Open(folder); !errors.As(err, new(*LockedError)) {
				t.Errorf("second Open: got %v, want *LockedError", err)
			}
			if err := l.Compact(agreement.Snapshot{Index: 4, Term: 3, Members: founding.Members, Data: []byte("s")}); err != nil {
				t.Fatal(err)
			}
			_ = l.Close()
			again, err := load(folder)
			if err != nil || len(again.Entries) != 1 || string(again.Snapshot.Data) != "s" || again.Identity != got.Identity {
				t.Errorf("after Compact: got %+v, %v, want the snapshot, entry 5 and the same identity", again, err)
			}
		})
	}
}

func lastMatch(t *testing.T, folder, pattern string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, pattern))
	if err != nil || len(names) == 0 {
		t.Fatalf("no %s in %s", pattern, folder)
	}
	return names[len(names)-1]
}

// Guards against acknowledged entries that are dropped silently: a log truncated at any byte of its last record loses only that
// record, zeros after the last record change nothing, and a changed byte anywhere makes Open fail.
func TestDamageAtEveryByte(t *testing.T) {
	base := t.TempDir()
	writeLog(t, base)
	whole, err := os.ReadFile(lastMatch(t, base, "log-*"))
	if err != nil {
		t.Fatal(err)
	}
	last := len(whole) - len(appendRecord(nil, encodeEntries(nil, saves()[3].Entries)))
	full, short := []uint64{2, 3, 3, 3}, []uint64{2, 3, 3}
	for offset := range whole {
		for name, c := range map[string]struct {
			bytes []byte
			want  []uint64 // nil for *DamagedError or *ForeignError
		}{
			"flip": {bytes.Join([][]byte{whole[:offset], {whole[offset] ^ 0x41}, whole[offset+1:]}, nil), nil},
			"cut":  {whole[:offset], short},
			"zero": {append(bytes.Clone(whole), make([]byte, offset)...), full},
		} {
			if name == "cut" && offset < last {
				continue // a file system that loses synced bytes cannot be distinguished from one that never wrote them
			}
			folder := t.TempDir()
			if err := os.CopyFS(folder, os.DirFS(base)); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(lastMatch(t, folder, "log-*"), c.bytes, fileMode); err != nil {
				t.Fatal(err)
			}
			got, err := load(folder)
			if c.want == nil {
				if !errors.As(err, new(*DamagedError)) && !errors.As(err, new(*ForeignError)) {
					t.Fatalf("%s at %d: got %v, want *DamagedError or *ForeignError", name, offset, err)
				}
				continue
			}
			if err != nil || !reflect.DeepEqual(terms(got.Entries), c.want) {
				t.Fatalf("%s at %d: got %v, %v, want %v", name, offset, terms(got.Entries), err, c.want)
			}
		}
	}
}

// Guards against a torn write of several sectors that is reported as damage, so that a replica cannot start after a power loss.
func TestTornSectors(t *testing.T) {
	folder := t.TempDir()
	writeLog(t, folder)
	path := lastMatch(t, folder, "log-*")
	b, _ := os.ReadFile(path)
	n := len(b)
	b = appendRecord(b, encodeEntries(nil, []agreement.Entry{entry(6, 3, string(bytes.Repeat([]byte("x"), 2000)))}))
	clear(b[n+600 : n+1700]) // the last sector was written, those before it were not
	if err := os.WriteFile(path, b, fileMode); err != nil {
		t.Fatal(err)
	}
	if got, err := load(folder); err != nil || len(got.Entries) != 4 {
		t.Fatalf("got %d entries, %v, want 4", len(got.Entries), err)
	}
}

// Guards against a folder with missing or foreign files that is treated as empty or valid.
func TestMissingAndForeign(t *testing.T) {
	for _, pattern := range []string{"identity", "state", "snap-*", "log-*"} {
		for name, change := range map[string]func(path string) error{
			"missing": os.Remove,
			"foreign": func(path string) error { return os.WriteFile(path, []byte("other program\n"), fileMode) },
		} {
			t.Run(pattern+" "+name, func(t *testing.T) {
				folder := t.TempDir()
				writeLog(t, folder)
				if err := change(lastMatch(t, folder, pattern)); err != nil {
					t.Fatal(err)
				}
				_, err := load(folder)
				if name == "missing" && !errors.As(err, new(*DamagedError)) {
					t.Errorf("got %v, want *DamagedError", err)
				}
				if name == "foreign" && !errors.As(err, new(*ForeignError)) {
					t.Errorf("got %v, want *ForeignError", err)
				}
			})
		}
	}
}

// Guards against a log that continues or acknowledges after a full disk or a failed sync at any of its operations, and against
// a folder that cannot be opened afterwards.
func TestFaultAtEveryOperation(t *testing.T) {
	for name, c := range map[string]struct {
		write, sync error
		want        any
	}{
		"full": {write: syscall.ENOSPC, want: new(*FullError)},
		"sync": {sync: syscall.EIO, want: new(*SyncError)},
	} {
		t.Run(name, func(t *testing.T) {
			for successes := 0; ; successes++ {
				folder, remaining := t.TempDir(), successes
				fails := func(err error) error {
					if err != nil {
						remaining--
					}
					if remaining < 0 {
						return err
					}
					return nil
				}
				l, err := Open(folder, WithName("a"), WithWrite(func(f *os.File, b []byte) (int, error) {
					if err := fails(c.write); err != nil {
						n, _ := f.Write(b[:len(b)/2])
						return n, err
					}
					return f.Write(b)
				}), WithSync(func(*os.File) error { return fails(c.sync) }))
				acknowledged := 0
				for _, e := range saves() {
					if err == nil {
						if err = l.Save(e); err == nil {
							acknowledged++
						}
					}
				}
				if l != nil {
					if err != nil && !errors.As(l.Save(saves()[1]), new(*ClosedError)) {
						t.Fatalf("fault %d: Save after a failure: got no *ClosedError, want one", successes)
					}
					_ = l.Close()
				}
				if err == nil {
					return
				}
				if !errors.As(err, c.want) {
					t.Fatalf("fault %d: got %v, want %T", successes, err, c.want)
				}
				got, err := load(folder)
				if err != nil || len(got.Entries) < []int{0, 0, 3, 3, 4}[acknowledged] {
					t.Fatalf("fault %d: reload after %d acknowledged saves: got %d entries, error %v", successes, acknowledged, len(got.Entries), err)
				}
			}
		})
	}
}

// Guards against a floor that is lost, or replaced by a guess when its file is damaged.
func TestFloor(t *testing.T) {
	folder := t.TempDir()
	if got, err := LoadFloor(folder); got != 0 || err != nil {
		t.Fatalf("no floor: got %d, %v, want 0", got, err)
	}
	if err := SaveFloor(folder, 300); err != nil {
		t.Fatal(err)
	}
	if got, err := LoadFloor(folder); got != 300 || err != nil {
		t.Fatalf("floor: got %d, %v, want 300", got, err)
	}
	path := filepath.Join(folder, "floor")
	b, _ := os.ReadFile(path)
	b[len(b)-1] ^= 1
	_ = os.WriteFile(path, b, fileMode)
	if _, err := LoadFloor(folder); !errors.As(err, new(*DamagedError)) {
		t.Fatalf("damaged floor: got %v, want *DamagedError", err)
	}
}

// Guards against a record reader or decoder that panics, reads past the end or accepts bytes that the writer cannot produce.
func FuzzReadRecord(f *testing.F) {
	good := appendRecord(nil, encodeEntries(nil, saves()[1].Entries))
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(bytes.Clone(good), make([]byte, 600)...))
	f.Add(appendRecord(nil, encodeSnapshot(founding)))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, next, status := readRecord(b, 0)
		if status == 0 || next > len(b) {
			t.Fatalf("got status %d and next offset %d of %d bytes, want a status and at most that offset", status, next, len(b))
		}
		if status == 1 && !bytes.Equal(appendRecord(nil, p), b[:next]) {
			t.Fatal("a valid record differs from the one that the writer makes of its payload")
		}
		_ = (&replay{}).apply(b)
		_, _ = decodeSnapshot(b)
	})
}

// Guards against an acknowledged save that a power loss undoes: before Save or Compact returns, each file must be synced after
// its last write, and the folder after each new name.
func TestSavesAreSynced(t *testing.T) {
	folder := t.TempDir()
	dirty, folders := map[string]bool{}, 0
	l, err := Open(folder, WithName("a"), WithWrite(func(f *os.File, b []byte) (int, error) {
		dirty[f.Name()] = true
		return f.Write(b)
	}), WithSync(func(f *os.File) error {
		delete(dirty, f.Name())
		if f.Name() == folder {
			folders++
		}
		return f.Sync()
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	check := func(step string, names int, save func() error) {
		t.Helper()
		folders = 0
		if err := save(); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		if len(dirty) > 0 || folders < names {
			t.Errorf("%s: got unsynced files %v and %d syncs of the folder, want none and at least %d", step, dirty, folders, names)
		}
	}
	for i, e := range saves() {
		check(fmt.Sprint("save ", i), []int{3, 1, 1, 0}[i], func() error { return l.Save(e) })
	}
	check("compact", 2, func() error { return l.Compact(agreement.Snapshot{Index: 4, Term: 3, Members: founding.Members}) })
}

// Guards against a snapshot that loses the outgoing voters of a replacement, so that a restarted replica needs one majority only.
func TestSnapshotOfReplacement(t *testing.T) {
	folder := t.TempDir()
	writeLog(t, folder)
	l, err := Open(folder, WithName("a"))
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	want := agreement.Members{Voters: []string{"a/1", "b/1"}, Outgoing: []string{"a/1", "c/1"}}
	if err := l.Compact(agreement.Snapshot{Index: 4, Term: 3, Members: want, Data: []byte("s")}); err != nil {
		t.Fatalf("Compact: %v", err)
	}
	_ = l.Close()
	loaded, err := load(folder)
	if got := loaded.Snapshot.Members; err != nil || !reflect.DeepEqual(got.Voters, want.Voters) || !reflect.DeepEqual(got.Outgoing, want.Outgoing) {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
}

// Guards against a folder that cannot be opened, or loses entries, after a power loss or a kill while a snapshot replaces several
// segments: each removal of a file may last or not, whatever came of the others.
func TestInterruptedRemovals(t *testing.T) {
	base, before := t.TempDir(), t.TempDir()
	writeLog(t, base, WithSegmentSize(1))
	if err := os.CopyFS(before, os.DirFS(base)); err != nil {
		t.Fatal(err)
	}
	l, err := Open(base, WithName("a"), WithSegmentSize(1))
	if err == nil {
		err = l.Compact(agreement.Snapshot{Index: 4, Term: 3, Members: founding.Members, Data: []byte("s")})
	}
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	var removed []string
	for _, pattern := range []string{"log-*", "snap-*"} {
		names, _ := filepath.Glob(filepath.Join(before, pattern))
		for _, n := range names {
			if _, err := os.Stat(filepath.Join(base, filepath.Base(n))); err != nil {
				removed = append(removed, n)
			}
		}
	}
	if len(removed) < 4 {
		t.Fatalf("got %v removed, want three segments and a snapshot", removed)
	}
	for kept := range 1 << len(removed) {
		folder, names := t.TempDir(), []string{}
		err := os.CopyFS(folder, os.DirFS(base))
		for i, n := range removed {
			if kept>>i&1 == 0 || err != nil {
				continue
			}
			var b []byte
			names = append(names, filepath.Base(n))
			if b, err = os.ReadFile(n); err == nil {
				err = os.WriteFile(filepath.Join(folder, filepath.Base(n)), b, fileMode)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
		got, err := load(folder)
		if err != nil || string(got.Snapshot.Data) != "s" || len(got.Entries) != 1 || got.Entries[0].Index != 5 {
			t.Errorf("with %v not removed: got snapshot %d and %d entries, %v, want the snapshot at 4 and entry 5", names, got.Snapshot.Index, len(got.Entries), err)
		}
	}
}

package disk

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"godwitspindle/core/agreement"
)

var update = flag.Bool("update", false, "rewrite golden files")

// faultyDisk fails one of the operations of a step, the one with the number failing, and lists all of them.
type faultyDisk struct {
	armed   bool
	failing int
	full    bool // operations after the failing one fail too
	seen    []string
}

func (d *faultyDisk) fault(operation, path string, failure error) error {
	if !d.armed {
		return nil
	}
	d.seen = append(d.seen, operation+" "+filepath.Base(path))
	n := len(d.seen) - 1
	if n == d.failing || d.full && n > d.failing {
		return failure
	}
	return nil
}

func (d *faultyDisk) options() []Option {
	return []Option{
		WithName("a"), WithSegmentSize(200),
		WithWrite(func(f *os.File, b []byte) (int, error) {
			if err := d.fault("write of", f.Name(), syscall.ENOSPC); err != nil {
				n, _ := f.Write(b[:len(b)/2])
				return n, err
			}
			return f.Write(b)
		}),
		WithSync(func(f *os.File) error {
			if d.full {
				return nil // a full disk syncs what it took
			}
			name := f.Name()
			if i, err := f.Stat(); err == nil && i.IsDir() {
				name = "folder"
			}
			return d.fault("sync of", name, syscall.EIO)
		}),
		WithFault(func(o Operation, path string) error { return d.fault(string(o), path, syscall.ENOSPC) }),
	}
}

// diskStep is one of the steps that write; its operations fail one by one.
type diskStep struct {
	name   string
	before int // number of the saves of the log before it
	do     func(l *Log) error
}

func diskSteps() []diskStep {
	long := entry(6, 3, strings.Repeat("x", 200))
	received := agreement.Snapshot{Index: 9, Term: 4, Members: founding.Members, Data: []byte("s")}
	taken := agreement.Snapshot{Index: 4, Term: 3, Members: founding.Members, Data: []byte("s")}
	return []diskStep{
		{"append", 4, func(l *Log) error { return l.Save(agreement.Effects{Entries: []agreement.Entry{long}}) }},
		{"append to a new segment", 4, func(l *Log) error {
			l.size = l.segmentSize
			return l.Save(agreement.Effects{Entries: []agreement.Entry{long}})
		}},
		{"vote", 4, func(l *Log) error {
			return l.Save(agreement.Effects{State: &agreement.HardState{Term: 4, Vote: "b/1"}})
		}},
		{"install", 4, func(l *Log) error {
			return l.Save(agreement.Effects{State: &agreement.HardState{Term: 4}, Snapshot: &received})
		}},
		{"founding", 0, func(l *Log) error { return l.Save(saves()[0]) }},
		{"compaction", 4, func(l *Log) error { return l.Compact(taken) }},
	}
}

// play carries out a step with a fault and describes what came of it.
func (s diskStep) play(t *testing.T, d *faultyDisk) string {
	t.Helper()
	folder := t.TempDir()
	l, err := Open(folder, d.options()...)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for _, e := range saves()[:s.before] {
		if err := l.Save(e); err != nil {
			t.Fatal(err)
		}
	}
	d.armed = true
	err = s.do(l)
	d.armed = false
	use := "the log is closed"
	if l.Save(agreement.Effects{State: &agreement.HardState{Term: 9}}) == nil {
		use = "the log goes on"
	}
	left, _ := filepath.Glob(filepath.Join(folder, "*.new"))
	_ = l.Close()
	got, loadErr := load(folder)
	if loadErr != nil || s.before == 4 && got.Snapshot.Index+uint64(len(got.Entries)) < 5 || s.before == 4 && got.State.Term < 3 {
		t.Errorf("%s with %v: got %+v (%v) after a reload, want term 3 and the entries up to 5", s.name, d.seen, got, loadErr)
	}
	if got.Snapshot.Index > 0 {
		checkGoesOn(t, fmt.Sprint(s.name, " with ", d.seen), folder, got)
	}
	return fmt.Sprintf("%s; %s; unfinished files %d; reload: snapshot %d, entries up to %d",
		errorType(err), use, len(left), got.Snapshot.Index, got.Snapshot.Index+uint64(len(got.Entries)))
}

// checkGoesOn checks that a folder takes the next entry, and has it after one more start.
func checkGoesOn(t *testing.T, what, folder string, from Loaded) {
	t.Helper()
	next := from.Snapshot.Index + uint64(len(from.Entries)) + 1
	l, err := Open(folder, WithName("a"))
	if err == nil {
		err = l.Save(agreement.Effects{State: &agreement.HardState{Term: 9}, Entries: []agreement.Entry{entry(next, 9, "next")}})
		_ = l.Close()
	}
	got, loadErr := load(folder)
	if err != nil || loadErr != nil || len(got.Entries) == 0 || got.Entries[len(got.Entries)-1].Index != next {
		t.Errorf("%s: got %+v (%v, %v) after the next entry %d, want it at the end", what, got, err, loadErr, next)
	}
}

func errorType(err error) string {
	for name, target := range map[string]any{"full": new(*FullError), "sync": new(*SyncError), "file": new(*FileError)} {
		if errors.As(err, target) {
			return name
		}
	}
	return fmt.Sprint(err)
}

// Guards, at each operation of each step, against a log that goes on after a failure that leaves its files uncertain, against one that
// ends for want of room for a snapshot, against unfinished files that hold the last free space of a disk, and against a folder that
// cannot be opened afterwards. The golden file is the table of docs/incidents/full-disks-in-turn.md.
func TestFailureAtEachStep(t *testing.T) {
	var text strings.Builder
	for _, s := range diskSteps() {
		for n := 0; ; n++ {
			d := &faultyDisk{failing: n}
			result := s.play(t, d)
			if n >= len(d.seen) {
				break
			}
			fmt.Fprintf(&text, "%s: %s: %s\n", s.name, d.seen[n], result)
		}
	}
	path := filepath.Join("testdata", "failures.txt")
	if *update {
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if got := text.String(); err != nil || got != string(want) {
		t.Errorf("got (%v)\n%s\nwant\n%s", err, got, want)
	}
}

// Guards against a folder that cannot be opened, or loses what was acknowledged, after a disk that refuses everything from any
// operation of a step on.
func TestFullFromEachOperation(t *testing.T) {
	for _, s := range diskSteps() {
		for n := 0; ; n++ {
			d := &faultyDisk{failing: n, full: true}
			s.play(t, d)
			if n >= len(d.seen) {
				break
			}
		}
	}
}

// Guards against a process that ends because its quota is used up or its files may not grow, which is a full disk to it.
func TestWhatCountsAsFull(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		d := &faultyDisk{armed: true}
		_, err := Open(t.TempDir(), append(d.options(), WithFault(func(Operation, string) error { return &os.PathError{Err: cause} }))...)
		if !errors.As(err, new(*FullError)) || !errors.Is(err, cause) {
			t.Errorf("%v: got %v, want a *FullError with this cause", cause, err)
		}
	}
}

// Guards against a folder whose torn last record cannot be cut off for want of room, which must be a full disk and not the end of the
// replica, and against a probe that leaves its file, or one that fails for good because of an unfinished file that could not be removed.
func TestReopenOnFullDisk(t *testing.T) {
	folder := t.TempDir()
	writeLog(t, folder)
	path := lastMatch(t, folder, "log-*")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b[:len(b)-3], fileMode); err != nil {
		t.Fatal(err)
	}
	for _, o := range []Operation{Create, Rename, Remove, Truncate} {
		refuse := WithFault(func(got Operation, _ string) error {
			if got == o {
				return syscall.ENOSPC
			}
			return nil
		})
		if err := Probe(folder, refuse); o != Truncate && !errors.As(err, new(*FullError)) {
			t.Errorf("Probe without %s: got %v, want *FullError", o, err)
		}
		if err := Probe(folder); err != nil {
			t.Errorf("Probe after one without %s: got %v", o, err)
		}
		l, err := Open(folder, WithName("a"), refuse)
		if want := o == Truncate; errors.As(err, new(*FullError)) != want {
			t.Errorf("Open without %s: got %v, want a *FullError: %v", o, err, want)
		}
		if l != nil {
			_ = l.Close()
		}
		if o != Truncate {
			if err := os.WriteFile(path, b[:len(b)-3], fileMode); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got, err := load(folder); err != nil || len(got.Entries) != 3 {
		t.Errorf("got %d entries, %v, want 3", len(got.Entries), err)
	}
	unfinished := filepath.Join(folder, "snap-0000000000000009.new")
	if err := os.WriteFile(unfinished, []byte("part"), fileMode); err != nil {
		t.Fatal(err)
	}
	if err := Probe(folder); err != nil {
		t.Errorf("Probe with an unfinished file: got %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(folder, "*.new")); len(left) > 0 {
		t.Errorf("unfinished files after a probe: got %v, want none", left)
	}
	if left, _ := filepath.Glob(filepath.Join(folder, "probe*")); len(left) > 0 {
		t.Errorf("files of the probe: got %v, want none", left)
	}
}

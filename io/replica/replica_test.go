package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
)

// group is a set of replicas with in-memory delivery and a counter as the state machine.
type group struct {
	t       testing.TB
	mu      sync.Mutex
	members map[string]*Replica          // by name
	states  map[string]*atomic.Uint64    // number of applied commands, by name
	cut     map[string]bool              // whether a replica is isolated, by name
	drop    func(agreement.Message) bool // reports whether a message is lost; nil for none
	names   []string                     // names of the initial voters
	opts    []Option                     // for replicas that start later
	syncs   atomic.Int64                 // syncs of all replicas
}

func newGroup(t testing.TB, names []string, opts ...Option) *group {
	_ = t.TempDir() // the removal of all temporary folders is registered now, so it runs after the replicas have been closed
	g := &group{t: t, members: map[string]*Replica{}, states: map[string]*atomic.Uint64{}, cut: map[string]bool{}, names: names, opts: opts}
	for _, n := range names {
		g.start(n, t.TempDir())
	}
	t.Cleanup(func() {
		for _, r := range g.members {
			_ = r.Close()
		}
	})
	return g
}

func (g *group) start(name, folder string) *Replica {
	state := &atomic.Uint64{}
	opts := append([]Option{
		WithFolder(folder), WithName(name), WithFounders(g.names...), WithElection(200*time.Millisecond, 20*time.Millisecond),
		WithSend(func(m agreement.Message) {
			g.mu.Lock()
			to := g.members[agreement.Name(m.To)]
			drop := g.cut[name] || g.cut[agreement.Name(m.To)] || g.drop != nil && g.drop(m)
			g.mu.Unlock()
			if to != nil && !drop {
				to.Step(m)
			}
		}),
		WithApply(func(uint64, *wire.Command) *wire.Result {
			return &wire.Result{Version: state.Add(1)}
		}),
		WithVersion(state.Load),
		WithMarshal(func() ([]byte, error) { return binary.AppendUvarint(nil, state.Load()), nil }),
		WithRestore(func(b []byte) error {
			v, _ := binary.Uvarint(b)
			state.Store(v)
			return nil
		}),
		WithDisk(disk.WithSync(func(f *os.File) error {
			g.syncs.Add(1)
			return f.Sync()
		})),
	}, g.opts...)
	r, err := New(opts...)
	if err != nil {
		g.t.Fatalf("New(%s): %v", name, err)
	}
	g.mu.Lock()
	g.members[name], g.states[name] = r, state
	g.mu.Unlock()
	return r
}

func (g *group) isolate(name string, cut bool) {
	g.mu.Lock()
	g.cut[name] = cut
	g.mu.Unlock()
}

// await waits until a condition holds; it fails the test after 10 s.
func (g *group) await(what string, ok func() bool) {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	g.t.Fatalf("timed out after 10 s: %s", what)
}

// leader waits until a replica confirms a read and returns that replica.
func (g *group) leader() *Replica {
	g.t.Helper()
	var found *Replica
	g.await("leader", func() bool {
		for _, r := range g.members {
			ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, err := r.Read(ctx)
			stop()
			if err == nil {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

func (g *group) propose(r *Replica, n int) uint64 {
	g.t.Helper()
	var v uint64
	for range n {
		a, err := r.Propose(context.Background(), &wire.Command{})
		if err != nil {
			g.t.Fatalf("Propose: %v", err)
		}
		v = a.GetVersion()
	}
	return v
}

var threeNames = []string{"a", "b", "c"}

// Guards against a proposal that is lost, applied twice or answered before its commit, and against reads that miss it.
func TestProposeAndRead(t *testing.T) {
	g := newGroup(t, threeNames)
	l := g.leader()
	if got, want := g.propose(l, 20), uint64(20); got != want {
		t.Fatalf("version: got %d, want %d", got, want)
	}
	if got, err := l.Read(t.Context()); got != 20 || err != nil {
		t.Fatalf("Read: got %d, %v, want 20", got, err)
	}
	for n, r := range g.members {
		g.await("apply on "+n, func() bool { return g.states[n].Load() == 20 && r.Confirmed() >= 0 })
		if r == l {
			continue
		}
		_, err := r.Propose(t.Context(), &wire.Command{})
		var e *agreement.NotLeaderError
		if !errors.As(err, &e) || e.Leader != l.ID() {
			t.Fatalf("Propose on a follower: got %v, want a *NotLeaderError naming %s", err, l.ID())
		}
	}
}

// Guards against a leader in a silent partition that still commits or confirms reads, and against a proposal with an unknown
// outcome that is reported as rejected.
func TestSilentPartition(t *testing.T) {
	g := newGroup(t, threeNames)
	old := g.leader()
	g.propose(old, 3)
	g.isolate(agreement.Name(old.ID()), true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // many election timeouts; neither call would end if the leader did not step down
	defer cancel()
	_, err := old.Propose(ctx, &wire.Command{})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) || ctx.Err() != nil {
		t.Fatalf("Propose behind the partition: got %v (%v), want *UnknownOutcomeError in time", err, ctx.Err())
	}
	if _, err := old.Read(ctx); err == nil || ctx.Err() != nil {
		t.Fatalf("Read behind the partition: got %v (%v), want an error in time", err, ctx.Err())
	}
	l := g.leader()
	if l == old {
		t.Fatal("leader: got the replica behind the partition")
	}
	g.propose(l, 3)
	g.isolate(agreement.Name(old.ID()), false)
	g.await("catch-up", func() bool { return g.states[agreement.Name(old.ID())].Load() == 6 })
}

// Guards, for each group size, against a replica that lost its disk and returns as a voter under its old identity, against a
// learner that is promoted before it has caught up, and against lost data when a second replica fails right after.
func TestReplacementThenSecondLoss(t *testing.T) {
	for _, names := range [][]string{threeNames, {"a", "b", "c", "d", "e"}, {"a", "b", "c", "d", "e", "f", "g"}} {
		t.Run(string(rune('0'+len(names))), func(t *testing.T) {
			g := newGroup(t, names, WithCompaction(10, 1<<20))
			l := g.leader()
			g.propose(l, 25)
			lost := names[0]
			if agreement.Name(l.ID()) == lost {
				lost = names[1]
			}
			old := g.members[lost].ID()
			_ = g.members[lost].Close()
			n := g.start(lost, t.TempDir())
			if n.ID() == old {
				t.Fatal("identity: got the old one on an empty folder")
			}
			time.Sleep(600 * time.Millisecond)
			if got, want := n.Status().Role, agreement.Waiting; got != want {
				t.Fatalf("role with an empty folder: got %v, want %v", got, want)
			}
			if err := l.Promote(t.Context(), n.ID()); err == nil {
				t.Fatal("Promote of a replica that is not a member: got no error")
			}
			if err := l.AddLearner(t.Context(), n.ID()); err != nil {
				t.Fatalf("AddLearner: %v", err)
			}
			g.await("promotion", func() bool { return l.Promote(t.Context(), n.ID()) == nil })
			got := l.Status().Members
			if len(got.Voters) != len(names) || got.Has(old) || !got.Has(n.ID()) {
				t.Fatalf("members: got %v, want %s instead of %s", got, n.ID(), old)
			}
			_ = l.Close()
			if g.propose(g.leader(), 1) < 26 {
				t.Fatal("after the second loss: accepted commands are missing")
			}
		})
	}
}

// Guards against replicas that lose their disks together and found a second member set, and against a minority that still
// elects a leader.
func TestTwoLostDisks(t *testing.T) {
	g := newGroup(t, threeNames)
	g.propose(g.leader(), 5)
	for _, n := range []string{"a", "b"} {
		_ = g.members[n].Close()
		g.start(n, t.TempDir())
	}
	time.Sleep(time.Second)
	for n, r := range g.members {
		if s := r.Status(); s.Role == agreement.Leader || n != "c" && s.Role != agreement.Waiting {
			t.Errorf("%s: got role %v with two of three disks lost", n, s.Role)
		}
	}
	if got := g.states["c"].Load(); got != 5 {
		t.Errorf("state of the remaining replica: got %d, want 5", got)
	}
}

// Guards against a replica that runs on or acknowledges after its disk failed, and against state lost in a restart.
func TestDiskFailureAndRestart(t *testing.T) {
	var broken atomic.Pointer[string]
	folder := t.TempDir()
	g := newGroup(t, []string{"a"})
	_ = g.members["a"].Close()
	g.opts = []Option{WithCompaction(7, 1<<20), WithDisk(disk.WithSync(func(f *os.File) error {
		if broken.Load() != nil {
			return os.ErrInvalid
		}
		return f.Sync()
	}))}
	g.start("a", folder)
	g.propose(g.leader(), 10)
	fault := "sync"
	broken.Store(&fault)
	_, err := g.members["a"].Propose(t.Context(), &wire.Command{})
	var unknown *UnknownOutcomeError
	var failed *disk.SyncError
	if !errors.As(err, &unknown) {
		t.Fatalf("Propose: got %v, want *UnknownOutcomeError", err)
	}
	<-g.members["a"].Done()
	if !errors.As(g.members["a"].Err(), &failed) {
		t.Fatalf("Err: got %v, want *disk.SyncError", g.members["a"].Err())
	}
	broken.Store(nil)
	g.start("a", folder)
	g.leader()
	if got := g.states["a"].Load(); got < 10 {
		t.Fatalf("state after restart: got %d, want at least 10", got)
	}
}

// Guards against an acknowledged entry that a power loss erases: a follower must not answer the leader before its sync has
// returned, so an entry that only the leader has synced must not be committed.
func TestNoAnswerBeforeSync(t *testing.T) {
	var slow atomic.Bool
	var leader atomic.Pointer[string] // name of the leader, whose syncs are not delayed
	g := newGroup(t, nil)
	g.names = []string{"a", "b", "c"}
	for _, n := range g.names {
		g.opts = []Option{WithDisk(disk.WithSync(func(f *os.File) error {
			for l := leader.Load(); slow.Load() && l != nil && *l != n; {
				time.Sleep(time.Millisecond)
			}
			return f.Sync()
		}))}
		g.start(n, t.TempDir())
	}
	r := g.leader()
	g.propose(r, 1)
	name := agreement.Name(r.Status().ID)
	leader.Store(&name)
	slow.Store(true)
	defer slow.Store(false)
	before := r.Status().Commit
	answered := make(chan error, 1)
	go func() {
		_, err := r.Propose(t.Context(), &wire.Command{})
		answered <- err
	}()
	time.Sleep(100 * time.Millisecond) // half an election timeout; the leader steps down after a whole one
	if got := r.Status().Commit; got != before {
		t.Errorf("commit while no follower has synced: got %d, want %d", got, before)
	}
	slow.Store(false)
	<-answered
}

// Guards against a status that lacks an answered change: if it is published only after the whole round,
// TestNoAnswerBeforeSync can read the commit index of the previous round.
func TestStatusHoldsWhatWasAnswered(t *testing.T) {
	const slow = 20 * time.Millisecond // time to apply each change
	g := newGroup(t, []string{"a"}, WithApply(func(uint64, *wire.Command) *wire.Result {
		time.Sleep(slow)
		return &wire.Result{}
	}))
	r := g.leader()
	before := r.Status().Commit
	var wait sync.WaitGroup
	var answered atomic.Uint64
	for range 8 {
		wait.Go(func() {
			if _, err := r.Propose(t.Context(), &wire.Command{}); err != nil {
				t.Error(err)
			}
			want := before + answered.Add(1)
			if got := r.Status().Commit; got < want {
				t.Errorf("commit after an answered proposal: got %d, want at least %d", got, want)
			}
		})
	}
	wait.Wait()
}

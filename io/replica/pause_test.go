package replica

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
)

// Guards against a process that exits, a group that stops committing, or an acknowledged command that is lost while the disk
// of the leader or of a follower is full. The bound for a new leader is two election timeouts of the group and its proposals.
func TestFullDisk(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			var full atomic.Pointer[string] // name of the replica whose disk is full
			var pauses, resumes atomic.Int64
			g := newGroup(t, nil)
			g.names = threeNames
			for _, n := range g.names {
				var applied atomic.Uint64 // like the real state machine, ignores commands that it has applied
				g.opts = []Option{
					WithApply(func(index uint64, _ *wire.Command) *wire.Result {
						applied.Store(max(applied.Load(), index))
						return &wire.Result{Version: applied.Load()}
					}),
					WithVersion(applied.Load),
					WithPaused(func(err error) {
						if err != nil {
							pauses.Add(1)
							return
						}
						resumes.Add(1)
					}),
					WithDisk(disk.WithWrite(func(f *os.File, b []byte) (int, error) {
						if name := full.Load(); name != nil && *name == n {
							return 0, syscall.ENOSPC
						}
						return f.Write(b)
					})),
				}
				g.start(n, t.TempDir())
			}
			first := g.leader()
			g.propose(first, 3)
			name := agreement.Name(first.ID())
			if role == "follower" {
				name = map[string]string{"a": "b", "b": "c", "c": "a"}[name]
			}
			full.Store(&name)
			var version uint64
			g.await("a proposal is accepted by the others", func() bool {
				for n, r := range g.members {
					ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
					a, err := r.Propose(ctx, &wire.Command{})
					stop()
					if err == nil && n != name {
						version = a.GetVersion()
						return true
					}
				}
				return false
			})
			g.await("the replica pauses", func() bool { return pauses.Load() > 0 })
			full.Store(nil)
			r := g.members[name]
			g.await("the replica has caught up", func() bool { return resumes.Load() > 0 && r.Status().Commit >= version })
			if err := r.Err(); err != nil {
				t.Errorf("the replica with the full disk: got %v, want it to go on", err)
			}
		})
	}
}

// Guards against a stop that hangs, or fails, while the replica waits for space on its disk.
func TestCloseWhilePaused(t *testing.T) {
	var full atomic.Bool
	paused := make(chan struct{}, 1)
	g := newGroup(t, nil, WithPaused(func(err error) {
		if err != nil {
			paused <- struct{}{}
		}
	}), WithDisk(disk.WithWrite(func(f *os.File, b []byte) (int, error) {
		if full.Load() {
			return 0, syscall.ENOSPC
		}
		return f.Write(b)
	})))
	g.names = []string{"a"}
	r := g.start("a", t.TempDir())
	g.propose(g.leader(), 1)
	full.Store(true)
	if _, err := r.Propose(t.Context(), &wire.Command{}); err == nil {
		t.Error("change on a full disk: got it accepted")
	}
	<-paused
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	select {
	case err := <-closed:
		if err != nil {
			t.Errorf("Close: got %v, want none", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Close: got no end within 5 s")
	}
}

package replica

import (
	"sync/atomic"
	"testing"
	"time"

	"godwitspindle/core/wire"
)

// Load pattern: all replicas lose power after many large changes. Guards against a restart that applies so many entries again
// that the replica answers no messages for seconds and loses the leadership that it has just won.
func TestReplayIsShort(t *testing.T) {
	const (
		applyTime = 5 * time.Millisecond  // time to apply one command
		limit     = 50 * time.Millisecond // apply time after which a snapshot is taken
		commands  = 60                    // number of proposed commands
	)
	var applied atomic.Int64
	folder := t.TempDir()
	g := newGroup(t, nil, WithMaxApplyTime(limit), WithApply(func(uint64, *wire.Command) *wire.Result {
		time.Sleep(applyTime)
		applied.Add(1)
		return &wire.Result{Version: uint64(applied.Load())}
	}))
	g.names = []string{"a"}
	g.start("a", folder)
	l := g.leader()
	for range commands {
		if _, err := l.Propose(t.Context(), &wire.Command{}); err != nil {
			t.Fatal(err)
		}
	}
	_ = g.members["a"].Close()
	applied.Store(0)
	g.start("a", folder)
	g.leader()
	if got, want := applied.Load(), int64(limit/applyTime)+1; got > want {
		t.Errorf("commands applied again after a restart: got %d of %d, want at most %d", got, commands, want)
	}
}

package demo

import (
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// Guards against a node that does not start because its port is in use: a process that is forked at the same moment holds a copy of each
// listener, also of one that is closed meanwhile, until it executes its program.
func TestStartWhileProcessesStart(t *testing.T) {
	const starters, length = 4, 3 * time.Second
	m, err := New(t.TempDir(), []HostSpec{{Name: "a", Region: "r", Domain: "d", Replica: true}}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	var ended atomic.Bool
	var wait sync.WaitGroup
	for range starters {
		wait.Go(func() {
			for !ended.Load() {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	restarts := 0
	for end := time.Now().Add(length); time.Now().Before(end); restarts++ {
		if err := m.Stop(0); err != nil {
			t.Error(err)
		}
		if err := m.Start(0); err != nil {
			t.Errorf("restart %d: got error %v, want none", restarts, err)
			break
		}
	}
	ended.Store(true)
	wait.Wait()
	t.Logf("%d restarts", restarts)
}

// Guards against a node that is closed and still holds a listener or its data folder, which the repeated tries of Start would hide.
func TestClosedNodeHoldsNothing(t *testing.T) {
	const restarts = 30
	m, err := New(t.TempDir(), []HostSpec{{Name: "a", Region: "r", Domain: "d", Replica: true}}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	for i := range restarts {
		if err := m.Stop(0); err != nil {
			t.Error(err)
		}
		h, err := m.newHost(0)
		if err != nil {
			t.Fatalf("restart %d: got error %v, want none", i, err)
		}
		m.swapHost(0, h)
	}
}

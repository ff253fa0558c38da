package host

import (
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/store"
	"godwitspindle/core/wire"
	"godwitspindle/io/peer"
)

// Guards against a control host that keeps an older version in force, and hands it to the nodes below it, until the next command: its
// disk was full only while the floor of the newest version was saved.
func TestVersionInForceOnceDiskHasRoom(t *testing.T) {
	failures := 3 // of the saves of the floor
	holder, err := peer.NewHolder(peer.WithSavedFloor(1, func(uint64) error {
		if failures > 0 {
			failures--
			return syscall.ENOSPC
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	c := &control{controlParts: controlParts{holder: holder, log: logr.Discard()}, store: store.New(), applied: make(chan struct{}, 1)}
	r := c.store.Apply(2, &wire.Command{Body: &wire.Command_Change{Change: &wire.Change{Id: "1", Author: "a", Body: &wire.Change_Register{Register: &wire.Register{}}}}})
	if r.GetAccepted() == nil {
		t.Fatalf("change: got %v, want it accepted", r)
	}
	c.signal()
	c.wait.Go(func() { c.publish(t.Context()) })
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holder.View().Snapshot.Version() == 2 && holder.Serving() {
			return
		}
	}
	t.Errorf("version in force: got %d, want 2 within 4 s of the last failure", holder.View().Snapshot.Version())
}
